"""Passes an engine's event stream on without parsing it.

The engine sends server-sent events in HTTP chunks. Whole chunks are passed to
the caller's socket as they came, framing included, so the cost of a token is
little more than one read and one write. Only the framing is checked and the
end of an event looked for, so that a stream that breaks never leaves half an
event or a wrong chunk at the caller.
"""

from collections.abc import Callable
import contextlib
import http.client
import socket

import urllib3

from savoryspar.backends import exceptions, framing, pump

READ_BYTES = 65536

OnEvents = Callable[[bytes], object]
"""Takes whole events in HTTP chunk framing."""


class EngineStream:
    """An open event stream of an engine.

    Attributes:
        server: Name of the backend server.
        load: Load that the server reported with its headers, or -1.
        is_leaving: Whether the server said that it is leaving.
        is_complete: Whether the last event was read.
    """

    __slots__ = (
        "_events",
        "_reader",
        "_resp",
        "is_complete",
        "is_leaving",
        "load",
        "server",
    )

    def __init__(
        self,
        server: str,
        resp: urllib3.BaseHTTPResponse,
        reader: http.client.HTTPResponse,
        load: int,
        is_leaving: bool,
    ):
        self.server = server
        self.load = load
        self.is_leaving = is_leaving
        self.is_complete = False
        self._events = framing.EventReader()
        self._resp = resp
        self._reader = reader

    @property
    def events(self) -> int:
        """Whole events read so far."""
        return self._events.events

    def read(self) -> bytes:
        """Waits for data and returns whole events in HTTP chunk framing.

        Returns:
            Raw chunks to pass on; empty after the last one. The terminating
            chunk of the stream is left out.

        Raises:
            StreamBrokenError: The stream ended before its last event, or its
                framing is wrong.
        """
        whole = b""
        while not whole and not self.is_complete:
            try:
                whole = self._events.feed(self._receive())
            except framing.FramingError as exc:
                raise self._malformed(exc) from exc
            if self._events.is_ended:
                self._finish()
        return whole

    def relay(self, sink: socket.socket, on_events: OnEvents) -> None:
        """Passes all further events to a caller's socket.

        Args:
            sink: The caller's socket.
            on_events: Called with events before they are sent.

        Raises:
            StreamBrokenError: As ``read``.
            OSError: The caller's connection broke.
        """
        source = self._socket()
        if not pump.is_pumpable(source, sink):
            while data := self.read():
                on_events(data)
                sink.sendall(data)
            return

        # Events that came with the headers are in the reader's buffer, where
        # the pump does not look.
        if first := self.read():
            on_events(first)
            sink.sendall(first)
        while not self.is_complete:
            moved = pump.Pump(source, sink)
            moved.run(self._events, on_events)
            self._raise_for(moved)
            if moved.rest:
                sink.sendall(moved.rest)
            if self._events.is_ended:
                self._finish()

    def close(self) -> None:
        """Closes the connection, which cancels the generation."""
        with contextlib.suppress(OSError, urllib3.exceptions.HTTPError):
            self._resp.close()

    def _socket(self) -> object:
        raw = getattr(self._reader.fp, "raw", None)
        return getattr(raw, "_sock", None)

    def _receive(self) -> bytes:
        try:
            data = self._reader.fp.read1(READ_BYTES)
        except TimeoutError as exc:
            raise self._broken("no data within the time left", False) from exc
        except (OSError, ValueError, AttributeError) as exc:
            raise self._broken(f"reading failed: {exc}") from exc
        if not data:
            raise self._broken("the connection ended early")
        return data

    def _raise_for(self, moved: pump.Pump) -> None:
        if moved.sink_error:
            raise moved.sink_error
        if moved.is_eof:
            raise self._broken("the connection ended early")
        if isinstance(moved.source_error, framing.FramingError):
            raise self._malformed(moved.source_error)
        if isinstance(moved.source_error, OSError):
            raise self._broken(f"reading failed: {moved.source_error}")
        if moved.source_error:
            raise moved.source_error

    def _finish(self) -> None:
        if not self._events.is_done:
            raise self._broken("the stream ended without its last event")
        self.is_complete = True
        if not self._events.is_clean:
            self.close()
            return
        # The body was read past http.client, which must be told so before
        # urllib3 may reuse the connection.
        self._reader._close_conn()
        self._resp.release_conn()

    def _malformed(
        self, exc: framing.FramingError
    ) -> exceptions.StreamBrokenError:
        return self._broken(f"the stream is malformed: {exc}", is_crash=False)

    def _broken(
        self, reason: str, is_crash: bool = True
    ) -> exceptions.StreamBrokenError:
        self.close()
        return exceptions.StreamBrokenError(
            self.server,
            reason,
            "resume the stream on another server",
            has_sent=True,
            is_crash=is_crash,
        )


def new_engine_stream(
    server: str, resp: urllib3.BaseHTTPResponse, load: int, is_leaving: bool
) -> EngineStream:
    """Returns a stream over a response whose body has not been read."""
    return EngineStream(server, resp, resp._original_response, load, is_leaving)
