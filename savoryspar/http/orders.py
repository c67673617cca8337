"""Tickets and orders of callers."""

from collections.abc import Callable, Iterable
from typing import Any

from savoryspar import idempotency, pipelines, sheet
from savoryspar.http import problems

ORDERS_PATH = "/v1/orders/"
TICKET_HEADER = "Order-Ticket"
STATE_TIMEOUT_S = 2.0
MAX_ORDER_BYTES = 524_288
"""Half of the default [membership] max_frame_bytes: an order must fit into one
frame to its owner, or the link would be closed for all others."""


class TicketRequiredError(pipelines.RunError):
    """An order came without a ticket.

    Attributes:
        ticket: A new ticket that the caller may send it with.
    """

    def __init__(self, ticket: str, run_state: pipelines.RunState):
        super().__init__(
            "ticket_required",
            428,
            "the pipeline has a stage that must not run twice, so the request"
            " needs a ticket",
            f"send it again with the header '{TICKET_HEADER}: TICKET' and the"
            " member 'ticket' of this answer, on each send and resend; if it"
            " was sent with a ticket before, send that one",
            run_state,
        )
        self.ticket = ticket

    def extra(self) -> list[tuple[str, str]]:
        """Returns the headers of the answer."""
        return [(TICKET_HEADER, self.ticket)]

    def members(self) -> dict[str, str]:
        """Returns further members of the problem document."""
        return {"ticket": self.ticket}


class OrderError(pipelines.RunError):
    """An order has no output; its run state is what its owner can prove."""


class OrderEndpoints:
    """Issues tickets, runs orders and tells their state, for callers."""

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
                f"the member 'pipeline' has the value {body.get('pipeline')!r}",
                "give it one of the names in GET /v1/models",
            )
        if current.is_idempotent(pipeline):
            raise problems.new_problem(
                "bad_request",
                422,
                f"pipeline {pipeline.name!r} needs no ticket",
                "send its requests without one",
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
            RunError: There is no output; its run state tells what is known.
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
                f"the order has {length} bytes, {MAX_ORDER_BYTES} are allowed",
                "send less",
            )
        text = environ.get("HTTP_ORDER_TICKET", "").strip()
        if not text:
            ticket = self._issue(environ, req.workspace, req.pipeline)
            # With a key it may have been sent with another ticket before.
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
            idempotency.key_digest(_key(environ)),
            req.deadline_at - self._clock(),
        )
        found = self._ask(lambda: self._orders.run(order))
        if found.kind:
            raise _problem(found)
        return found.output

    def state(self, workspace: sheet.Workspace, text: str) -> dict[str, Any]:
        """Returns the document of an order's state.

        Raises:
            RunError: There is no such ticket, or its owner gives no answer.
        """
        found = self._ask(
            lambda: self._orders.state(text, workspace.name, STATE_TIMEOUT_S)
        )
        if found.kind == "order_unknown" and not found.is_final:
            raise _problem(found)
        document: dict[str, Any] = {
            "ticket": text,
            "run_state": found.run_state.value,
            "is_final": found.is_final,
        }
        if found.kind:
            document["detail"] = f"{found.message}; {found.remedy}"
        else:
            document["output"] = found.output
        return document

    def _issue(
        self,
        environ: dict[str, Any],
        workspace: sheet.Workspace,
        pipeline: sheet.Pipeline,
    ) -> idempotency.Ticket:
        try:
            return self._orders.issue(
                workspace.name, pipeline.name, _key(environ)
            )
        except idempotency.LedgerFullError as exc:
            raise problems.new_problem(
                "overloaded",
                503,
                exc.message,
                exc.remedy,
                retry_after_s=exc.retry_after_s,
            ) from exc

    def _ask(self, ask: Callable[[], idempotency.Answer]) -> idempotency.Answer:
        try:
            return ask()
        except idempotency.TicketError as exc:
            # A key of the owner that is not known here yet would verify it,
            # so this process cannot say that the order did not run.
            raise problems.new_problem(
                "not_found",
                404,
                exc.message,
                exc.remedy,
                pipelines.RunState.UNKNOWN,
            ) from exc


def may_be_resend(environ: dict[str, Any]) -> bool:
    """Tells whether an earlier send of the request may have run."""
    return bool(
        environ.get("HTTP_ORDER_TICKET")
        or _key(environ)
        or environ["PATH_INFO"].startswith(ORDERS_PATH)
    )


def _key(environ: dict[str, Any]) -> str:
    return environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()


def _problem(found: idempotency.Answer) -> OrderError:
    return OrderError(
        found.kind,
        found.status,
        found.message,
        found.remedy,
        pipelines.RunState(found.run_state.value),
        found.retry_after_s,
    )


def respond_ticket_required(
    start_response: problems.StartResponse,
    exc: TicketRequiredError,
    request_id: str,
) -> Iterable[bytes]:
    """Answers 428 with a ticket that is ready for use."""
    return problems.respond(
        start_response,
        exc,
        request_id,
        [("X-Request-Id", request_id), *exc.extra()],
        exc.members(),
    )
