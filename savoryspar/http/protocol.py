"""Parses request heads within a time limit and rejects ambiguous ones.

It also makes the callers of HTTP/1.0 see which responses are cut, and protects
responses to requests that are not read whole.
"""

from collections.abc import Callable
import contextlib
import re
import socket
import struct
import time
from typing import Any, BinaryIO

import eventlet
from eventlet import wsgi

from savoryspar import decoding, eventloop
from savoryspar.http import chunks, exceptions, upload_budget

TARGET_KEY = "savoryspar.target"
"""Environment key of the request target, unchanged from the request line."""
FIELDS_KEY = "savoryspar.fields"
"""Environment key of the header fields, with names in their original case."""

EMPTY_RESPONSE = (
    "HTTP/1.1 {} {}\r\n{}Connection: close\r\nContent-Length: 0\r\n\r\n"
)
"""Status, reason phrase and one further header field."""
RETRY_FIELD = f"Retry-After: {upload_budget.RETRY_S:.2f}\r\n"
"""Field of the response to a request or a connection without room."""
CLOSE_NORMALLY = struct.pack("ii", 0, 0)
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)
"""Values of ``SO_LINGER``."""
CLOSE_FIELD = ("Connection", "close")
"""Field of a response after which no request of the connection is served."""
LINGER_S = 2.0
"""Longest time for which the unread rest of a request is discarded."""
DISCARD_BYTES = 65536
HEAD_END = re.compile(rb"(?:^|\n)(?P<line>\r?\n)")
"""The empty line after the header fields."""
MAX_END_BYTES = len(b"\n\r\n")
MALFORMED_LINE = re.compile(rb"\r(?!\n)|\0")
"""A CR inside a line, or a NUL."""
MANY_FIELDS = 100
"""Number of fields above which a head waits for a turn before it is parsed: a
few thousand take some 20 ms."""
MAX_HEADER_BYTES = 65536
"""Largest limit for header fields: the parser takes no longer line."""
MAX_DISCARDED_BYTES = 32 << 20
"""Most bytes of that rest that are read: eight times the default limit of a
body. A caller that sends a few times what it may still reads its answer."""


def cut_response() -> None:
    """Ends the response of the current green thread before its end.

    Its connection is closed without the end of the body, so that the response
    does not look complete.
    """
    wsgi.WSGI_LOCAL.already_handled = True
    wsgi.WSGI_LOCAL.is_cut = True


class MalformedLineError(Exception):
    """A line of a head is malformed, or the connection ended within it."""


class HeadTooLongError(Exception):
    """The header fields of a request exceed the limit."""


class _HeaderFields:
    """Reads the header fields of a request, which must be complete.

    The parser takes the end of a connection for the end of the head, and a CR
    inside a line for the end of the line. It also limits the number of lines,
    whatever their size, so they are passed to it as one.

    Attributes:
        count: Lines that were read.
        size: Bytes that were read.
    """

    __slots__ = (
        "_file",
        "_last_line",
        "_max_bytes",
        "_on_end",
        "count",
        "size",
    )

    def __init__(
        self,
        file: BinaryIO,
        max_bytes: int,
        on_end: Callable[[], None],
    ):
        self._file = file
        self._on_end = on_end
        self._max_bytes = min(max_bytes, MAX_HEADER_BYTES)
        self._last_line = b""
        self.count = 0
        self.size = 0

    def readline(self, size: int = -1) -> bytes:
        """Returns all fields, then the empty line that ends them.

        Raises:
            MalformedLineError: A line is malformed or incomplete.
            HeadTooLongError: The fields exceed the limit.
            ConnectionsFullError: There is no room for the request.
        """
        del size
        if self._last_line:
            return self._last_line
        fields = self._read_fields()
        self.count = fields.count(b"\n")
        self.size = len(fields)
        if MALFORMED_LINE.search(fields):
            raise MalformedLineError(f"{fields!r:.80}")
        self._on_end()
        return fields or self._last_line

    def _read_fields(self) -> bytes:
        """Reads the fields and the empty line after them.

        They are not read line by line, as a list of short lines takes many
        times their size.
        """
        fields = bytearray()
        end = None
        while end is None:
            arrived = self._file.peek(1)
            if not arrived:
                raise MalformedLineError(f"{bytes(fields)!r:.80}")
            start = len(fields)
            fields += arrived
            end = HEAD_END.search(fields, max(0, start - MAX_END_BYTES))
            if end is not None:
                del fields[end.end() :]
            self._file.read(len(fields) - start)
            if len(fields) > self._max_bytes + MAX_END_BYTES:
                raise HeadTooLongError(f"more than {self._max_bytes} bytes")
        self._last_line = bytes(end["line"])
        size = len(fields) - len(self._last_line)
        if size > self._max_bytes:
            raise HeadTooLongError(f"more than {self._max_bytes} bytes")
        return bytes(fields[:size])


