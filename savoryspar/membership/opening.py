"""Establishment of links: TCP, TLS and WebSocket, then hello frames."""

from collections.abc import Callable
import socket
import ssl

from websockets import server as ws_server
from websockets.sync import client, server

from savoryspar.membership import exceptions, links, model

CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5


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
    conn = client.connect(
        f"{'wss' if context else 'ws'}://{address}/",
        sock=sock,
        ssl=context,
        compression=None,
        open_timeout=HANDSHAKE_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=None,
        max_size=max_frame_bytes,
        proxy=None,
        user_agent_header=None,
    )
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
    own_server: server.Server,
    max_frame_bytes: int,
) -> links.Link:
    """Accepts a link that a peer opens; raises the same errors as ``dial``."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        if context:
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            sock = context.wrap_socket(sock, server_side=True)
        sock.settimeout(None)
        conn = server.ServerConnection(
            sock,
            ws_server.ServerProtocol(max_size=max_frame_bytes),
            own_server,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
        )
    except Exception:
        sock.close()
        raise
    link = links.Link(conn, own().incarnation, is_outgoing=False)
    try:
        conn.handshake(server_header=None, timeout=HANDSHAKE_TIMEOUT_S)
        if conn.protocol.handshake_exc is not None:
            raise conn.protocol.handshake_exc
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
