"""Sockets of callers, which count toward a budget for connections."""

from collections.abc import Callable
import contextlib
import socket
import time

from savoryspar import eventloop
from savoryspar.http import connection_budget, protocol


class CallerSocket(eventloop.FairSocket):
    """The socket of a caller's connection, or the one that accepts them.

    Attributes:
        budget: The budget, None for a listening socket.
        record: The connection in the budget.
    """

    budget: connection_budget.ConnectionBudget | None = None
    record: connection_budget.Connection | None = None

    @property
    def is_given_up(self) -> bool:
        """Whether the connection is to be closed to make room for others."""
        return (
            self.record is not None
            and self.record.state is connection_budget.State.GIVEN_UP
        )

    @property
    def request_bytes(self) -> int:
        """Memory that the current request counts, without its body."""
        return self.record.counted

    def receive(self, size: int, now: float) -> None:
        """Records that bytes of a request were read."""
        self.budget.receive(self.record, size, now)

    def begin_request(self, head_bytes: int, fields: int, now: float) -> None:
        """Counts a request whose head is complete.

        Raises:
            ConnectionsFullError: There is no room for it.
        """
        self.budget.begin_request(self.record, head_bytes, fields, now)

    def complete_request(self, now: float) -> None:
        """Records that the whole request was read, or its response begins."""
        self.budget.complete_request(self.record, now)

    def count_unread(self, now: float) -> None:
        """Counts bytes that arrive while a request is being served.

        Raises:
            ConnectionsFullError: There is no room for them.
        """
        self.budget.count_unread(self.record, now)

    def end_request(self, now: float) -> None:
        """Records that the response to a request was sent."""
        self.budget.end_request(self.record, now)

    def _recv_loop(self, recv_meth, empty_val, *args):
        received = super()._recv_loop(recv_meth, empty_val, *args)
        size = received if isinstance(received, int) else len(received)
        if self.record is not None and size:
            self.receive(size, time.monotonic())
        return received

    def _send_loop(self, send_method, data, *args):
        if self.record is None:
            return super()._send_loop(send_method, data, *args)
        self.budget.begin_write(self.record, time.monotonic())
        try:
            return super()._send_loop(send_method, data, *args)
        finally:
            self.budget.end_write(self.record)


class CallerTransport:
    """The socket of a connection, as the budget sees it."""

    __slots__ = ("_close_idle", "_sock")

    def __init__(self, sock: CallerSocket, close_idle: Callable[[], None]):
        self._sock = sock
        self._close_idle = close_idle

    def has_data(self) -> bool:
        """Returns whether bytes were received and not yet read."""
        return protocol.has_data(self._sock)

    def end(self, state: connection_budget.State) -> None:
        """Ends what the thread waits for in a state, and the connection.

        After the end of a request that is being read, a response can still be
        sent.
        """
        with contextlib.suppress(OSError):
            if state in connection_budget.READING:
                self._sock.shutdown(socket.SHUT_RD)
            elif state is connection_budget.State.SERVING:
                self._sock.shutdown(socket.SHUT_RDWR)
            else:
                self._close_idle()
