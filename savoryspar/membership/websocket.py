"""A WebSocket connection for green threads.

The blocking connection of the websockets library reads in a thread of its own.
For each message it polls two descriptors and switches threads twice, and each
connection needs two more descriptors. Here the thread that uses the messages
runs the library's protocol itself.
"""

import collections
import contextlib
import socket
import time
from typing import Any

import eventlet
from eventlet import event, semaphore
from websockets import client as ws_client
from websockets import exceptions as ws_exceptions
from websockets import frames as ws_frames
from websockets import protocol as ws_protocol
from websockets import server as ws_server
from websockets import uri as ws_uri

from savoryspar import eventloop

CLOSE_TIMEOUT_S = 0.5
"""Time in which the peer must confirm that the connection is closed."""
MIN_READ_BYTES = 256
FIRST_READ_BYTES = 1024
MAX_READ_BYTES = 16384
"""Bytes that are handled between two reads. The number follows the time that
they take, as the smallest frames have six bytes and cost as much as long ones.
"""


class Connection:
    """An open connection, which one green thread reads and any may write.

    Attributes:
        socket: The socket. Its timeout applies to writes.
    """

    __slots__ = (
        "_ended",
        "_fragments",
        "_greeting",
        "_has_reader",
        "_messages",
        "_meter",
        "_protocol",
        "_read_bytes",
        "_send_timeout_s",
        "_write_lock",
        "socket",
    )

    def __init__(self, sock: Any, protocol: ws_protocol.Protocol):
        self.socket = sock
        self._send_timeout_s = sock.gettimeout()
        sock.settimeout(None)
        self._protocol = protocol
        self._meter = eventloop.ReadMeter()
        self._read_bytes = FIRST_READ_BYTES
        self._write_lock = semaphore.Semaphore()
        self._messages: collections.deque[bytes] = collections.deque()
        # Parts of a message whose last part has not arrived.
        self._fragments: list[bytes] = []
        self._greeting: Any = None
        self._has_reader = False
        self._ended = event.Event()

    def send(self, data: bytes) -> None:
        """Sends a message.

        Raises:
            OSError, WebSocketException: The connection is closed.
        """
        if self._protocol.state is not ws_protocol.State.OPEN:
            raise ws_exceptions.ConnectionClosedError(
                self._protocol.close_rcvd,
                self._protocol.close_sent,
                self._protocol.close_rcvd_then_sent,
            )
        self._protocol.send_binary(data)
        self._flush()

    def recv(self, timeout_s: float | None = None) -> bytes:
        """Waits for the next message.

        Args:
            timeout_s: Timeout, None for the only reader of the connection,
                which reads until it ends.

        Raises:
            TimeoutError: No message has arrived in time.
            OSError, WebSocketException: The connection is closed.
        """
        if timeout_s is None:
            self._has_reader = True
            while not self._messages:
                self._receive()
        else:
            with _deadline(timeout_s):
                while not self._messages:
                    self._receive()
        return self._messages.popleft()

    def handshake(self, timeout_s: float) -> None:
        """Opens the connection.

        Raises:
            TimeoutError: The peer did not answer in time.
            OSError, WebSocketException: The peer closed the connection or does
                not speak the protocol.
        """
        is_client = self._protocol.side is ws_protocol.Side.CLIENT
        if is_client:
            self._protocol.send_request(self._protocol.connect())
            self._flush()
        with _deadline(timeout_s):
            while self._greeting is None:
                self._receive()
        if not is_client:
            self._protocol.send_response(self._protocol.accept(self._greeting))
            self._flush()
        if self._protocol.handshake_exc is not None:
            raise self._protocol.handshake_exc

    def close(self) -> None:
        """Closes the connection, with the peer's confirmation if it comes."""
        with contextlib.suppress(OSError, ws_exceptions.WebSocketException):
            if self._protocol.state is ws_protocol.State.OPEN:
                self._protocol.send_close(ws_frames.CloseCode.NORMAL_CLOSURE)
                self._flush()
            with eventlet.Timeout(CLOSE_TIMEOUT_S, False):
                if self._has_reader:
                    self._ended.wait()
                while True:
                    self._receive()
        self._end()

    def abort(self) -> None:
        """Ends the connection at once; its reader closes the socket."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        if not self._has_reader:
            self._end()

    def _receive(self) -> None:
        """Reads once from the socket.

        Raises:
            WebSocketException: The connection is closed.
        """
        try:
            data = b"" if self._ended.ready() else self._read()
            if not data:
                raise EOFError("the peer closed the connection")
            began_at = time.monotonic()
            self._protocol.receive_data(data)
            received = self._protocol.events_received()
            for item in received:
                self._handle(item)
            self._adapt_reads(time.monotonic() - began_at)
            if self._protocol.state is not ws_protocol.State.CONNECTING:
                self._answer(received)
        except (OSError, EOFError) as exc:
            self._end()
            raise (
                self._protocol.handshake_exc or self._protocol.close_exc
            ) from exc

    def _adapt_reads(self, took_s: float) -> None:
        """Sets the bytes of the next read by the time that the last ones took.

        One read is then handled within a turn of the event loop.
        """
        if took_s > eventloop.TURN_S / 2.0:
            self._read_bytes = max(MIN_READ_BYTES, self._read_bytes // 4)
        elif took_s < eventloop.TURN_S / 8.0:
            self._read_bytes = min(MAX_READ_BYTES, self._read_bytes * 2)

    def _read(self) -> bytes:
        self._meter.before_read()
        data = self._receive_bytes()
        self._meter.after_read()
        return data

    def _receive_bytes(self) -> bytes:
        while True:
            try:
                return self.socket.recv(self._read_bytes)
            except TimeoutError:
                # It is the timeout of a write that runs at the same time.
                continue
            except (AttributeError, ValueError) as exc:
                # The TLS object is removed when the connection is aborted.
                raise ConnectionAbortedError(str(exc)) from exc

    def _handle(self, item: Any) -> None:
        if not isinstance(item, ws_frames.Frame):
            self._greeting = item
        elif item.opcode in ws_frames.DATA_OPCODES:
            self._fragments.append(item.data)
            if item.fin:
                self._messages.append(b"".join(self._fragments))
                self._fragments.clear()

    def _answer(self, received: list[Any]) -> None:
        """Writes what the protocol answers to control frames and errors."""
        if self._protocol.state is not ws_protocol.State.OPEN or any(
            item.opcode is ws_frames.Opcode.PING
            for item in received
            if isinstance(item, ws_frames.Frame)
        ):
            self._flush()

    def _flush(self) -> None:
        """Writes what the protocol has encoded, in this order."""
        with self._write_lock:
            self.socket.settimeout(self._send_timeout_s)
            try:
                parts = self._protocol.data_to_send()
                if data := b"".join(parts):
                    self.socket.sendall(data)
                if parts and not parts[-1]:
                    # An empty part, always the last one, ends the sending.
                    with contextlib.suppress(OSError):
                        self.socket.shutdown(socket.SHUT_WR)
            finally:
                self.socket.settimeout(None)

    def _end(self) -> None:
        if not self._ended.ready():
            self._protocol.receive_eof()
            self._ended.send(None)
            self.socket.close()


@contextlib.contextmanager
def _deadline(timeout_s: float) -> Any:
    """Raises ``TimeoutError`` in its body after a time."""
    timer = eventlet.Timeout(timeout_s)
    try:
        yield
    except eventlet.Timeout as exc:
        if exc is not timer:
            raise
        raise TimeoutError(f"the peer sent nothing for {timeout_s} s") from exc
    finally:
        timer.cancel()


def new_client(
    sock: Any, address: str, is_secure: bool, max_bytes: int
) -> Connection:
    """Returns a connection to a peer, before its handshake.

    Args:
        sock: Connected socket.
        address: ``IP:port`` of the peer.
        is_secure: Whether the socket uses TLS.
        max_bytes: Largest message that is accepted.
    """
    uri = ws_uri.parse_uri(f"{'wss' if is_secure else 'ws'}://{address}/")
    return Connection(sock, ws_client.ClientProtocol(uri, max_size=max_bytes))


def new_server(sock: Any, max_bytes: int) -> Connection:
    """Returns a connection that a peer opens, before its handshake.

    Args:
        sock: Accepted socket.
        max_bytes: Largest message that is accepted.
    """
    return Connection(sock, ws_server.ServerProtocol(max_size=max_bytes))
