"""The WSGI application of the callers' API."""

from collections.abc import Callable, Iterable
import secrets
import time
from typing import Any

from eventlet import wsgi

from savoryspar import conf, idempotency, log, metrics, pipelines, sheet
from savoryspar.http import (
    auth,
    bodies,
    caller_headers,
    chat,
    hangup,
    orders,
    problems,
    streaming,
)
from savoryspar.http import exchange as exchange_lib

Handler = Callable[["App", exchange_lib.Exchange], Iterable[bytes]]


class App:
    """The WSGI application of the callers' API; create it with ``new_app``.

    Attributes:
        is_draining: Whether the entry VM is draining; /readyz then fails.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_current_sheet",
        "_logger",
        "_metrics",
        "_not_ready_reason",
        "_orders",
        "_runner",
        "is_draining",
    )

    def __init__(
        self,
        cfg: conf.Settings,
        current_sheet: Callable[[], sheet.Sheet | None],
        runner: pipelines.Runner,
        registry: metrics.Metrics,
        clock: Callable[[], float],
        not_ready_reason: Callable[[], str],
        order_endpoints: orders.OrderEndpoints,
    ):
        self._cfg = cfg
        self._orders = order_endpoints
        self._current_sheet = current_sheet
        self._runner = runner
        self._metrics = registry
        self._clock = clock
        self._not_ready_reason = not_ready_reason
        self._logger = log.new_logger("http")
        self.is_draining = False

    def __call__(
        self, environ: dict[str, Any], start_response: problems.StartResponse
    ) -> Iterable[bytes]:
        """Handles one request (PEP 3333)."""
        request_id = f"req-{secrets.token_hex(8)}"
        exchange = exchange_lib.Exchange(environ, start_response, request_id)
        try:
            return self._route(exchange)
        except orders.TicketRequiredError as exc:
            self._metrics.count_problem(exc.kind)
            return orders.respond_ticket_required(
                start_response, exc, request_id
            )
        except pipelines.RunError as exc:
            self._metrics.count_problem(exc.kind)
            if not isinstance(exc, orders.OrderError) and orders.may_be_resend(
                environ
            ):
                # The order was rejected before its owner was queried, so an
                # earlier send may have run there.
                exc.run_state = pipelines.RunState.UNKNOWN
            extra_headers = [("X-Request-Id", request_id)]
            if exc.status in (408, 411, 413):
                # The rest of the body is not read, so the connection cannot be
                # reused.
                extra_headers.append(("Connection", "close"))
            return problems.respond(
                start_response, exc, request_id, extra_headers
            )
        except hangup.CallerGoneError:
            self._logger.info(f"Caller disconnected. request={request_id}")
            wsgi.WSGI_LOCAL.already_handled = True
            return []

    def _route(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        method = exchange.environ["REQUEST_METHOD"]
        handler = _ROUTES.get((method, exchange.path))
        if handler is None:
            handler = next(
                (
                    candidate
                    for (verb, prefix), candidate in _PREFIX_ROUTES.items()
                    if verb == method and exchange.path.startswith(prefix)
                ),
                None,
            )
        if handler is None:
            raise problems.new_problem(
                "not_found",
                404,
                f"there is no endpoint {method} {exchange.path}",
                "see the endpoints in docs/ref/endpoints.md",
            )
        return handler(self, exchange)

    def health(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Reports that the process is running."""
        return exchange.respond_json({"status": "ok"})

    def readiness(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Reports whether the load balancer should send requests."""
        reason = "draining" if self.is_draining else self._not_ready_reason()
        if reason:
            return exchange.respond_json(
                {"status": reason}, "503 Service Unavailable"
            )
        return exchange.respond_json({"status": "ready"})

    def metrics(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Returns the metrics in the Prometheus format."""
        content, headers = self._metrics.render()
        exchange.start_response("200 OK", headers)
        return [content]

    def models(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Lists the pipelines as OpenAI models."""
        current, _ = self._authenticate(exchange)
        return exchange.respond_json(chat.models_document(current))

    def chat(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Runs a pipeline on an OpenAI chat completion request."""
        current, workspace = self._authenticate(exchange)
        body = self._read_body(exchange)
        bodies.check_chat(body)
        req = self._new_request(
            exchange, current, workspace, body["model"], body
        )
        if body.get("stream") and current.is_idempotent(req.pipeline):
            return self._stream(exchange, req)
        output = self._run(exchange, current, req)
        return exchange.respond_json(
            chat.completion_document(req, output, int(time.time()))
        )

    def pipeline(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Runs a pipeline on any JSON object."""
        current, workspace = self._authenticate(exchange)
        body = self._read_body(exchange)
        bodies.check_max_tokens(body)
        name = exchange.path[len(PIPELINES_PATH) :]
        req = self._new_request(exchange, current, workspace, name, body)
        if body.get("stream") is True and current.is_idempotent(req.pipeline):
            return self._stream(exchange, req)
        output = self._run(exchange, current, req)
        return exchange.respond_json(
            {
                "request_id": req.request_id,
                "pipeline": name,
                "run_state": pipelines.RunState.COMPLETE.value,
                "output": output,
            }
        )

    def issue_ticket(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Issues a ticket for one order."""
        current, workspace = self._authenticate(exchange)
        body = self._read_body(exchange)
        ticket = self._orders.issue(exchange.environ, current, workspace, body)
        return exchange.respond_json(ticket, "201 Created")

    def order(self, exchange: exchange_lib.Exchange) -> Iterable[bytes]:
        """Returns the state of an order."""
        _, workspace = self._authenticate(exchange)
        text = exchange.path[len(orders.ORDERS_PATH) :]
        return exchange.respond_json(self._orders.state(workspace, text))

    def _authenticate(
        self, exchange: exchange_lib.Exchange
    ) -> tuple[sheet.Sheet, sheet.Workspace]:
        current = self._current_sheet()
        if current is None:
            raise problems.new_problem(
                "overloaded",
                503,
                "this entry VM has no configuration yet",
                "retry the request",
                retry_after_s=1.0,
            )
        return current, auth.authenticate(exchange.environ, current)

    def _read_body(self, exchange: exchange_lib.Exchange) -> dict[str, Any]:
        return bodies.read_json(
            exchange.environ,
            self._cfg.http.max_body_bytes,
            self._cfg.http.read_timeout_s,
        )

    def _new_request(
        self,
        exchange: exchange_lib.Exchange,
        current: sheet.Sheet,
        workspace: sheet.Workspace,
        name: str,
        body: dict[str, Any],
    ) -> pipelines.Request:
        pipeline = current.pipelines.get(name)
        if pipeline is None:
            raise problems.new_problem(
                "not_found",
                404,
                f"there is no pipeline {name!r}",
                "use one of the pipelines in GET /v1/models",
            )
        work = current.works[pipeline.work]
        environ = exchange.environ
        deadline_ms = caller_headers.lowered_deadline(environ, work.deadline_ms)
        return pipelines.Request(
            exchange.request_id,
            workspace,
            pipeline,
            caller_headers.lowered_rank(environ, work.rank),
            self._clock() + deadline_ms / 1000.0,
            body,
        )

    def _run(
        self,
        exchange: exchange_lib.Exchange,
        current: sheet.Sheet,
        req: pipelines.Request,
    ) -> dict[str, Any]:
        sock = exchange.environ["eventlet.input"].get_socket()
        with hangup.cancel_on_hangup(sock):
            if current.is_idempotent(req.pipeline):
                output = self._runner.run(req)
            else:
                output = self._orders.run(exchange.environ, req)
        self._metrics.count_request(req.pipeline.name, req.rank)
        return output

    def _stream(
        self, exchange: exchange_lib.Exchange, req: pipelines.Request
    ) -> Iterable[bytes]:
        sock = exchange.environ["eventlet.input"].get_socket()
        with hangup.cancel_on_hangup(sock):
            stream = self._runner.stream(req)
            streaming.relay(
                sock, stream, req.request_id, self._cfg.http.relay_mode
            )
        self._metrics.count_request(req.pipeline.name, req.rank)
        return []


PIPELINES_PATH = "/v1/pipelines/"
_PLACEHOLDERS = {orders.ORDERS_PATH: "{ticket}", PIPELINES_PATH: "{name}"}
_ROUTES: dict[tuple[str, str], Handler] = {
    ("GET", "/healthz"): App.health,
    ("GET", "/readyz"): App.readiness,
    ("GET", "/metrics"): App.metrics,
    ("GET", "/v1/models"): App.models,
    ("POST", "/v1/chat/completions"): App.chat,
    ("POST", "/v1/tickets"): App.issue_ticket,
}
_PREFIX_ROUTES: dict[tuple[str, str], Handler] = {
    ("GET", orders.ORDERS_PATH): App.order,
    ("POST", PIPELINES_PATH): App.pipeline,
}


def endpoints() -> dict[tuple[str, str], Handler]:
    """Returns the handlers of the callers' API by (method, path)."""
    prefixed = {
        (method, prefix + _PLACEHOLDERS[prefix]): handler
        for (method, prefix), handler in _PREFIX_ROUTES.items()
    }
    return {**_ROUTES, **prefixed}


def new_app(
    cfg: conf.Settings,
    current_sheet: Callable[[], sheet.Sheet | None],
    runner: pipelines.Runner,
    registry: metrics.Metrics,
    clock: Callable[[], float],
    not_ready_reason: Callable[[], str],
    order_service: idempotency.OrderService,
) -> App:
    """Returns the application of the callers' API.

    Args:
        cfg: The settings.
        current_sheet: Returns the sheet in force, or None before the first
            one.
        runner: Runs requests.
        registry: Metrics of the process.
        clock: Returns the monotonic time in seconds.
        not_ready_reason: Returns why the process cannot serve yet, or "".
        order_service: Runs orders, each at most once.
    """
    order_endpoints = orders.OrderEndpoints(order_service, clock)
    return App(
        cfg,
        current_sheet,
        runner,
        registry,
        clock,
        not_ready_reason,
        order_endpoints,
    )
