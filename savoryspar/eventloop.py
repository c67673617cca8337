"""An event loop that bounds the time that one connection may hold it.

Green threads switch only when they wait. A thread whose peer sends faster than
it can read never waits, and would hold the loop until the peer stops, whatever
its bytes are made of. All readers of bytes from outside therefore count the
time between two reads with a ``ReadMeter``. Above its share of the loop, a
connection waits for a turn before each further read, and the turns of all such
connections together take a few milliseconds of a round.
"""

from collections.abc import Callable
import math
from typing import Any

import eventlet
from eventlet import greenio, hubs
from eventlet.hubs import epolls
import greenlet

TURN_S = 0.002
"""Time for which a connection may read without waiting, and for which all
connections that wait for a turn may read in one round of the loop."""
SHARE = 0.05
"""Part of the loop's time that a connection may use without waiting."""
MAX_USED_S = 0.05
"""Limit for the time that is held against a connection: it is given back at
``SHARE``, so within 1 s."""
MIN_RECORDED_S = 0.005
"""Shorter rounds are not recorded, as most of them take below 1 ms."""
WINDOW_S = 60.0
"""Time over which the longest round is reported."""
BACKLOG = 1024


class LongestRound:
    """Longest round of the loop in the last one to two windows."""

    __slots__ = ("_current_s", "_previous_s", "_window_ends_at")

    def __init__(self, now: float):
        self._current_s = 0.0
        self._previous_s = 0.0
        self._window_ends_at = now + WINDOW_S

    def record(self, duration_s: float, now: float) -> None:
        """Records a round that ended at ``now``, in monotonic seconds."""
        if now >= self._window_ends_at:
            self._begin_window(now)
        if duration_s > self._current_s:
            self._current_s = duration_s

    def duration_s(self, now: float) -> float:
        """Returns the duration in seconds."""
        if now >= self._window_ends_at:
            self._begin_window(now)
        return max(self._current_s, self._previous_s)

    def _begin_window(self, now: float) -> None:
        is_adjacent = now < self._window_ends_at + WINDOW_S
        self._previous_s = self._current_s if is_adjacent else 0.0
        self._current_s = 0.0
        self._window_ends_at = now + WINDOW_S


