"""Runs orders for the order service."""

from collections.abc import Callable

from savoryspar import idempotency, sheet
from savoryspar.pipelines import exceptions, model
from savoryspar.pipelines import runner as runner_lib


class OrderRunner:
    """Runs orders from callers and from peers with this process's runner."""

    __slots__ = ("_clock", "_current_sheet", "_runner")

    def __init__(
        self,
        current_sheet: Callable[[], sheet.Sheet | None],
        runner: runner_lib.Runner,
        clock: Callable[[], float],
    ):
        self._current_sheet = current_sheet
        self._runner = runner
        self._clock = clock

    def execute(
        self,
        order: idempotency.Order,
        ticket: idempotency.Ticket,
        guard: Callable[[], None],
    ) -> idempotency.Answer:
        """Runs the order and returns its answer.

        Raises:
            TicketExpiredError: The guard raised it before any byte was sent.
        """
        current = self._current_sheet()
        if (
            current is None
            or order.workspace not in current.workspaces
            or order.pipeline not in current.pipelines
        ):
            return idempotency.Answer(
                idempotency.RunState.NOT_RUN,
                kind="overloaded",
                status=503,
                message="the sheet of the order's owner has no such workspace"
                " or pipeline",
                remedy="send the order again with the same ticket",
                retry_after_s=1.0,
            )
        req = model.Request(
            order.send_id,
            current.workspaces[order.workspace],
            current.pipelines[order.pipeline],
            order.rank,
            self._clock() + order.timeout_s,
            order.body,
            ticket.nonce,
            guard,
        )
        return self._run(req, order)

    def _run(
        self, req: model.Request, order: idempotency.Order
    ) -> idempotency.Answer:
        try:
            output = self._runner.run(req)
        except exceptions.RunError as exc:
            if req.has_sent:
                return idempotency.unknown(exc.message, order.ticket)
            return idempotency.Answer(
                idempotency.RunState.NOT_RUN,
                kind=exc.kind,
                status=exc.status,
                message=exc.message,
                remedy=f"{exc.remedy}, with the same ticket",
                retry_after_s=exc.retry_after_s,
            )
        except idempotency.OrderError as exc:
            if req.has_sent:
                return idempotency.unknown(exc.message, order.ticket)
            raise
        return idempotency.Answer(
            idempotency.RunState.COMPLETE, output=output, is_final=True
        )


def new_order_runner(
    current_sheet: Callable[[], sheet.Sheet | None],
    runner: runner_lib.Runner,
    clock: Callable[[], float],
) -> OrderRunner:
    """Returns an order runner that uses the given components."""
    return OrderRunner(current_sheet, runner, clock)
