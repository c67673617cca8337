"""One limit on the connections of all callers, and one on their requests.

Connections are counted. A request takes ``REQUEST_BYTES`` and a multiple of its
head, from the end of the head until its response has been sent; bodies count
elsewhere, see ``upload_budget``. Where there is no room, connections are given
up in this order:

1. a caller that does not read its response, for ``MAX_STALL_S``;
2. the request whose bytes stopped coming for the longest time, after
   ``STALL_S``;
3. the connection that has sent nothing since it was opened, the oldest first;
4. the connection that is idle between two requests for the longest time;
5. the request that began last of those whose next bytes have not arrived, so
   that the first of them is completed. For a request, it must count half as
   much at least.

The third and the fourth make room for connections only. A request that is
complete is never given up for others, as it may have been passed on. If nothing
is left to give up, the new connection or request is refused. No decision
depends on the number of connections.
"""

from collections.abc import Callable, Iterable
import enum
import itertools
import math
from typing import Protocol

from savoryspar.http import exceptions, upload_budget

CONNECTION_BYTES = 24_000
"""Memory of a connection: its green thread, the buffers of its socket in this
process, and the state of the server."""
CONNECTION_SHARE = 0.12
"""Part of the memory for connections: 1,000 on the smallest VM."""
DESCRIPTOR_SHARE = 0.4
"""Part of the descriptors for connections of callers. A request may take
another one for a server; the rest is for files, peers and the store."""
MAX_CONNECTIONS = 2000
"""Most connections, whatever the memory and the descriptors of a VM."""
REQUEST_BYTES = 40_000
"""Memory that a request takes besides: the green threads and the connection to
a server that serve it, and its records."""
HEAD_FACTOR = 4
"""Times that the bytes of a head are kept while its request is served: as read,
in the parser's fields, in the environment and in the fields to forward."""
FIELD_BYTES = 700
"""Memory of one header field besides its bytes."""
REQUEST_SHARE = 0.17
"""Part of the memory for requests: 800 with small heads on the smallest VM.
A quarter of the memory is for bodies, another one for the process itself, and
the rest for answers and for bytes in the kernel."""
UNREAD_BYTES = 32 << 10
"""Bytes that the kernel may keep for a connection whose next bytes are not
read: twice the receive buffer."""
STALL_S = upload_budget.STALL_S
MAX_STALL_S = upload_budget.MAX_STALL_S
"""Times without progress as for bodies; the latter also holds for a caller that
does not read its response."""
PROGRESS_BYTES = upload_budget.PROGRESS_BYTES
"""Bytes that count as progress, as for bodies."""
MAX_LOOKS = 8
"""Connections that are looked at for one to give up, of each kind. Those whose
bytes have arrived and are about to be read are passed over."""


class State(enum.Enum):
    """What the server waits for on a connection.

    Members:
        NEW: The first bytes.
        HEAD: The rest of a head.
        BODY: The rest of a body.
        SERVING: The response to a request.
        IDLE: The next request.
        GIVEN_UP: Its end; it counts until it is closed.
    """

    NEW = "new"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    IDLE = "idle"
    GIVEN_UP = "given up"


READING = (State.HEAD, State.BODY)
"""States in which the bytes of a request are awaited."""


class Transport(Protocol):
    """The socket of a connection, and the thread that serves it."""

    def has_data(self) -> bool:
        """Returns whether bytes were received and not yet read."""

    def end(self, state: State) -> None:
        """Ends what the thread waits for in a state, and the connection."""


class Connection:
    """A connection of a caller; see ``ConnectionBudget``.

    Attributes:
        transport: Its socket.
        state: What the server waits for.
        counted: Bytes that its request counts.
        began_at: When the state began.
        progress_at: When bytes of a request arrived last.
    """

    __slots__ = (
        "_received",
        "began_at",
        "counted",
        "progress_at",
        "state",
        "transport",
    )

    def __init__(self, transport: Transport, now: float):
        self.transport = transport
        self.state = State.NEW
        self.counted = 0
        self.began_at = self.progress_at = now
        self._received = 0

    def begin(self, state: State, now: float) -> None:
        """Begins to wait for something else."""
        self.state = state
        self.began_at = self.progress_at = now
        self._received = 0

    def record(self, size: int, now: float) -> bool:
        """Counts received bytes; returns whether they are progress.

        Single bytes now and then are none.
        """
        self._received += size
        if self._received < PROGRESS_BYTES:
            return False
        self._received = 0
        self.progress_at = now
        return True

    def is_stalled(self, now: float) -> bool:
        """Returns whether the bytes of its request have stopped coming."""
        idle_s = now - self.progress_at
        return idle_s >= STALL_S and (
            idle_s >= MAX_STALL_S or not self.transport.has_data()
        )

    def is_waiting(self) -> bool:
        """Returns whether its next bytes have not arrived."""
        return not self.transport.has_data()


