"""Reads request heads within a time limit."""

import eventlet
from eventlet import wsgi

RESPONSE_408 = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


def new_protocol(head_timeout_s: float) -> type[wsgi.HttpProtocol]:
    """Returns a protocol class for eventlet's server.

    The server limits the wait for the request line and for each read, so a
    caller that sends a byte now and then would hold its connection for ever.

    Args:
        head_timeout_s: Longest time for all headers of a request, in seconds.
    """

    class TimedProtocol(wsgi.HttpProtocol):
        """Ends a connection whose headers do not arrive in time.

        While the server drains, callers are asked to close theirs.
        """

        def parse_request(self) -> bool:
            """Parses the request head; returns False after answering."""
            timer = eventlet.Timeout(head_timeout_s)
            try:
                is_parsed = super().parse_request()
            except eventlet.Timeout as exc:
                if exc is not timer:
                    raise
                self.wfile.write(RESPONSE_408)
                self.close_connection = True
                return False
            finally:
                timer.cancel()
            if self.server.is_draining:
                # The server then answers with ``Connection: close``.
                self.close_connection = True
            return is_parsed

    return TimedProtocol
