"""Copies events from an engine's socket to a caller's in the hub's loop.

A green thread that reads and writes costs two switches, two registrations
with the poller and a timer for each read. The pump registers once per stream.
The hub calls it whenever the engine's socket is readable, and the green thread
resumes only when the stream ends or fails, or when the caller reads too slowly.
"""

from collections.abc import Callable
from typing import Any

from eventlet import greenio, hubs
import greenlet

from savoryspar.backends import framing, poller

READ_BYTES = 16384
IDLE_CHECKS = 4
"""Number of idle checks within the read timeout of a stream."""


class Pump:
    """Relays a part of a stream while its green thread is suspended.

    Attributes:
        unsent: Bytes that the caller's socket did not accept.
        is_eof: Whether the engine closed the connection.
        source_error: Error on the engine's side.
        sink_error: Error on the caller's side.
    """

    __slots__ = (
        "_events_seen",
        "_idle_checks",
        "_idle_s",
        "_sink",
        "_source",
        "_thread",
        "_timer",
        "is_eof",
        "sink_error",
        "source_error",
        "unsent",
    )

    def __init__(self, source: greenio.GreenSocket, sink: greenio.GreenSocket):
        self._source = source
        self._sink = sink
        self._idle_s = source.gettimeout()
        self._idle_checks = 0
        self._events_seen = -1
        self._timer: Any = None
        self._thread = greenlet.getcurrent()
        self.unsent = b""
        self.is_eof = False
        self.source_error: Exception | None = None
        self.sink_error: OSError | None = None

    def run(
        self,
        events: framing.EventReader,
        on_events: Callable[[bytes], object],
    ) -> None:
        """Waits until the stream ends or fails or the caller is too slow.

        Args:
            events: Extracts complete events from the received bytes.
            on_events: Called with events before they are sent.
        """
        hub_poller = poller.get_poller()
        fileno = self._source.fileno()
        hub_poller.add(fileno, self._new_callback(events, on_events))
        self._watch_idle(events)
        try:
            hubs.get_hub().switch()
        finally:
            hub_poller.remove(fileno)
            if self._timer:
                self._timer.cancel()

    def _new_callback(
        self,
        events: framing.EventReader,
        on_events: Callable[[bytes], object],
    ) -> poller.Callback:
        """Returns the callback for a readable engine socket."""
        # Bound to local variables, as the callback runs for every token.
        recv, send, feed = self._source.fd.recv, self._sink.fd.send, events.feed
        wake = self._thread.switch

        def on_readable() -> None:
            try:
                data = recv(READ_BYTES)
                complete = feed(data)
                if complete:
                    on_events(complete)
            except BlockingIOError:
                return
            except Exception as exc:
                # The poller only logs errors, so the thread would never resume.
                self.source_error = exc
                wake()
                return
            if complete:
                try:
                    sent = send(complete)
                except BlockingIOError:
                    sent = 0
                except OSError as exc:
                    self.sink_error = exc
                    wake()
                    return
                if sent != len(complete):
                    self.unsent = complete[sent:]
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
        # Counting checks avoids reading the clock for every token.
        self._idle_checks += 1
        if events.events != self._events_seen:
            self._idle_checks = 0
            self._events_seen = events.events
        if self._idle_checks < IDLE_CHECKS:
            self._watch_idle(events)
            return
        self._timer = None
        self.source_error = TimeoutError(f"no event for {self._idle_s:g} s")
        self._thread.switch()


def is_pumpable(source: object, sink: object) -> bool:
    """Returns whether both are plain (not TLS) sockets of the hub."""
    return isinstance(source, greenio.GreenSocket) and isinstance(
        sink, greenio.GreenSocket
    )
