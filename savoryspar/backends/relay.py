"""Passes an engine's event stream on without parsing it.

The engine sends server-sent events in HTTP chunks. Complete chunks are passed
to the caller's socket unchanged, including their framing, so the cost of a
token is little more than one read and one write. Only the framing and the ends
of events are checked, so that a broken stream never leaves a partial event or a
malformed chunk at the caller.
"""

from collections.abc import Callable
import contextlib
import http.client
import socket

import urllib3

from savoryspar.backends import exceptions, framing, pump

READ_BYTES = 65536

OnEvents = Callable[[bytes], object]
"""Callback that receives complete events in HTTP chunk framing."""


class EngineStream:
    """An open event stream of an engine.

    Attributes:
        server: Name of the backend server.
        load: Load that the server reported in its headers, or -1.
        is_leaving: Whether the server reported that it is leaving.
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
        """Number of complete events read."""
        return self._events.events

    def read(self) -> bytes:
        """Waits for data and returns complete events in HTTP chunk framing.

        Returns:
            Raw chunks to pass on, without the terminating chunk of the
            stream; empty after the last one.

        Raises:
            StreamBrokenError: The stream ended before its last event, or its
                framing is malformed.
        """
        complete = b""
        while not complete and not self.is_complete:
            try:
                complete = self._events.feed(self._receive())
            except framing.FramingError as exc:
                raise self._malformed(exc) from exc
            if self._events.is_ended:
                self._finish()
        return complete

    def relay(self, sink: socket.socket, on_events: OnEvents) -> None:
        """Passes all remaining events to a caller's socket.

        Args:
            sink: The caller's socket.
            on_events: Called with events before they are sent.

        Raises:
            StreamBrokenError: As for ``read``.
            OSError: The caller's connection failed.
        """
        source = self._socket()
        if not pump.is_pumpable(source, sink):
            while data := self.read():
                on_events(data)
                sink.sendall(data)
            return

        # Events received with the headers are in the reader's buffer, but the
        # pump reads from the socket.
        if first := self.read():
            on_events(first)
            sink.sendall(first)
        while not self.is_complete:
            transfer = pump.Pump(source, sink)
            transfer.run(self._events, on_events)
            self._raise_for(transfer)
            if transfer.unsent:
                sink.sendall(transfer.unsent)
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
            raise self._broken("no data before the deadline", False) from exc
        except (OSError, ValueError, AttributeError) as exc:
            raise self._broken(f"reading failed: {exc}") from exc
        if not data:
            raise self._broken(
                "the connection was closed before the last event"
            )
        return data

    def _raise_for(self, transfer: pump.Pump) -> None:
        if transfer.sink_error:
            raise transfer.sink_error
        if transfer.is_eof:
            raise self._broken(
                "the connection was closed before the last event"
            )
        if isinstance(transfer.source_error, framing.FramingError):
            raise self._malformed(transfer.source_error)
        if isinstance(transfer.source_error, OSError):
            raise self._broken(f"reading failed: {transfer.source_error}")
        if transfer.source_error:
            raise transfer.source_error

    def _finish(self) -> None:
        if not self._events.is_done:
            raise self._broken("the stream ended without its last event")
        self.is_complete = True
        if not self._events.is_clean:
            self.close()
            return
        # The body was read without http.client, which has to close its response
        # before urllib3 can reuse the connection.
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
    """Returns a stream over a response whose body is still unread."""
    return EngineStream(server, resp, resp._original_response, load, is_leaving)