class TimedProtocol(wsgi.HttpProtocol):
    """An HTTP protocol with a head timeout and strict request framing.

    The connection of a request whose headers do not arrive in time is closed.
    A request whose framing is ambiguous is rejected and its connection closed,
    since the end of its body is unknown, which allows request smuggling. While
    the server drains, responses ask callers to close their connections.

    The body of a response to HTTP/1.0 ends with its connection, so until it is
    complete, the connection is reset by whatever closes it, also by the end of
    this process.

    Closing a connection with unread bytes resets it, which discards the part
    of the response that the caller has not received. After a response, the
    rest of the request, and what follows it, is therefore read first.
    """

    _fields: _HeaderFields | None = None
    _input: wsgi.Input | None = None
    _is_reset_due = False
    _may_have_unread_bytes = False

    def handle_one_request(self) -> None:
        """Reads a request and responds to it."""
        self._fields = _HeaderFields(
            self.rfile, self.server.max_header_bytes, self._begin_request
        )
        self._may_have_unread_bytes = False
        super().handle_one_request()
        # An idle connection is closed without a request: a reset then tells the
        # caller that a request that it has just sent was not read.
        self._may_have_unread_bytes = bool(self.raw_requestline) and (
            self._input is None
            or _is_unread(self._input)
            or has_data(self.connection)
        )
        # An idle connection would keep them until its next request.
        self._input = self._fields = self.environ = self.headers = None
        self.connection.end_request(time.monotonic())

    def _read_request_line(self) -> bytes:
        line = super()._read_request_line()
        if line:
            # It may have arrived with the request before.
            self.connection.receive(len(line), time.monotonic())
        # A request may arrive between the decision to close an idle connection
        # and its shutdown; its response could not be written.
        return b"" if self.conn_state[2] == wsgi.STATE_CLOSE else line

    def parse_request(self) -> bool:
        """Parses the request head; returns False if it was rejected."""
        if self.connection.is_given_up:
            return self._reject(408, "Request Timeout")
        if not self._parse_head():
            return False
        if self.is_ambiguous():
            return self._reject(400, "Bad Request")
        if self.server.is_draining:
            # The base class then sends ``Connection: close``.
            self.close_connection = True
        return True

    def _begin_request(self) -> None:
        """Counts the request before its head is parsed.

        Raises:
            ConnectionsFullError: There is no room for it.
        """
        if self._fields.count > MANY_FIELDS:
            eventloop.wait_for_turn(self.server.head_timeout_s)
        self.connection.begin_request(
            len(self.raw_requestline) + self._fields.size,
            self._fields.count,
            time.monotonic(),
        )

    def _parse_head(self) -> bool:
        """Parses the head in time; returns False if it was rejected."""
        timer = eventlet.Timeout(self.server.head_timeout_s)
        # The base class restores the file after the head.
        self.rfile = self._fields
        try:
            is_parsed = super().parse_request()
        except MalformedLineError:
            if self.connection.is_given_up:
                return self._reject(408, "Request Timeout")
            return self._reject(400, "Bad Request")
        except exceptions.ConnectionsFullError:
            return self._reject(503, "Service Unavailable", RETRY_FIELD)
        except HeadTooLongError:
            return self._reject(431, "Request Header Fields Too Large")
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            return self._reject(408, "Request Timeout")
        finally:
            timer.cancel()
        if not is_parsed:
            self.close_connection = True
        return is_parsed

    def is_ambiguous(self) -> bool:
        """Returns whether the headers frame the body ambiguously."""
        lengths = self.headers.get_all("Content-Length") or []
        encodings = self.headers.get_all("Transfer-Encoding") or []
        hosts = self.headers.get_all("Host") or []
        return (
            len(lengths) + len(encodings) > 1
            or len(hosts) != 1
            or not all(text.strip().isdigit() for text in lengths)
            or not all(text.strip().lower() == "chunked" for text in encodings)
            or (self.request_version != "HTTP/1.1" and bool(encodings))
            or bool(decoding.head_defects(self.headers))
        )

    def handle_one_response(self) -> None:
        """Responds to a request."""
        self.application = self._closing(self.application)
        self._input = self.environ["eventlet.input"]
        if not _is_unread(self._input):
            self.connection.complete_request(time.monotonic())
        wsgi.WSGI_LOCAL.is_cut = False
        if self.request_version == "HTTP/1.1":
            super().handle_one_response()
            return
        self._set_reset_due(True)
        super().handle_one_response()
        if not wsgi.WSGI_LOCAL.is_cut:
            self._set_reset_due(False)

    def _closing(self, app: Callable) -> Callable:
        """Returns an application whose closing responses end the connection.

        The base class sends a ``Connection`` field of an application, but goes
        on to serve the connection.
        """

        def run(environ: dict[str, Any], start_response: Callable) -> Any:
            def start(status: str, fields: list, *args: Any) -> Callable:
                self.connection.complete_request(time.monotonic())
                if CLOSE_FIELD in fields:
                    # The base class then adds the field itself.
                    self.close_connection = True
                    fields = [item for item in fields if item != CLOSE_FIELD]
                return start_response(status, fields, *args)

            return app(environ, start)

        return run

    def _set_reset_due(self, is_due: bool) -> None:
        self._is_reset_due = is_due
        self.connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            CLOSE_WITH_RESET if is_due else CLOSE_NORMALLY,
        )

    def finish(self) -> None:
        """Closes the connection, by a reset if a response on it is cut."""
        if not self._is_reset_due:
            if self._may_have_unread_bytes and not self.connection.is_given_up:
                self._discard_unread()
            super().finish()
            return
        # The base class would shut the connection down, which ends the body
        # normally. Bytes that cannot be flushed are part of a cut response.
        with contextlib.suppress(OSError):
            super(wsgi.HttpProtocol, self).finish()
        self.connection.close()

    def _discard_unread(self) -> None:
        """Ends the response, then reads the rest within limits."""
        # The caller may be gone, which leaves nothing to protect.
        with eventlet.Timeout(LINGER_S, False), contextlib.suppress(OSError):
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            left = MAX_DISCARDED_BYTES
            # The bytes are not kept while the next ones are waited for.
            while left > 0:
                size = len(self.connection.recv(DISCARD_BYTES))
                if not size:
                    break
                left -= size
                eventlet.sleep(0)

    def get_environ(self) -> dict[str, Any]:
        """Returns the environment with the unchanged target and fields."""
        environ = super().get_environ()
        # The base class merges slashes at the start of the path.
        environ[TARGET_KEY] = self.requestline.split()[1]
        environ[FIELDS_KEY] = self.headers.items()
        body = chunks.new_input(environ["eventlet.input"])
        environ["wsgi.input"] = environ["eventlet.input"] = body
        return environ

    def send_error(
        self, code: int, message: str | None = None, explain: object = None
    ) -> None:
        """Rejects a malformed request head and closes the connection."""
        del explain
        reason = self.responses.get(code, ("Bad Request",))[0]
        self._reject(int(code), reason)

    def _reject(self, code: int, reason: str, field: str = "") -> bool:
        self.wfile.write(EMPTY_RESPONSE.format(code, reason, field).encode())
        self.wfile.flush()
        self.close_connection = True
        return False


def _is_unread(body: wsgi.Input) -> bool:
    """Returns whether a request's body was not read to its end."""
    if body.chunked_input:
        return body.chunk_length != 0
    return body.position < (body.content_length or 0)


def has_data(sock: Any) -> bool:
    """Returns whether the socket has received data that was not read yet."""
    try:
        return bool(sock.fd.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
