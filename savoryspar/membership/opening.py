"""Establishment of links: TCP, TLS and WebSocket, then hello frames."""

from collections.abc import Callable
import socket
import ssl

from savoryspar.membership import exceptions, links, model, websocket

CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0


def dial(
    address: str,
    context: ssl.SSLContext | None,
    own: model.Record,
    max_frame_bytes: int,
) -> links.Link:
    """Opens a link and exchanges the hello frames.

    Raises:
        OSError, WebSocketException: The connection failed.
        FrameError: The peer's hello frame was rejected.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if context:
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            sock = context.wrap_socket(sock, server_hostname=host)
            sock.settimeout(None)
        conn = websocket.new_client(
            sock, address, context is not None, max_frame_bytes
        )
        conn.handshake(HANDSHAKE_TIMEOUT_S)
    except Exception:
        sock.close()
        raise
    link = links.Link(conn, own.incarnation, is_outgoing=True)
    try:
        link.send_now("hello", own.to_body())
        link.peer = _receive_hello(link)
    except Exception:
        link.abort()
        raise
    return link


def accept(
    sock: socket.socket,
    context: ssl.SSLContext | None,
    own: Callable[[], model.Record],
    max_frame_bytes: int,
) -> links.Link:
    """Accepts a link that a peer opens; raises the same errors as ``dial``."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if context:
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            sock = context.wrap_socket(sock, server_side=True)
        sock.settimeout(None)
        conn = websocket.new_server(sock, max_frame_bytes)
        conn.handshake(HANDSHAKE_TIMEOUT_S)
    except Exception:
        sock.close()
        raise
    link = links.Link(conn, own().incarnation, is_outgoing=False)
    try:
        link.peer = _receive_hello(link)
        link.send_now("hello", own().to_body())
    except Exception:
        link.abort()
        raise
    return link


def _receive_hello(link: links.Link) -> model.Record:
    frame = link.receive(HANDSHAKE_TIMEOUT_S)
    if frame.kind != "hello":
        raise exceptions.FrameError(
            "hello",
            f"the first frame of a link has the type {frame.kind!r}",
            "send a hello frame first",
        )
    try:
        record = model.decode_record(frame.body)
    except (ValueError, TypeError) as exc:
        raise exceptions.FrameError(
            "hello", f"invalid hello frame: {exc}", "check the peer's version"
        ) from exc
    if record.incarnation != frame.incarnation:
        raise exceptions.FrameError(
            "hello",
            f"a hello frame from {frame.incarnation} has the record of"
            f" {record.incarnation}",
            "check the peer's version",
        )
    return record
