"""Waiting for signals without blocking eventlet's hub."""

import collections
from collections.abc import Iterable
import os
import signal

from eventlet import hubs


class SignalQueue:
    """Queue of the signals that the process receives."""

    __slots__ = ("_pending", "_reader")

    def __init__(self, numbers: Iterable[int]):
        # A Python signal handler does not interrupt the hub's poll, so the
        # signal would only be handled at the next I/O event or timer. The
        # wake-up descriptor makes the hub return immediately.
        self._reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._pending: collections.deque[int] = collections.deque()
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda number, frame: None)

    def wait(self) -> int:
        """Waits for the next signal and returns its number."""
        while not self._pending:
            hubs.trampoline(self._reader, read=True)
            # The interpreter writes the number of each signal as one byte.
            self._pending.extend(os.read(self._reader, 64))
        return self._pending.popleft()


def new_signal_queue(*numbers: int) -> SignalQueue:
    """Returns a queue of the given signals."""
    return SignalQueue(numbers)
