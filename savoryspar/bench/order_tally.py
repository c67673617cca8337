"""Counts the answers to orders and compares them with the recorded runs."""

from collections.abc import Mapping, Sequence


class Tally:
    """Counts of the answers that callers got to their orders.

    Attributes:
        sends: Sends of orders, resends included.
        orders: Distinct orders that were sent.
        completed: Orders whose result reached the caller.
        wrong: Answers that hold the result of another order.
        not_run: Sends answered with ``not_run``, as (order ID, send ID).
        last_states: Run state in the last answer to each order, by order ID.
    """

    __slots__ = (
        "completed",
        "last_states",
        "not_run",
        "orders",
        "sends",
        "wrong",
    )

    def __init__(self) -> None:
        self.sends = 0
        self.orders = 0
        self.completed = 0
        self.wrong = 0
        self.not_run: list[tuple[str, str]] = []
        self.last_states: dict[str, str] = {}

    def record_answer(
        self,
        order_id: str,
        send_id: str,
        run_state: str,
        is_wrong: bool = False,
    ) -> None:
        """Counts the answer to one send.

        Args:
            order_id: ID of the order.
            send_id: ID of the send.
            run_state: Run state that the answer reports.
            is_wrong: Whether the answer holds the result of another order.
        """
        self.sends += 1
        self.wrong += is_wrong
        self.last_states[order_id] = run_state
        if run_state == "not_run":
            self.not_run.append((order_id, send_id))

    def count_run_twice(self, runs: Mapping[str, Sequence[str]]) -> int:
        """Returns the number of orders that ran more than once.

        Args:
            runs: IDs of the sends that ran, by order ID.
        """
        return sum(len(sends) > 1 for sends in runs.values())

    def count_false_not_run(self, runs: Mapping[str, Sequence[str]]) -> int:
        """Returns the number of orders wrongly reported as not run.

        An order counts if a send answered with ``not_run`` ran, or if the
        last answer to the order is ``not_run`` although a send of it ran.

        Args:
            runs: IDs of the sends that ran, by order ID.
        """
        by_send = {
            order_id
            for order_id, send_id in self.not_run
            if send_id in runs.get(order_id, ())
        }
        by_order = {
            order_id
            for order_id, run_state in self.last_states.items()
            if run_state == "not_run" and runs.get(order_id)
        }
        return len(by_send | by_order)
