"""Batch slots of the engine stand-in."""

import heapq
import itertools

from eventlet import event


class Slots:
    """Slots of a batch; a free slot goes to the most urgent waiting call.

    Attributes:
        running: Number of calls that hold a slot.
    """

    __slots__ = ("_arrivals", "_queue", "_size", "running")

    def __init__(self, size: int):
        self._size = size
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, event.Event]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    def acquire(self, priority: int) -> None:
        """Waits for a slot; 0 is the most urgent priority."""
        if self.running < self._size:
            self.running += 1
            return
        granted = event.Event()
        heapq.heappush(self._queue, (priority, next(self._arrivals), granted))
        granted.wait()

    def release(self) -> None:
        """Releases a slot to the next waiting call, if any."""
        if self._queue:
            heapq.heappop(self._queue)[2].send(None)
        else:
            self.running -= 1