class FairHub(epolls.Hub):
    """The event loop of a process; ``install`` makes it the one of a thread.

    A round begins when the poll for events returns and ends with the next
    poll. Threads that became ready meanwhile run in the next round.

    Attributes:
        rounds: Rounds that have ended.
        longest_round: The longest of them, if above ``MIN_RECORDED_S``.
        waits: Number of times that a connection has waited for a turn.
    """

    def __init__(self, clock: Callable[[], float] | None = None):
        super().__init__(clock)
        self.rounds = 0
        self.waits = 0
        self.longest_round = LongestRound(self.clock())
        # The start of the process, before the first poll, is no round.
        self._round_began_at = math.inf
        # Threads that wait for a turn, in the order of their arrival.
        self._waiting: dict[greenlet.greenlet, None] = {}
        self._is_turn_due = False

    def wait(self, seconds: float | None = None) -> None:
        """Ends a round, polls for events and handles them."""
        self.rounds += 1
        if not self.listeners[self.READ] and not self.listeners[self.WRITE]:
            # The base class then sleeps, which is no part of a round.
            self._round_began_at = math.inf
        super().wait(seconds)

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Polls for events, which begin a round."""
        now = self.clock()
        duration_s = now - self._round_began_at
        if duration_s > MIN_RECORDED_S:
            self.longest_round.record(duration_s, now)
        ready = self.poll.poll(seconds)
        self._round_began_at = self.clock()
        return ready

    def wait_for_turn(self, timeout_s: float | None) -> None:
        """Suspends the current green thread until it may read.

        Args:
            timeout_s: Time after which it resumes without a turn, None for no
                limit.
        """
        self.waits += 1
        thread = greenlet.getcurrent()
        self._waiting[thread] = None
        self._schedule_turns()
        timer = None
        if timeout_s is not None:
            timer = self.schedule_call_global(
                max(0.0, timeout_s), self._resume, thread
            )
        try:
            self.switch()
        finally:
            self._waiting.pop(thread, None)
            if timer is not None:
                timer.cancel()

    def end_wait(self, thread: greenlet.greenlet) -> None:
        """Resumes a thread that waits for a turn in the next round."""
        self.schedule_call_global(0, self._resume, thread)

    def _schedule_turns(self) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            self.schedule_call_global(0, self._run_turns)

    def _run_turns(self) -> None:
        """Lets threads read in turn, then the round goes on.

        A thread that needs another turn waits behind all others.
        """
        self._is_turn_due = False
        ends_at = self.clock() + TURN_S
        try:
            while self._waiting:
                self._resume(next(iter(self._waiting)))
                if self.clock() >= ends_at:
                    break
        finally:
            # Also after an error of a thread, which the loop logs.
            if self._waiting:
                self._schedule_turns()

    def _resume(self, thread: greenlet.greenlet) -> None:
        # Another timer of the same round may have resumed it.
        if thread in self._waiting:
            del self._waiting[thread]
            thread.switch()


class ReadMeter:
    """The time that the reader of one connection uses between its reads.

    Time in which the reader waits for something else is not counted.
    """

    __slots__ = ("_read_at", "_read_in", "_used_s", "_waiting")

    def __init__(self) -> None:
        self._used_s = 0.0
        self._waiting: greenlet.greenlet | None = None
        # Time and round of the last read.
        self._read_at = -math.inf
        self._read_in = -1

    def before_read(self, timeout_s: float | None = None) -> bool:
        """Waits for a turn if the reader has used more than its share.

        Args:
            timeout_s: Longest wait in seconds, None for no limit.

        Returns:
            Whether it had to wait.
        """
        hub = hubs.get_hub()
        if not isinstance(hub, FairHub):
            # A thread of a tool, which serves nobody.
            return False
        elapsed_s = hub.clock() - self._read_at
        self._used_s = max(0.0, self._used_s - elapsed_s * SHARE)
        if hub.rounds == self._read_in:
            self._used_s = min(MAX_USED_S, self._used_s + elapsed_s)
        if self._used_s <= TURN_S:
            return False
        self._waiting = greenlet.getcurrent()
        try:
            hub.wait_for_turn(timeout_s)
        finally:
            self._waiting = None
        return True

    def end_wait(self) -> None:
        """Lets the reader go on at once if it waits for a turn."""
        if self._waiting is not None:
            hubs.get_hub().end_wait(self._waiting)

    def after_read(self) -> None:
        """Begins to count the time until the next read."""
        hub = hubs.get_hub()
        if isinstance(hub, FairHub):
            self._read_at, self._read_in = hub.clock(), hub.rounds


def wait_for_turn(timeout_s: float) -> None:
    """Waits for a turn before work that may hold the loop.

    Args:
        timeout_s: Longest wait in seconds.
    """
    hub = hubs.get_hub()
    if isinstance(hub, FairHub):
        hub.wait_for_turn(timeout_s)


class FairSocket(greenio.GreenSocket):
    """A socket whose reader waits for a turn after each use of its share."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._meter = ReadMeter()

    def _recv_loop(self, recv_meth, empty_val, *args):
        if self.act_non_blocking:
            return super()._recv_loop(recv_meth, empty_val, *args)
        self._wait_for_turn()
        received = super()._recv_loop(recv_meth, empty_val, *args)
        self._meter.after_read()
        return received

    def _wait_for_turn(self) -> None:
        self._meter.before_read(self.gettimeout())

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Sends all bytes.

        The base class copies what is left after each part, so a body that
        waits for a slow peer would be kept twice.
        """
        left = memoryview(data).cast("B")
        while left:
            left = left[self.send(left, flags) :]


def listen(
    address: tuple[str, int], backlog: int = BACKLOG, **options: bool
) -> FairSocket:
    """Returns a listening socket whose connections are ``FairSocket``.

    Args:
        address: IP address and port.
        backlog: Connections that wait to be accepted.
        options: Options of ``eventlet.listen``.
    """
    return adopt(eventlet.listen(address, backlog=backlog, **options))


def adopt(
    sock: greenio.GreenSocket, socket_class: type[FairSocket] = FairSocket
) -> FairSocket:
    """Returns a ``FairSocket`` for the connection of another one.

    The given socket is detached from its descriptor and must not be used again.
    """
    timeout_s = sock.gettimeout()
    fair = socket_class(
        sock.family, sock.type, sock.proto, fileno=sock.fd.detach()
    )
    fair.settimeout(timeout_s)
    return fair


def longest_round_s() -> float:
    """Returns the longest round of this thread's loop, 0 without ``FairHub``.

    It covers the last one to two minutes; seconds.
    """
    hub = hubs.get_hub()
    if not isinstance(hub, FairHub):
        return 0.0
    return hub.longest_round.duration_s(hub.clock())


def read_waits() -> int:
    """Returns how often a connection has waited for a turn to read."""
    hub = hubs.get_hub()
    return hub.waits if isinstance(hub, FairHub) else 0


def install() -> None:
    """Makes ``FairHub`` the event loop of this thread, before its first use."""
    hubs.use_hub(FairHub)
