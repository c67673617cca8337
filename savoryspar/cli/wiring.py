"""Builds the components of an entry process and connects them."""

import time

from savoryspar import (
    backends,
    conf,
    discovery,
    http,
    idempotency,
    log,
    membership,
    metrics,
    pipelines,
    placement,
    routing,
    scheduling,
    sheet,
)
from savoryspar.cli import background, links, node, suspects
from savoryspar.http import app as http_app
from savoryspar.membership import sheet_replicator, sheet_watch


def new_node(cfg: conf.Settings) -> node.Node:
    """Builds an entry process from its settings.

    Raises:
        MembershipError: The certificates cannot be loaded.
        OSError: A port is in use.
    """
    sheets = sheet.new_sheet_holder()
    decisions = log.new_decision_log(cfg.log.decision_sample_percent)
    members = membership.new_membership(cfg, time.monotonic(), time.time())
    sheet_replicator.new_sheet_replicator(members, sheets, time.monotonic)
    router = routing.new_router(decisions, routing.new_options(cfg))
    suspects.share_suspects(router.suspects, members)
    client = backends.new_client()
    scheduler = _new_scheduler(cfg, router, decisions, sheets, members)
    runner = pipelines.new_runner(
        sheets.get, scheduler, router, client, time.monotonic
    )
    orders = _new_order_service(
        cfg,
        members,
        pipelines.new_order_runner(sheets.get, runner, time.monotonic),
    )
    suspect_fetch = suspects.SuspectFetch(router.suspects, members)
    app = http_app.new_app(
        cfg,
        sheets.get,
        runner,
        _new_metrics(client, members, sheets),
        time.monotonic,
        lambda: _missing_prerequisite(sheets, router, suspect_fetch),
        orders,
    )
    components = node.Components(
        app=app,
        decisions=decisions,
        orders=orders,
        dispatcher=placement.new_dispatcher(
            links.PlacementPeers(members),
            sheets.get,
            placement.new_engine_client(),
            decisions,
            placement.new_options(cfg),
            idempotency.read_clocks,
        ),
        members=members,
        reports=routing.new_report_reader(router, client),
        router=router,
        scheduler=scheduler,
        server=http.new_server(app, cfg),
        sheet_watch=_new_sheet_watch(cfg, members, sheets),
        sheets=sheets,
        suspect_fetch=suspect_fetch,
        vm_list=discovery.new_vm_list_client(cfg.platform.vm_list_url),
    )
    return node.Node(cfg, components)


def _new_scheduler(
    cfg: conf.Settings,
    router: routing.Router,
    decisions: log.DecisionLog,
    sheets: sheet.SheetHolder,
    members: membership.Membership,
) -> scheduling.Scheduler:
    scheduler = scheduling.new_scheduler(
        router.capacity, cfg.scheduling, decisions=decisions
    )
    own = members.view(time.monotonic()).own.incarnation
    scheduler.peers.connect(
        own, lambda now: background.zone_peers(members, now)
    )
    sheets.listen(
        lambda current: scheduler.configure(current, time.monotonic())
    )
    return scheduler


def _new_sheet_watch(
    cfg: conf.Settings,
    members: membership.Membership,
    sheets: sheet.SheetHolder,
) -> sheet_watch.SheetWatch:
    client = discovery.new_config_client(
        cfg.platform.config_url,
        cfg.platform.config_calls_per_s,
        cfg.platform.config_burst_calls,
    )
    return sheet_watch.new_sheet_watch(
        members, sheets, client, cfg.platform.watch_timeout_s, time.monotonic
    )


def _new_order_service(
    cfg: conf.Settings,
    members: membership.Membership,
    order_runner: pipelines.OrderRunner,
) -> idempotency.OrderService:
    settings = cfg.idempotency
    return idempotency.new_order_service(
        members.view(time.monotonic()).own.incarnation,
        idempotency.new_ticket_signer(
            settings.ticket_keys, settings.ticket_ttl_s
        ),
        idempotency.new_ledger(
            settings.ledger_max_entries,
            settings.ledger_workspace_percent,
            settings.ledger_max_result_bytes,
        ),
        links.MemberLinks(members),
        order_runner.execute,
    )


def _new_metrics(
    client: backends.Client,
    members: membership.Membership,
    sheets: sheet.SheetHolder,
) -> metrics.Metrics:
    registry = metrics.new_metrics()
    registry.set_gauge_reader(
        "savoryspar_dropped_answers", lambda: client.dropped_answers
    )
    registry.set_gauge_reader(
        "savoryspar_peers",
        lambda: len(members.view(time.monotonic()).members),
    )
    registry.set_gauge_reader(
        "savoryspar_refused_frames",
        lambda: sum(members.connector.refusals.values()),
    )
    registry.set_gauge_reader(
        "savoryspar_sheet_revision", lambda: sheets.revision
    )
    return registry


def _missing_prerequisite(
    sheets: sheet.SheetHolder,
    router: routing.Router,
    suspect_fetch: suspects.SuspectFetch,
) -> str:
    """Returns why the process is not ready to serve; empty if it is."""
    if sheets.current is None:
        return "no configuration"
    if not router.has_servers():
        return "no backend servers"
    if not suspect_fetch.is_done:
        return "crash suspects not fetched from a peer yet"
    return ""
