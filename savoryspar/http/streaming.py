"""Writes a response stream directly to the caller's socket."""

import json
import socket

from eventlet import wsgi

from savoryspar import pipelines
from savoryspar.http import problems

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Cache-Control: no-cache\r\n"
    b"Transfer-Encoding: chunked\r\n"
    b"Connection: close\r\n"
    b"X-Request-Id: %s\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def relay(
    sock: socket.socket,
    stream: pipelines.AnswerStream,
    request_id: str,
    mode: str,
) -> None:
    """Relays the stream; an interrupted one ends with a problem event.

    Args:
        sock: The caller's socket.
        stream: The answer stream; it is closed at the end.
        request_id: ID of the request.
        mode: ``hub`` relays events in the event loop of the hub, ``thread``
            reads and writes in this green thread.

    Raises:
        RunError: The stream failed before its first event; nothing was sent.
        OSError: The caller's connection failed.
    """
    try:
        data = stream.read()
        # From here on, the response bypasses the WSGI server.
        wsgi.WSGI_LOCAL.already_handled = True
        sock.sendall(RESPONSE_HEAD % request_id.encode() + data)
        _relay_rest(sock, stream, request_id, mode)
    finally:
        stream.close()


def _relay_rest(
    sock: socket.socket,
    stream: pipelines.AnswerStream,
    request_id: str,
    mode: str,
) -> None:
    try:
        if mode == "hub":
            stream.relay(sock)
        else:
            while data := stream.read():
                sock.sendall(data)
        sock.sendall(LAST_CHUNK)
    except pipelines.RunError as exc:
        sock.sendall(_error_chunk(exc, request_id) + LAST_CHUNK)


def _error_chunk(exc: pipelines.RunError, request_id: str) -> bytes:
    document = json.dumps(problems.document(exc, request_id)).encode()
    event = b"data: " + document + b"\n\n"
    return b"%x\r\n%s\r\n" % (len(event), event)
