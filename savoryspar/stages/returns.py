"""Times at which refused groups may return.

Groups that are refused at the same moment are told nearly the same wait, and
would return together and be refused again. Each is told a time of its own, in
the order of their refusals, so that those that have waited longest return
first. A group that is refused again when it returns is not put behind the
others.
"""

import collections

RETURN_SHARE = 0.5
"""Share of a pool that returns may use; new requests need the rest."""
MAX_SPREAD_S = 8.0
"""Longest delay of a return by earlier ones; about the longest deadline. More
callers than that return together."""
MAX_PROMISES = 1024
"""Refused groups whose return is remembered."""
EARLY_S = 0.05
"""Time by which a caller may return early; told times are rounded."""


class Returns:
    """Promised returns to a pool."""

    __slots__ = ("_last_at", "_promises")

    def __init__(self) -> None:
        self._last_at = 0.0
        # Time of return by the key of the group.
        self._promises: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def promise(
        self,
        key: str,
        excess_s: float,
        work_s: float,
        servers: int,
        now: float,
    ) -> float:
        """Returns the seconds after which a refused group may return.

        Args:
            key: Equal for a group that returns; empty if unknown.
            excess_s: Time until there is room for the group alone.
            work_s: Time of a server that the group needs.
            servers: Servers of the pool.
            now: Monotonic time in seconds.
        """
        free_at = now + excess_s
        has_returned = (
            key in self._promises and self._promises[key] <= now + EARLY_S
        )
        if has_returned:
            due_at = free_at
        else:
            spacing_s = work_s / servers / RETURN_SHARE
            due_at = max(
                free_at, min(self._last_at + spacing_s, free_at + MAX_SPREAD_S)
            )
            self._last_at = max(self._last_at, due_at)
        if key:
            self._promises[key] = due_at
            self._promises.move_to_end(key)
            while len(self._promises) > MAX_PROMISES:
                self._promises.popitem(last=False)
        return due_at - now

    def settle(self, key: str) -> None:
        """Forgets a group that was admitted."""
        self._promises.pop(key, None)


def new_returns() -> Returns:
    """Returns a record without promises."""
    return Returns()
