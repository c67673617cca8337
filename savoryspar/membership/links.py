"""One link to a peer: a WebSocket that carries CBOR frames."""

import collections
from collections.abc import Callable, Iterable
import contextlib
import socket
import ssl
import struct
import time
from typing import Any

import eventlet
from eventlet import queue
from websockets import exceptions as ws_exceptions

from savoryspar import decoding, log
from savoryspar.membership import (
    exceptions,
    frames,
    model,
    traffic,
    websocket,
)

logger = log.new_logger("membership")

LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines about failures of one link."""
OUTBOX_SIZE = 512
MAX_TRACKED_FRAMES = 16
TCP_INFO_MIN_BYTES = 144
MESSAGE_TOO_BIG = 1009
SOCKET_ERRORS = (
    OSError,
    EOFError,
    ssl.SSLError,
    ws_exceptions.WebSocketException,
    # An abrupt close removes the TLS object while a reader still waits on
    # it; the read then fails with one of these.
    AttributeError,
    ValueError,
)


class OutgoingFrame:
    """A frame in the queue of a link.

    Attributes:
        has_started: Whether any byte of it may have been sent.
        is_cancelled: Whether to drop the frame if it has not started.
        queued_at: When it was queued; monotonic seconds.
    """

    __slots__ = ("body", "has_started", "is_cancelled", "kind", "queued_at")

    def __init__(self, kind: str, body: Any, queued_at: float = 0.0):
        self.kind = kind
        self.body = body
        self.queued_at = queued_at
        self.has_started = False
        self.is_cancelled = False


class Link:
    """A connection to a peer, on which frames are exchanged.

    Attributes:
        peer: Record that the peer sent in its hello frame.
        is_outgoing: Whether this process opened the link.
        used_at: When the link last carried a frame other than a heartbeat.
        echo: Sequence number of the newest frame handled from the peer.
        acknowledged_at: Send time of the newest frame that the peer is known to
            have received, minus infinity before the first one.
        facts_sent: Newest counter sent on this link of each member's facts.
        unsent: Changed records in the next batch, by incarnation.
        mismatches: Consecutive heartbeats with another view digest.
        is_closed: Whether the link is closed or being closed.
        traffic: Counts of the process; replaced when the link is added.
    """

    __slots__ = (
        "_conn",
        "_failure_logged_at",
        "_incoming",
        "_info",
        "_outbox",
        "_own",
        "_sent",
        "_sequence",
        "_writer",
        "acknowledged_at",
        "echo",
        "facts_sent",
        "is_closed",
        "is_outgoing",
        "mismatches",
        "peer",
        "traffic",
        "unsent",
        "used_at",
    )

    def __init__(self, conn: websocket.Connection, own: str, is_outgoing: bool):
        self._conn = conn
        self._failure_logged_at = float("-inf")
        self._own = own
        self._incoming = frames.SequenceChecker()
        self._outbox: queue.LightQueue = queue.LightQueue(OUTBOX_SIZE)
        self._sent: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_TRACKED_FRAMES
        )
        self._sequence = 0
        self._info = b""
        self._writer: eventlet.greenthread.GreenThread | None = None
        self.echo = 0
        self.facts_sent: dict[str, int] = {}
        self.is_closed = False
        self.is_outgoing = is_outgoing
        self.acknowledged_at = float("-inf")
        self.mismatches = 0
        self.peer: model.Record | None = None
        self.traffic = traffic.new_traffic()
        self.unsent: dict[str, model.Record] = {}
        self.used_at = time.monotonic()

    def discard_unsent(self, records: Iterable[model.Record]) -> None:
        """Removes the records that the peer itself sent from the next batch."""
        for record in records:
            unsent = self.unsent.get(record.incarnation)
            if unsent and unsent.precedence() <= record.precedence():
                del self.unsent[record.incarnation]

    def send_now(self, kind: str, body: Any) -> None:
        """Writes a frame from the calling green thread.

        Raises:
            FrameError: The body cannot be encoded; nothing was written.
            OSError, WebSocketException: The link is closed.
        """
        self._transmit(self._encode(kind, body))

    def _encode(self, kind: str, body: Any) -> bytes:
        return frames.encode(kind, self._own, self._sequence + 1, body)

    def _transmit(self, data: bytes) -> None:
        self._sequence += 1
        self._sent.append((self._sequence, time.monotonic()))
        self._conn.send(data)

    def receive(self, timeout_s: float | None = None) -> frames.Frame:
        """Waits for the next frame.

        Raises:
            FrameError: The frame was rejected.
            OSError, WebSocketException: The link is closed.
        """
        raw = self._conn.recv(timeout_s)
        frame = frames.decode(raw)
        self._incoming.accept(frame)
        self.traffic.record_received(frame, len(raw))
        return frame

    def post(self, kind: str, body: Any) -> OutgoingFrame | None:
        """Enqueues a frame.

        Returns:
            The queued frame, or None if the link is closed or its queue is
            full because the peer reads too slowly.
        """
        now = time.monotonic()
        item = OutgoingFrame(kind, body, now)
        if self.is_closed:
            return None
        if kind != "heartbeat":
            self.used_at = now
        try:
            self._outbox.put_nowait(item)
        except queue.Full:
            return None
        return item

    def start_writer(
        self,
        interval_s: Callable[[], float],
        heartbeat: Callable[["Link"], Any],
    ) -> None:
        """Starts a green thread that writes queued frames and heartbeats.

        Args:
            interval_s: Returns the time between two heartbeats.
            heartbeat: Returns the body of the next heartbeat.
        """
        self._writer = eventlet.spawn(self._write, interval_s, heartbeat)

    def _write(
        self,
        interval_s: Callable[[], float],
        heartbeat: Callable[["Link"], Any],
    ) -> None:
        due_at = time.monotonic()
        try:
            while not self.is_closed:
                wait_s = due_at - time.monotonic()
                try:
                    item = self._outbox.get(timeout=max(0.0, wait_s))
                except queue.Empty:
                    due_at = time.monotonic() + interval_s()
                    self._send_item(self._render(heartbeat))
                    continue
                self._send_item(item)
        except SOCKET_ERRORS:
            self.abort()
        except Exception as exc:
            # A link without a writer would never be opened again.
            self._log_failure("Link failed.", exc)
            self.abort()

    def _render(self, heartbeat: Callable[["Link"], Any]) -> OutgoingFrame:
        item = OutgoingFrame("heartbeat", None, time.monotonic())
        try:
            item.body = heartbeat(self)
        except Exception as exc:
            # The frames of the queue are still written.
            self._log_failure("Heartbeat not sent.", exc)
            item.is_cancelled = True
        return item

    def _send_item(self, item: OutgoingFrame) -> None:
        """Writes a frame, or drops one that cannot be encoded."""
        if item.is_cancelled:
            return
        try:
            data = self._encode(item.kind, item.body)
        except exceptions.FrameError as exc:
            self._log_failure("Frame not sent.", exc)
            return
        item.has_started = True
        self._transmit(data)
        self.traffic.record_sent(
            traffic.kind_of(item.kind, item.body),
            len(data),
            time.monotonic() - item.queued_at,
        )

    def _log_failure(self, problem: str, exc: Exception) -> None:
        now = time.monotonic()
        if now - self._failure_logged_at >= LOG_INTERVAL_S:
            self._failure_logged_at = now
            peer = self.peer.name if self.peer else ""
            logger.error(f"{problem} peer={peer} {decoding.describe(exc)}")

    def record_echo(self, sequence: int) -> float:
        """Records the sequence number that the peer echoed.

        Returns:
            ``acknowledged_at``, the send time of the newest echoed frame.
        """
        for number, at in self._sent:
            if number == sequence:
                self.acknowledged_at = max(self.acknowledged_at, at)
                break
        return self.acknowledged_at

    def close(self) -> None:
        """Closes the link in the background, after sending queued frames."""
        if not self.is_closed:
            self.is_closed = True
            eventlet.spawn(self._close)

    def _close(self) -> None:
        with contextlib.suppress(*SOCKET_ERRORS):
            while not self._outbox.empty():
                self._send_item(self._outbox.get_nowait())
            self._conn.close()
        self.abort()

    def abort(self) -> None:
        """Closes the link immediately and unblocks its writer."""
        self.is_closed = True
        self.tcp_info()
        with contextlib.suppress(*SOCKET_ERRORS):
            self._conn.abort()

    def tcp_info(self) -> bytes:
        """Returns the kernel's ``tcp_info`` of the connection.

        For a closed link, returns the last value read.
        """
        with contextlib.suppress(OSError):
            self._info = self._conn.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 256
            )
        return self._info


def is_oversize(exc: Exception) -> bool:
    """Returns whether a link was closed because a frame was too large."""
    return (
        isinstance(exc, ws_exceptions.ConnectionClosed)
        and exc.sent is not None
        and exc.sent.code == MESSAGE_TOO_BIG
    )


def decode_tcp_info(raw: bytes) -> dict[str, int]:
    """Returns the bytes and segments of both directions (``linux/tcp.h``).

    Bytes count the TCP payload, including TLS.
    """
    if len(raw) < TCP_INFO_MIN_BYTES:
        return {}
    received, out_segments, in_segments = struct.unpack_from("=QII", raw, 128)
    (sent,) = struct.unpack_from("=Q", raw, 120)
    return {
        "sent_bytes": sent,
        "received_bytes": received,
        "sent_segments": out_segments,
        "received_segments": in_segments,
    }
