"""Moves events from an engine's socket to a caller's in the hub's loop.

A green thread that reads and writes costs two switches, two registrations
with the poller and a timer for each read. The pump registers once for a
stream. The hub calls it for each readable event, and the green thread is
switched to only when the stream ends, breaks or the caller reads too slowly.
"""

from collections.abc import Callable

from eventlet import greenio, hubs
import greenlet

READ_BYTES = 16384
IDLE_CHECKS = 4
"""Checks for an idle stream within its read time-out."""

Feed = Callable[[bytes], bytes]
"""Takes received bytes and returns whole events."""


class Pump:
    """One stretch of a stream that runs without its green thread.

    Attributes:
        rest: Bytes that the caller's socket did not take.
        is_eof: Whether the engine closed the connection.
        source_error: What went wrong on the engine's side.
        sink_error: What went wrong on the caller's side.
    """

    __slots__ = (
        "_feed",
        "_fileno",
        "_idle_s",
        "_is_ended",
        "_listener",
        "_reads",
        "_reads_checked",
        "_recv",
        "_send",
        "_timer",
        "_unchanged",
        "_waiter",
        "is_eof",
        "rest",
        "sink_error",
        "source_error",
    )

    def __init__(
        self,
        source: greenio.GreenSocket,
        sink: greenio.GreenSocket,
        feed: Feed,
        is_ended: Callable[[], bool],
    ):
        self._fileno = source.fileno()
        self._recv = source.fd.recv
        self._send = sink.fd.send
        self._feed = feed
        self._is_ended = is_ended
        self._idle_s = source.gettimeout()
        self._reads = 0
        self._reads_checked = 0
        self._unchanged = 0
        self._listener = None
        self._timer = None
        self._waiter = greenlet.getcurrent()
        self.rest = b""
        self.is_eof = False
        self.source_error: Exception | None = None
        self.sink_error: OSError | None = None

    def run(self) -> None:
        """Waits until the stream ends, breaks or the caller is too slow."""
        hub = hubs.get_hub()
        self._listener = hub.add(
            hub.READ, self._fileno, self._on_readable, self._waiter.throw, None
        )
        self._watch_idle()
        try:
            hub.switch()
        finally:
            hub.remove(self._listener)
            if self._timer:
                self._timer.cancel()

    def _on_readable(self, fileno: int) -> None:
        del fileno
        if not self._move():
            self._waiter.switch()

    def _move(self) -> bool:
        """Moves what can be read now; returns whether to go on."""
        try:
            data = self._recv(READ_BYTES)
            if not data:
                self.is_eof = True
                return False
            whole = self._feed(data)
        except BlockingIOError:
            return True
        except Exception as exc:
            # The hub would drop the error and never wake the green thread.
            self.source_error = exc
            return False
        self._reads += 1
        if whole:
            try:
                sent = self._send(whole)
            except BlockingIOError:
                sent = 0
            except OSError as exc:
                self.sink_error = exc
                return False
            if sent != len(whole):
                self.rest = whole[sent:]
                return False
        return not self._is_ended()

    def _watch_idle(self) -> None:
        if self._idle_s:
            self._timer = hubs.get_hub().schedule_call_global(
                self._idle_s / IDLE_CHECKS, self._check_idle
            )

    def _check_idle(self) -> None:
        if self._reads != self._reads_checked:
            self._unchanged = 0
        else:
            self._unchanged += 1
        self._reads_checked = self._reads
        if self._unchanged < IDLE_CHECKS:
            self._watch_idle()
            return
        self.source_error = TimeoutError(f"no data for {self._idle_s:g} s")
        self._waiter.switch()


def is_pumpable(source: object, sink: object) -> bool:
    """Tells whether both are plain sockets of the hub."""
    return isinstance(source, greenio.GreenSocket) and isinstance(
        sink, greenio.GreenSocket
    )
