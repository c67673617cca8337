"""Faults of the engine stand-in."""

from typing import Any


class Faults:
    """Faults in effect; ``/control`` sets them by attribute name.

    Attributes:
        crash_mark: Text in a prompt on which the process exits; empty for none.
        crash_after_tokens: Tokens that are sent before the process exits.
        end_after_tokens: Tokens after which a stream ends without its last
            event; 0 for never.
        is_paused: Whether all calls are suspended.
        slow_factor: Factor by which prefill and steps are slowed down.
        is_refusing: Whether calls are answered with 503.
        fail_share: Share of calls that are answered with 500.
        is_leaving: Whether answers carry ``X-Leaving: 1``.
        load_lag_s: Age of the reported load, in seconds.
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
        """Sets the attributes named in the body; ignores other names."""
        for name in body.keys() & set(self.__slots__):
            setattr(self, name, body[name])