class ConnectionBudget:
    """The connections of all callers; create it with ``new_connection_budget``.

    Attributes:
        max_connections: Most connections.
        max_bytes: Most bytes that requests may count.
        count: Connections now, with those that are being closed.
        closing: Connections that were given up and are not closed yet.
        held: Bytes that requests count, without those of given up ones.
        refused: Connections and requests that were refused since the start.
        given_up: Connections that were given up for others since the start.
    """

    __slots__ = (
        "_bodies",
        "_connections",
        "_writing",
        "closing",
        "count",
        "given_up",
        "held",
        "max_bytes",
        "max_connections",
        "refused",
    )

    def __init__(self, max_connections: int, max_bytes: float):
        self.max_connections = max_connections
        self.max_bytes = max_bytes
        # Connections of each state, in the order in which it began or, where
        # bytes of a request are awaited, in the order of their last progress.
        self._connections: dict[State, dict[Connection, None]] = {
            state: {} for state in State
        }
        # Those whose body is awaited, in the order in which it began.
        self._bodies: dict[Connection, None] = {}
        # When a write began that waits for the caller.
        self._writing: dict[Connection, float] = {}
        self.closing = 0
        self.count = 0
        self.held = 0
        self.refused = 0
        self.given_up = 0

    def open(self, transport: Transport, now: float) -> Connection:
        """Counts a new connection.

        Raises:
            ConnectionsFullError: There is no room for it.
        """
        self._make_room(
            lambda: self.count - self.closing < self.max_connections,
            lambda: self._next_connection(now),
            now,
        )
        conn = Connection(transport, now)
        self._connections[State.NEW][conn] = None
        self.count += 1
        return conn

    def close(self, conn: Connection) -> None:
        """Ends the count of a connection that has been closed."""
        self._leave_state(conn)
        self.closing -= conn.state is State.GIVEN_UP
        self.count -= 1
        self._set_counted(conn, 0)

    def receive(self, conn: Connection, size: int, now: float) -> None:
        """Records bytes of a request."""
        if conn.state in (State.NEW, State.IDLE):
            self._enter(conn, State.HEAD, now)
        if conn.state in READING and conn.record(size, now):
            reading = self._connections[conn.state]
            del reading[conn]
            reading[conn] = None

    def begin_request(
        self, conn: Connection, head_bytes: int, fields: int, now: float
    ) -> None:
        """Counts a request whose head is complete.

        Raises:
            ConnectionsFullError: There is no room for it.
        """
        size = REQUEST_BYTES + HEAD_FACTOR * head_bytes + FIELD_BYTES * fields
        self._count_request(conn, size, now)
        if conn.state is State.HEAD:
            self._enter(conn, State.BODY, now)

    def complete_request(self, conn: Connection, now: float) -> None:
        """Records that the whole request was read, or its response begins."""
        if conn.state is State.BODY:
            self._enter(conn, State.SERVING, now)

    def count_unread(self, conn: Connection, now: float) -> None:
        """Counts bytes that arrive while a request is being served.

        Raises:
            ConnectionsFullError: There is no room for them.
        """
        self._count_request(conn, UNREAD_BYTES, now)

    def end_request(self, conn: Connection, now: float) -> None:
        """Records that the response was sent; another request may come."""
        if conn.state is not State.GIVEN_UP:
            self._enter(conn, State.IDLE, now)
            self._set_counted(conn, 0)

    def begin_write(self, conn: Connection, now: float) -> None:
        """Records that bytes of a response are being sent."""
        if conn.state is not State.GIVEN_UP:
            self._writing[conn] = now

    def end_write(self, conn: Connection) -> None:
        """Records that the caller has taken them."""
        self._writing.pop(conn, None)

    def reclaim(self, now: float) -> None:
        """Gives up a connection, as the process lacks a resource."""
        victim = self._next_connection(now)
        if victim is not None:
            self._give_up(victim, now)

    def _count_request(self, conn: Connection, size: int, now: float) -> None:
        self._make_room(
            lambda: self.held + size <= self.max_bytes,
            lambda: self._next_request(conn, size, now),
            now,
        )
        if conn.state is not State.GIVEN_UP:
            self._set_counted(conn, conn.counted + size)

    def _set_counted(self, conn: Connection, size: int) -> None:
        self.held += size - conn.counted
        conn.counted = size

    def _enter(self, conn: Connection, state: State, now: float) -> None:
        self._leave_state(conn)
        conn.begin(state, now)
        self._connections[state][conn] = None
        if state is State.BODY:
            self._bodies[conn] = None

    def _leave_state(self, conn: Connection) -> None:
        self._connections[conn.state].pop(conn, None)
        self._bodies.pop(conn, None)
        self._writing.pop(conn, None)

    def _make_room(
        self,
        has_room: Callable[[], bool],
        next_victim: Callable[[], Connection | None],
        now: float,
    ) -> None:
        """Gives up connections until there is room for another one.

        Raises:
            ConnectionsFullError: None is left to give up.
        """
        while not has_room():
            victim = next_victim()
            if victim is None:
                self.refused += 1
                raise exceptions.ConnectionsFullError(
                    "the connections and requests of other callers take the"
                    " memory or the descriptors of this entry VM",
                    "retry after the time in Retry-After",
                )
            self._give_up(victim, now)

    def _next_connection(self, now: float) -> Connection | None:
        """Returns the connection to give up for another one, None if none."""
        states = self._connections
        return (
            self._next_stalled(READING, None, now)
            or _first(states[State.NEW], Connection.is_waiting)
            or _first(states[State.IDLE], Connection.is_waiting)
            or _first(reversed(states[State.HEAD]), Connection.is_waiting)
            or _first(reversed(self._bodies), Connection.is_waiting)
        )

    def _next_request(
        self, conn: Connection, size: int, now: float
    ) -> Connection | None:
        """Returns the request to give up for another one, None if none."""

        def is_waiting(other: Connection) -> bool:
            return other.counted >= size / 2 and other.is_waiting()

        return self._next_stalled((State.BODY,), conn, now) or _first(
            reversed(self._bodies), is_waiting, conn
        )

    def _next_stalled(
        self, states: Iterable[State], conn: Connection | None, now: float
    ) -> Connection | None:
        """Returns a caller that neither reads nor sends, None if none."""

        def is_unread(other: Connection) -> bool:
            return now - self._writing[other] >= MAX_STALL_S

        stalled = [
            _first(
                self._connections[state],
                lambda other: other.is_stalled(now),
                conn,
            )
            for state in states
        ]
        return _first(self._writing, is_unread, conn) or min(
            filter(None, stalled),
            key=lambda other: other.progress_at,
            default=None,
        )

    def _give_up(self, conn: Connection, now: float) -> None:
        state = conn.state
        self._enter(conn, State.GIVEN_UP, now)
        self._set_counted(conn, 0)
        self.closing += 1
        self.given_up += 1
        conn.transport.end(state)


def _first(
    connections: Iterable[Connection],
    may_give_up: Callable[[Connection], bool],
    excluded: Connection | None = None,
) -> Connection | None:
    """Returns the first connection that may be given up, None if none."""
    looked_at = itertools.islice(connections, MAX_LOOKS)
    return next(
        (
            conn
            for conn in looked_at
            if conn is not excluded and may_give_up(conn)
        ),
        None,
    )


def new_connection_budget(
    max_connections: int, memory_mb: float = math.inf
) -> ConnectionBudget:
    """Returns an empty budget.

    Args:
        max_connections: Most connections, if the memory suffices for them.
        memory_mb: Memory of the VM in MB.
    """
    size = memory_mb * 1_000_000
    return ConnectionBudget(
        int(min(max_connections, size * CONNECTION_SHARE / CONNECTION_BYTES)),
        size * REQUEST_SHARE,
    )


def max_connections(max_descriptors: float) -> int:
    """Returns the most connections of callers of a process.

    Args:
        max_descriptors: Descriptors that the process may have.
    """
    return int(min(MAX_CONNECTIONS, max_descriptors * DESCRIPTOR_SHARE))
