"""Endpoints for orders, which run at most once, and their tickets."""

from collections.abc import Callable, Iterable
from typing import Any

from savoryspar import idempotency, pipelines, sheet
from savoryspar.http import problems

ORDERS_PATH = "/v1/orders/"
TICKET_HEADER = "Order-Ticket"
STATE_TIMEOUT_S = 2.0
MAX_ORDER_BYTES = 524_288
"""Half of the default [membership] max_frame_bytes. An order must fit into one
frame to its owner: a larger one closes the link, which other orders share."""


class TicketRequiredError(pipelines.RunError):
    """An order was sent without a ticket.

    Attributes:
        ticket: A new ticket, with which the caller may send the order.
    """

    def __init__(self, ticket: str, run_state: pipelines.RunState):
        super().__init__(
            "ticket_required",
            428,
            "the pipeline has a stage that must not run twice, so the request"
            " needs a ticket",
            f"send the header '{TICKET_HEADER}: TICKET' with the value of the"
            " member 'ticket' of this response, on each send and resend; if the"
            " order was sent with a ticket before, use that one",
            run_state,
        )
        self.ticket = ticket

    def headers(self) -> list[tuple[str, str]]:
        """Returns further header fields of the response."""
        return [(TICKET_HEADER, self.ticket)]

    def members(self) -> dict[str, str]:
        """Returns further members of the problem document."""
        return {"ticket": self.ticket}


class OrderError(pipelines.RunError):
    """An order has no output; its run state is that of the service's answer."""


class OrderEndpoints:
    """Issues tickets, runs orders and reports their state to callers."""

    __slots__ = ("_clock", "_orders")

    def __init__(
        self, orders: idempotency.OrderService, clock: Callable[[], float]
    ):
        self._orders = orders
        self._clock = clock

    def issue(
        self,
        environ: dict[str, Any],
        current: sheet.Sheet,
        workspace: sheet.Workspace,
        body: dict[str, Any],
    ) -> dict[str, Any]:
        """Returns the document of a new ticket.

        Raises:
            RunError: The pipeline does not exist, needs no ticket, or no
                ticket can be issued.
        """
        pipeline = current.pipelines.get(str(body.get("pipeline")))
        if pipeline is None:
            raise problems.new_problem(
                "bad_request",
                422,
                f"the member 'pipeline' has the unknown value"
                f" {body.get('pipeline')!r}",
                "set it to one of the names in GET /v1/models",
            )
        if current.is_idempotent(pipeline):
            raise problems.new_problem(
                "bad_request",
                422,
                f"pipeline {pipeline.name!r} needs no ticket",
                "send its requests without a ticket",
            )
        ticket = self._issue(environ, workspace, pipeline)
        return {
            "ticket": ticket.text,
            "pipeline": pipeline.name,
            "issued_at": ticket.issued_at,
            "expires_at": ticket.expires_at,
        }

    def run(
        self, environ: dict[str, Any], req: pipelines.Request
    ) -> dict[str, Any]:
        """Runs an order at most once and returns its output.

        Raises:
            RunError: The order has no output; ``run_state`` states whether it
                ran, if that is known.
        """
        if req.body.get("stream") is True:
            raise problems.new_problem(
                "bad_request",
                422,
                f"pipeline {req.pipeline.name!r} runs orders, which are not"
                " streamed",
                "send the request without 'stream'",
            )
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_ORDER_BYTES:
            raise problems.new_problem(
                "body_too_large",
                413,
                f"the order has {length} bytes, but the limit is"
                f" {MAX_ORDER_BYTES} bytes",
                "send a smaller body",
            )
        text = environ.get("HTTP_ORDER_TICKET", "").strip()
        if not text:
            ticket = self._issue(environ, req.workspace, req.pipeline)
            # An order with an idempotency key may have been sent before with
            # another ticket.
            state = pipelines.RunState.NOT_RUN
            if may_be_resend(environ):
                state = pipelines.RunState.UNKNOWN
            raise TicketRequiredError(ticket.text, state)
        order = idempotency.Order(
            req.request_id,
            text,
            req.workspace.name,
            req.pipeline.name,
            req.rank,
            req.body,
            idempotency.key_digest(_idempotency_key(environ)),
            req.deadline_at - self._clock(),
        )
        answer = self._call_service(lambda: self._orders.run(order))
        if answer.kind:
            raise _order_error(answer)
        return answer.output

    def state(self, workspace: sheet.Workspace, text: str) -> dict[str, Any]:
        """Returns the document of an order's state.

        Raises:
            RunError: The ticket is invalid, or its owner does not respond.
        """
        answer = self._call_service(
            lambda: self._orders.state(text, workspace.name, STATE_TIMEOUT_S)
        )
        if answer.kind == "order_unknown" and not answer.is_final:
            raise _order_error(answer)
        document: dict[str, Any] = {
            "ticket": text,
            "run_state": answer.run_state.value,
            "is_final": answer.is_final,
        }
        if answer.kind:
            document["detail"] = f"{answer.message}; {answer.remedy}"
        else:
            document["output"] = answer.output
        return document

    def _issue(
        self,
        environ: dict[str, Any],
        workspace: sheet.Workspace,
        pipeline: sheet.Pipeline,
    ) -> idempotency.Ticket:
        try:
            return self._orders.issue(
                workspace.name, pipeline.name, _idempotency_key(environ)
            )
        except idempotency.LedgerFullError as exc:
            raise problems.new_problem(
                "overloaded",
                503,
                exc.message,
                exc.remedy,
                retry_after_s=exc.retry_after_s,
            ) from exc

    def _call_service(
        self, call: Callable[[], idempotency.Answer]
    ) -> idempotency.Answer:
        try:
            return call()
        except idempotency.TicketError as exc:
            # The ticket may be valid under a key of its owner that has not
            # reached this process yet, so the order may have run.
            raise problems.new_problem(
                "not_found",
                404,
                exc.message,
                exc.remedy,
                pipelines.RunState.UNKNOWN,
            ) from exc


def may_be_resend(environ: dict[str, Any]) -> bool:
    """Returns whether an earlier send of the request may have run."""
    return bool(
        environ.get("HTTP_ORDER_TICKET")
        or _idempotency_key(environ)
        or environ["PATH_INFO"].startswith(ORDERS_PATH)
    )


def _idempotency_key(environ: dict[str, Any]) -> str:
    return environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()


def _order_error(answer: idempotency.Answer) -> OrderError:
    return OrderError(
        answer.kind,
        answer.status,
        answer.message,
        answer.remedy,
        pipelines.RunState(answer.run_state.value),
        answer.retry_after_s,
    )


def respond_ticket_required(
    start_response: problems.StartResponse,
    exc: TicketRequiredError,
    request_id: str,
) -> Iterable[bytes]:
    """Responds with status 428 and a new ticket for the order."""
    return problems.respond(
        start_response,
        exc,
        request_id,
        [("X-Request-Id", request_id), *exc.headers()],
        exc.members(),
    )
