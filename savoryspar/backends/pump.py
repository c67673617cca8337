"""Moves events from an engine's socket to a caller's in the hub's loop.

A green thread that reads and writes costs two switches, two registrations
with the poller and a timer for each read. The pump registers once for a
stream. The hub calls it for each readable event, and the green thread is
switched to only when the stream ends, breaks or the caller reads too slowly.
"""

from collections.abc import Callable
from typing import Any

from eventlet import greenio, hubs
import greenlet

from savoryspar.backends import framing, poller

READ_BYTES = 16384
IDLE_CHECKS = 4
"""Checks for an idle stream within its read time-out."""


class Pump:
    """One stretch of a stream that runs without its green thread.

    Attributes:
        rest: Bytes that the caller's socket did not take.
        is_eof: Whether the engine closed the connection.
        source_error: What went wrong on the engine's side.
        sink_error: What went wrong on the caller's side.
    """

    __slots__ = (
        "_events_seen",
        "_idle_checks",
        "_idle_s",
        "_sink",
        "_source",
        "_timer",
        "_waiter",
        "is_eof",
        "rest",
        "sink_error",
        "source_error",
    )

    def __init__(self, source: greenio.GreenSocket, sink: greenio.GreenSocket):
        self._source = source
        self._sink = sink
        self._idle_s = source.gettimeout()
        self._idle_checks = 0
        self._events_seen = -1
        self._timer: Any = None
        self._waiter = greenlet.getcurrent()
        self.rest = b""
        self.is_eof = False
        self.source_error: Exception | None = None
        self.sink_error: OSError | None = None

    def run(
        self,
        events: framing.EventReader,
        on_events: Callable[[bytes], object],
    ) -> None:
        """Waits until the stream ends, breaks or the caller is too slow.

        Args:
            events: Finds whole events in the received bytes.
            on_events: Called with events before they are sent.
        """
        polled = poller.get_poller()
        fileno = self._source.fileno()
        polled.add(fileno, self._new_callback(events, on_events))
        self._watch_idle(events)
        try:
            hubs.get_hub().switch()
        finally:
            polled.remove(fileno)
            if self._timer:
                self._timer.cancel()

    def _new_callback(
        self,
        events: framing.EventReader,
        on_events: Callable[[bytes], object],
    ) -> poller.Callback:
        """Returns what is called whenever the engine's socket is readable."""
        # Local names are bound once, because this runs for every token.
        recv, send, feed = self._source.fd.recv, self._sink.fd.send, events.feed
        wake = self._waiter.switch

        def on_readable() -> None:
            try:
                data = recv(READ_BYTES)
                whole = feed(data)
                if whole:
                    on_events(whole)
            except BlockingIOError:
                return
            except Exception as exc:
                # The poller would drop the error and never wake the thread.
                self.source_error = exc
                wake()
                return
            if whole:
                try:
                    sent = send(whole)
                except BlockingIOError:
                    sent = 0
                except OSError as exc:
                    self.sink_error = exc
                    wake()
                    return
                if sent != len(whole):
                    self.rest = whole[sent:]
                    wake()
                    return
            if not data or events.is_ended:
                self.is_eof = not data
                wake()

        return on_readable

    def _watch_idle(self, events: framing.EventReader) -> None:
        if self._idle_s:
            self._timer = hubs.get_hub().schedule_call_global(
                self._idle_s / IDLE_CHECKS, self._check_idle, events
            )

    def _check_idle(self, events: framing.EventReader) -> None:
        # Counting checks spares the relay a look at the clock for each token.
        self._idle_checks += 1
        if events.events != self._events_seen:
            self._idle_checks = 0
            self._events_seen = events.events
        if self._idle_checks < IDLE_CHECKS:
            self._watch_idle(events)
            return
        self._timer = None
        self.source_error = TimeoutError(f"no event for {self._idle_s:g} s")
        self._waiter.switch()


def is_pumpable(source: object, sink: object) -> bool:
    """Tells whether both are plain sockets of the hub."""
    return isinstance(source, greenio.GreenSocket) and isinstance(
        sink, greenio.GreenSocket
    )
