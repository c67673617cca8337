"""Sockets with a deadline and a limit on the number of bytes received.

A timeout per read does not bound the total time if the server keeps sending,
and HTTP parsers read heads and trailers without a size limit. The limits are
therefore enforced by the socket.
"""

import collections
from collections.abc import Callable, Iterable, Iterator
import contextlib
import http.client
import math
import socket
import time
from typing import Any

from eventlet.greenio import base

from savoryspar import eventloop
from savoryspar.backends import buffers, copies, strict

MAX_ATTEMPTS = 64
"""Attempts remembered for each connection."""


class TooManyBytesError(http.client.HTTPException):
    """A server exceeded the size limit for a part of its answer."""


class BoundedSocket(eventloop.FairSocket):
    """A socket with a deadline and a limit on the bytes received.

    Attributes:
        is_reset: Whether the connection was reset or lost, which the base class
            reports as end of file. A body without a length ends with its
            connection and is complete only if that was closed normally.
        attempts: Attempts that were sent on the connection last. A late answer
            to the first send of an attempt would fit a second one.
        opened_at: When the connection was opened; monotonic seconds.
        purpose: Purpose of the calls on the connection, None before the first.
        results: Results in the answers on the connection, None before the
            first answer that is identified by its results.
    """

    is_reset = False
    opened_at = 0.0
    purpose: str | None = None
    results: copies.ResultLog | None = None
    _clock: Callable[[], float] | None = None
    _deadline_at = math.inf
    _bytes_left = math.inf
    _buffered: buffers.BufferedBytes | None = None

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.attempts: collections.deque[str] = collections.deque(
            maxlen=MAX_ATTEMPTS
        )

    def set_limits(
        self,
        clock: Callable[[], float] | None,
        deadline_at: float,
        max_bytes: float,
    ) -> None:
        """Sets the limits for all further reads and writes.

        Args:
            clock: Monotonic time in seconds, None without a deadline.
            deadline_at: Time after which reads and writes raise
                ``TimeoutError``.
            max_bytes: Received bytes above which ``TooManyBytesError`` is
                raised.
        """
        self._clock, self._deadline_at, self._bytes_left = (
            clock,
            deadline_at,
            max_bytes,
        )

    @contextlib.contextmanager
    def limits(
        self,
        timeout_s: float | None,
        max_bytes: float,
        buffered: buffers.BufferedBytes | None = None,
    ) -> Iterator[None]:
        """Sets the limits for the reads and writes in the block.

        Args:
            timeout_s: Time after which reads and writes raise
                ``TimeoutError``, None for no limit.
            max_bytes: As for ``set_limits``.
            buffered: Counts the received bytes, which are kept until the end
                of the block.
        """
        clock = time.monotonic
        until = math.inf if timeout_s is None else clock() + timeout_s
        self.set_limits(clock, until, max_bytes)
        self._buffered = buffered
        try:
            yield
        finally:
            self.set_limits(None, math.inf, math.inf)
            self.settimeout(timeout_s)
            self._buffered = None
            if buffered is not None:
                buffered.remove(self)

    def abort(self) -> None:
        """Makes a read by another green thread fail at once."""
        self.is_reset = True
        self._meter.end_wait()
        with contextlib.suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)

    def _recv_loop(self, recv_meth, empty_val, *args):
        def receive(*call_args):
            try:
                return recv_meth(*call_args)
            except OSError as exc:
                if exc.errno in base.SOCKET_CLOSED:
                    self.is_reset = True
                raise

        received = super()._recv_loop(receive, empty_val, *args)
        size = received if isinstance(received, int) else len(received)
        self._count_bytes(size)
        return received

    def _wait_for_turn(self) -> None:
        self._apply_deadline()
        if self._meter.before_read(self.gettimeout()):
            self._apply_deadline()

    def _send_loop(self, send_method, data, *args):
        self._apply_deadline()
        return super()._send_loop(send_method, data, *args)

    def _apply_deadline(self) -> None:
        if self._clock is None:
            return
        left_s = self._deadline_at - self._clock()
        if left_s <= 0.0:
            raise TimeoutError("the deadline of the answer has passed")
        self.settimeout(left_s)

    def _count_bytes(self, size: int) -> None:
        self._bytes_left -= size
        if self._bytes_left < 0:
            raise TooManyBytesError("the server sent more bytes than allowed")
        if self._buffered is not None:
            self._buffered.add(self, size)


def open_connection(
    address: str,
    options: Iterable[tuple[int, int, int]],
    timeout_s: float,
) -> strict.StrictConnection:
    """Opens a connection whose socket is a ``BoundedSocket``.

    Args:
        address: ``IP:port`` of the server.
        options: Socket options.
        timeout_s: Connect timeout.

    Raises:
        OSError, ValueError: The connection cannot be opened.
    """
    host, _, port = address.rpartition(":")
    conn = strict.StrictConnection(host, int(port))
    sock = BoundedSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        for option in options:
            sock.setsockopt(*option)
        sock.settimeout(timeout_s)
        _connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    conn.sock = sock
    return conn


def _connect(sock: BoundedSocket, address: tuple[str, int]) -> None:
    """Connects within the timeout of the socket.

    If the process was suspended for that long, the timeout is reported first,
    even if the connection has been established.
    """
    try:
        sock.connect(address)
    except TimeoutError:
        if not _is_connected(sock):
            raise


def _is_connected(sock: BoundedSocket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        # Not connected; the caller re-raises the timeout.
        return False
    return True
