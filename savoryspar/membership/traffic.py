"""Counts the messages and bytes between this process and its peers, by kind."""

from collections.abc import Iterator

from savoryspar.membership import frames

DELAYED_S = 0.1
"""Time from queueing to the end of the write above which a message counts as
delayed; callers wait for most messages, and a round trip between regions takes
40 ms."""
MAX_KINDS = 64
OTHER_KIND = "other"
"""Counts messages of further kinds, as peers choose the names."""


class KindTraffic:
    """Messages of one kind since the start.

    Attributes:
        sent, received: Number of messages.
        sent_bytes, received_bytes: Their frames, without WebSocket and TCP.
        delayed: Sent messages that waited longer than ``DELAYED_S``.
        longest_wait_s: Longest time from queueing to the end of the write.
    """

    __slots__ = (
        "delayed",
        "longest_wait_s",
        "received",
        "received_bytes",
        "sent",
        "sent_bytes",
    )

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.delayed = 0
        self.longest_wait_s = 0.0


class Traffic:
    """Traffic on all links of a process.

    Attributes:
        by_kind: Counts by kind: the kind of a request or broadcast, ``reply``,
            or the type of another frame.
        opened: Links that were opened, by either side.
        failed: Links that this process could not open.
    """

    __slots__ = ("by_kind", "failed", "opened")

    def __init__(self) -> None:
        self.by_kind: dict[str, KindTraffic] = {}
        self.opened = 0
        self.failed = 0

    def record_sent(self, kind: str, size: int, waited_s: float) -> None:
        """Counts a frame that was written.

        Args:
            kind: Kind of the message.
            size: Size of the frame in bytes.
            waited_s: Time since it was queued.
        """
        counts = self._of(kind)
        counts.sent += 1
        counts.sent_bytes += size
        counts.delayed += waited_s > DELAYED_S
        counts.longest_wait_s = max(counts.longest_wait_s, waited_s)

    def record_received(self, frame: frames.Frame, size: int) -> None:
        """Counts a frame of ``size`` bytes that a peer sent."""
        counts = self._of(kind_of(frame.kind, frame.body))
        counts.received += 1
        counts.received_bytes += size

    def totals(self) -> Iterator[tuple[str, str, int, int]]:
        """Yields the kind, direction, messages and bytes of all traffic."""
        for kind, counts in self.by_kind.items():
            yield kind, "sent", counts.sent, counts.sent_bytes
            yield kind, "received", counts.received, counts.received_bytes

    def delayed(self) -> int:
        """Returns the number of delayed messages."""
        return sum(counts.delayed for counts in self.by_kind.values())

    def longest_wait_s(self) -> float:
        """Returns the longest wait of a message before it was written."""
        return max(
            (counts.longest_wait_s for counts in self.by_kind.values()),
            default=0.0,
        )

    def _of(self, kind: str) -> KindTraffic:
        if kind not in self.by_kind and len(self.by_kind) >= MAX_KINDS:
            kind = OTHER_KIND
        return self.by_kind.setdefault(kind, KindTraffic())


def kind_of(frame_kind: str, body: object) -> str:
    """Returns the kind of a message: that of a request or a broadcast."""
    index = {"request": 1, "broadcast": 2}.get(frame_kind)
    if index is None or not isinstance(body, list) or len(body) <= index:
        return frame_kind
    kind = body[index]
    return kind if isinstance(kind, str) else frame_kind


def new_traffic() -> Traffic:
    """Returns counts of no traffic."""
    return Traffic()
