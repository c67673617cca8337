"""Faults of the engine stand-in."""

from typing import Any


class Faults:
    """What ``/control`` sets, by the names of its members.

    Attributes:
        crash_mark: The process exits on a prompt that contains it.
        crash_after_tokens: Tokens that it sends before that.
        end_after_tokens: Tokens after which a stream ends without its last
            event; 0 for never.
        is_paused: Whether nothing makes progress.
        slow_factor: Factor of every time.
        is_refusing: Whether calls are answered 503.
        fail_share: Share of calls that are answered 500.
        is_leaving: Whether answers carry ``X-Leaving: 1``.
        load_lag_s: How old the reported load is.
    """

    __slots__ = (
        "crash_after_tokens",
        "crash_mark",
        "end_after_tokens",
        "fail_share",
        "is_leaving",
        "is_paused",
        "is_refusing",
        "load_lag_s",
        "slow_factor",
    )

    def __init__(self) -> None:
        self.crash_mark = ""
        self.crash_after_tokens = 0
        self.end_after_tokens = 0
        self.is_paused = False
        self.slow_factor = 1.0
        self.is_refusing = False
        self.fail_share = 0.0
        self.is_leaving = False
        self.load_lag_s = 0.0

    def update(self, body: dict[str, Any]) -> None:
        """Sets the members that the body names."""
        for name in body.keys() & set(self.__slots__):
            setattr(self, name, body[name])
