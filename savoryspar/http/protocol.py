"""Reads request heads within a time limit and refuses ambiguous ones."""

from typing import Any

import eventlet
from eventlet import wsgi

TARGET_KEY = "savoryspar.target"
"""Environment key of the request target as it stood on the request line."""
FIELDS_KEY = "savoryspar.fields"
"""Environment key of the header fields, with their names as they came."""

RESPONSE = "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class TimedProtocol(wsgi.HttpProtocol):
    """Ends a connection whose headers do not arrive in time.

    A request that could be read in two ways is refused and its connection
    closed, since the bytes after it cannot be told apart from its body. While
    the server drains, callers are asked to close theirs.
    """

    def parse_request(self) -> bool:
        """Parses the request head; returns False after answering."""
        timer = eventlet.Timeout(self.server.head_timeout_s)
        try:
            is_parsed = super().parse_request()
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            return self._refuse(408, "Request Timeout")
        finally:
            timer.cancel()
        if not is_parsed:
            self.close_connection = True
            return False
        if self.is_ambiguous():
            return self._refuse(400, "Bad Request")
        if self.server.is_draining:
            # The server then answers with ``Connection: close``.
            self.close_connection = True
        return True

    def is_ambiguous(self) -> bool:
        """Tells whether the end of the body is in doubt."""
        lengths = self.headers.get_all("Content-Length") or []
        encodings = self.headers.get_all("Transfer-Encoding") or []
        hosts = self.headers.get_all("Host") or []
        return (
            len(lengths) + len(encodings) > 1
            or len(hosts) != 1
            or not all(text.strip().isdigit() for text in lengths)
            or not all(text.strip().lower() == "chunked" for text in encodings)
            or (self.request_version != "HTTP/1.1" and bool(encodings))
            or bool(self.headers.defects)
        )

    def get_environ(self) -> dict[str, Any]:
        """Returns the environment, with the head as it came."""
        environ = super().get_environ()
        # The base class folds slashes at the start of the path.
        environ[TARGET_KEY] = self.requestline.split()[1]
        environ[FIELDS_KEY] = self.headers.items()
        return environ

    def send_error(
        self, code: int, message: str | None = None, explain: object = None
    ) -> None:
        """Answers a head that cannot be read, and closes the connection."""
        del explain
        short = self.responses.get(code, ("Bad Request",))[0]
        self._refuse(int(code), short)

    def _refuse(self, code: int, reason: str) -> bool:
        self.wfile.write(RESPONSE.format(code, reason).encode())
        self.wfile.flush()
        self.close_connection = True
        return False
