"""Passes an engine's event stream on without parsing it.

The engine sends server-sent events in HTTP chunks. Whole chunks are passed to
the caller's socket as they came, framing included, so the cost of a token is
little more than one read and one write. Only the end of an event is looked
for, so that a stream that breaks never leaves half an event at the caller.
"""

import contextlib
import http.client

import urllib3

from savoryspar.backends import exceptions

READ_BYTES = 65536
EVENT_END = b"\n\n\r\n"
"""Blank line that ends an event, then the end of its HTTP chunk."""
LAST_CHUNK = b"0\r\n\r\n"
DONE_END = b"data: [DONE]" + EVENT_END


def split_events(data: bytes) -> tuple[bytes, bytes]:
    """Returns the whole events in raw chunked data, and the rest."""
    if data.endswith(EVENT_END):
        return data, b""
    end = data.rfind(EVENT_END)
    if end < 0:
        return b"", data
    end += len(EVENT_END)
    return data[:end], data[end:]


class EngineStream:
    """An open event stream of an engine.

    Attributes:
        server: Name of the backend server.
        load: Load that the server reported with its headers, or -1.
        is_leaving: Whether the server said that it is leaving.
        events: Whole events read so far.
        is_complete: Whether the last event was read.
    """

    __slots__ = (
        "_is_done",
        "_pending",
        "_reader",
        "_resp",
        "events",
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
        self.events = 0
        self.is_complete = False
        self._resp = resp
        self._reader = reader
        self._pending = b""
        self._is_done = False

    def read(self) -> bytes:
        """Waits for data and returns whole events in HTTP chunk framing.

        Returns:
            Raw chunks to pass on; empty after the last one. The terminating
            chunk of the stream is left out.

        Raises:
            StreamBrokenError: The stream ended before its last event.
        """
        whole = b""
        while not whole and not self.is_complete:
            data = self._pending + self._receive()
            whole, self._pending = split_events(data)
            if whole:
                self.events += whole.count(EVENT_END)
                self._is_done = whole.endswith(DONE_END)
            if self._pending == LAST_CHUNK:
                self._finish()
        return whole

    def close(self) -> None:
        """Closes the connection, which cancels the generation."""
        with contextlib.suppress(OSError, urllib3.exceptions.HTTPError):
            self._resp.close()

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

    def _finish(self) -> None:
        if not self._is_done:
            raise self._broken("the stream ended without its last event")
        self.is_complete = True
        # The body was read past http.client, which must be told so before
        # urllib3 may reuse the connection.
        self._reader._close_conn()
        self._resp.release_conn()

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
