"""Builders of servers, routers and calls for the routing tests."""

from savoryspar import backends, log, routing


def new_server(name, zone="z1", region="r1", pool="lm", address=""):
    return backends.Server(name, address or f"{name}:1", region, zone, pool)


def new_router(names, **options):
    # A plain name becomes a server in the router's own zone.
    router = routing.new_router(
        log.new_decision_log(0.0),
        routing.Options(name="e1", region="r1", zone="z1", **options),
    )
    servers = [
        n if isinstance(n, backends.Server) else new_server(n) for n in names
    ]
    router.replace_servers(servers, 0.0)
    return router


def new_call(prompt="", excluded=(), size_bytes=0, is_exclusive=False):
    return routing.Call(
        "req-1",
        "w",
        "urgent",
        "s",
        "lm",
        "m",
        prompt,
        frozenset(excluded),
        size_bytes,
        True,
        is_exclusive,
    )


def run(router, now, outcome=routing.Outcome.OK, latency_s=0.01, **call):
    choice = router.choose(new_call(**call), now)
    router.observe(choice, outcome, -1, now + latency_s)
    return choice.server.name
