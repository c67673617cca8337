"""Counts what callers were told and compares it with the book."""

from collections.abc import Mapping, Sequence


class Tally:
    """What the callers of many orders were told.

    Attributes:
        sends: Sends of orders, resends included.
        orders: Orders.
        completed: Orders that got their result.
        wrong: Answers with the result of another order.
        not_run: Sends answered ``not_run``, as (order, send).
        last: Run state of the last answer of each order.
    """

    __slots__ = ("completed", "last", "not_run", "orders", "sends", "wrong")

    def __init__(self) -> None:
        self.sends = 0
        self.orders = 0
        self.completed = 0
        self.wrong = 0
        self.not_run: list[tuple[str, str]] = []
        self.last: dict[str, str] = {}

    def note(
        self, order: str, send: str, run_state: str, is_wrong: bool = False
    ) -> None:
        """Counts the answer to one send."""
        self.sends += 1
        self.wrong += is_wrong
        self.last[order] = run_state
        if run_state == "not_run":
            self.not_run.append((order, send))

    def run_twice(self, runs: Mapping[str, Sequence[str]]) -> int:
        """Returns the orders that ran more than once; runs are by order."""
        return sum(len(sends) > 1 for sends in runs.values())

    def false_not_run(self, runs: Mapping[str, Sequence[str]]) -> int:
        """Returns the orders that ran although a caller was told otherwise.

        That is a send that ran after ``not_run``, or an order that ran while
        the last that its caller heard of it is ``not_run``.
        """
        by_send = {
            order for order, send in self.not_run if send in runs.get(order, ())
        }
        by_order = {
            order
            for order, run_state in self.last.items()
            if run_state == "not_run" and runs.get(order)
        }
        return len(by_send | by_order)
