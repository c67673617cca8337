"""Runs the calls of stage pools for all entry VMs of a zone.

For each pool and zone one VM gathers. It keeps one queue, and one green thread
for each server that takes the next call from the queue as soon as the server
is free.
"""

import collections
from collections.abc import Callable, Sequence
import itertools

import eventlet
from eventlet import event

from savoryspar import backends, fleet, log, platform, stages
from savoryspar.gateway import model

FULL_ROOM_PAUSE_S = 0.05
"""Pause of a server that refused all pieces of a call for lack of memory: it
keeps results that another VM had ordered."""
MAX_TRIES = 3
"""Calls in which the pieces of a group may fail before it fails."""
CALL_TIMEOUT_FACTOR = 6.0
"""Longest wait for a call as a factor of its expected time."""
MIN_CALL_TIMEOUT_S = 1.5
FIRST_BACKOFF_S = 0.3
MAX_BACKOFF_S = 4.0
"""Pause of a server after failed calls, doubled from one to the next."""
FULL_PAUSE_S = 0.05
"""Pause after a server said that it is full: another VM calls it too."""
BRIEF_PAUSE_S = 0.3
"""Pause of a server that its pieces wait for; it is about that of a call."""
NO_SERVER_RETRY_S = 1.0
"""When to come back while a pool has no server in the zone."""
WAKE_S = 0.3
"""Longest pause between two looks at the queue; memory may end by itself."""
EXPIRE_S = 0.05
"""Time between two looks for groups that cannot be done in time any more. Each
orders the whole queue, and a busy pool makes tens of calls a second."""
IDLE_S = 5.0
"""Time without pieces after which a server's green thread ends."""
IDLE_FREE_DELAY_S = 0.1
"""Time for which freed results are collected into one call while less than half
of the server's memory is in use: fewer calls, each of which costs about 1 ms of
processor time. Above that they are freed at once, as memory limits the pool."""
PACE_WEIGHT = 0.4
"""Weight of the newest call in the pace of a server: after three calls, about a
second, four fifths of a change are known."""
MIN_PACE = 0.5
"""Quickest pace that is believed: the call of a pool has the same time at each
of its servers unless one is in trouble."""
FREE_TIMEOUT_S = 1.0
REMEMBERED_HANDLES = 512
"""Newest results of a server by which a second copy of an answer is known."""

Done = Callable[[stages.Group, "stages.Failure | None"], None]


class Offer:
    """What a gatherer says to a group.

    Attributes:
        refused_s: When to come back if it was refused, else None.
        wait_s: Predicted time until it is done.
        fresh_wait_s: The same for a new group that is not late yet.
    """

    __slots__ = ("fresh_wait_s", "refused_s", "wait_s")

    def __init__(
        self, refused_s: float | None, wait_s: float, fresh_wait_s: float
    ):
        self.refused_s = refused_s
        self.wait_s = wait_s
        self.fresh_wait_s = fresh_wait_s


class _Server:
    """One server of the pool and the memory that its results take."""

    __slots__ = (
        "_used_bytes",
        "backoff_s",
        "call_at",
        "entry",
        "expected_s",
        "expires",
        "freed",
        "is_running",
        "made_at",
        "pace",
        "paused_until",
        "seen",
        "sizes",
        "wakeup",
    )

    def __init__(self, entry: fleet.BackendEntry):
        self.entry = entry
        self.backoff_s = 0.0
        self.paused_until = 0.0
        self.call_at: float | None = None
        self.expected_s = 0.0
        self.pace = 1.0
        self.is_running = False
        self.sizes: dict[str, int] = {}
        self._used_bytes = 0
        self.expires: dict[str, float] = {}
        self.made_at: dict[str, float] = {}
        self.freed: list[str] = []
        self.wakeup: event.Event | None = None
        self.seen: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_HANDLES
        )

    def is_same(self, entry: fleet.BackendEntry) -> bool:
        """Tells whether an entry is of this start of the server.

        A server may start again under its name; it keeps no results then.
        """
        return (entry.address, entry.started_ms) == (
            self.entry.address,
            self.entry.started_ms,
        )

    @property
    def key(self) -> tuple[str, str]:
        return (self.entry.name, self.entry.address)

    def used_bytes(self, now: float) -> int:
        """Returns the memory of results that nobody freed yet."""
        # Results end in the order in which they were made.
        for handle in [
            *itertools.takewhile(
                lambda handle: self.expires[handle] <= now, self.expires
            )
        ]:
            self.drop(handle)
        return self._used_bytes

    def room_bytes(self, pool: fleet.StagePool, now: float) -> float:
        """Returns the memory that is believed to be free."""
        return pool.room_bytes - self.used_bytes(now)

    def begin_call(self, expected_s: float, now: float) -> None:
        """Notes the start of a call and its expected time at a usual pace."""
        self.call_at = now
        self.expected_s = expected_s

    def end_call(self, made_s: float, now: float) -> None:
        """Notes the end of a call, and learns the server's pace from it.

        Args:
            made_s: Time of the pieces that it made, at the usual pace; 0 when
                it made none, which says nothing of its pace.
            now: Monotonic time in seconds.
        """
        if made_s:
            factor = (now - self.call_at) / made_s
            self.pace += PACE_WEIGHT * (max(MIN_PACE, factor) - self.pace)
        self.call_at = None

    def pace_at(self, now: float) -> float:
        """Returns the time of its calls as a factor of the expected one.

        A call that goes on for too long tells it before it ends.
        """
        if self.call_at is None:
            return self.pace
        return max(self.pace, (now - self.call_at) / self.expected_s)

    def free_in_s(self, now: float) -> float:
        """Returns the time until the server takes another call."""
        if self.call_at is None:
            return 0.0
        ends_at = self.call_at + self.expected_s * self.pace
        return max(0.0, ends_at - now)

    def wait(self, timeout_s: float) -> None:
        """Waits until there may be work."""
        self.wakeup = event.Event()
        with eventlet.Timeout(timeout_s, False):
            self.wakeup.wait()
        self.wakeup = None

    def wake(self) -> None:
        """Ends the wait."""
        wakeup, self.wakeup = self.wakeup, None
        if wakeup is not None:
            wakeup.send(None)

    def check_new(self, results: Sequence[str | stages.Failure]) -> None:
        """Notes the results of a call.

        A server may send an answer a second time, late, where the next one is
        due. Answers to calls name no request, but their results do.

        Raises:
            DocumentError: They are those of an earlier call.
        """
        handles = [result for result in results if isinstance(result, str)]
        if len({*handles, *self.seen}) < len(handles) + len(self.seen):
            raise fleet.DocumentError(
                f"server {self.entry.name} repeats results of another piece",
                "the call is made again",
            )
        self.seen.extend(handles)

    def keep(
        self, handle: str, size: int, made_at: float, expires_at: float
    ) -> None:
        """Notes a result that takes memory until it is freed."""
        self.sizes[handle] = size
        self.made_at[handle] = made_at
        self.expires[handle] = expires_at
        self._used_bytes += size

    def drop(self, handle: str) -> None:
        """Forgets a result that takes no memory any more."""
        self.expires.pop(handle, None)
        self.made_at.pop(handle, None)
        self._used_bytes -= self.sizes.pop(handle, 0)


class Gatherer:
    """The queue of one pool in one zone and the calls made from it."""

    __slots__ = (
        "_clock",
        "_connections",
        "_done",
        "_entries",
        "_events",
        "_expired_at",
        "_servers",
        "calls",
        "pieces",
        "queue",
    )

    def __init__(
        self,
        pool: fleet.StagePool,
        entries: Callable[[], Sequence[fleet.BackendEntry]],
        connections: backends.Connections,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self.queue = stages.new_batch_queue(pool)
        self._entries = entries
        self._connections = connections
        self._events = events
        self._clock = clock
        self._servers: dict[str, _Server] = {}
        self._done: dict[stages.Group, Done] = {}
        self._expired_at = 0.0
        self.calls = 0
        self.pieces = 0

    def submit(self, group: stages.Group, done: Done, now: float) -> Offer:
        """Takes a group unless it cannot be done in time.

        Args:
            group: The pieces.
            done: Called when all have results, or with the failure.
            now: Monotonic time in seconds.
        """
        self._refresh()
        usable = self._usable(now)
        load = _load_of(usable, now)
        wait_s = self.queue.wait_s(group, load, now)
        refused_s: float | None = wait_s - (group.deadline_at - now)
        if not usable:
            refused_s = self._return_s(now)
        elif refused_s <= 0.0:
            refused_s = None
        offer = Offer(
            refused_s, wait_s, self.queue.fresh_wait_s(group, load, now)
        )
        if offer.refused_s is None:
            self.queue.add(group)
            self._done[group] = done
            self._wake_one(now)
        return offer

    @property
    def unfinished(self) -> int:
        """Groups that wait for results."""
        return len(self._done)

    def wait_s(self, request_id: str, stage: int) -> float | None:
        """Predicts when a group is done; None when it is not known here."""
        now = self._clock()
        load = _load_of(self._usable(now), now)
        return next(
            (
                self.queue.wait_s(group, load, now)
                for group in self._done
                if (group.request_id, group.stage) == (request_id, stage)
            ),
            None,
        )

    def cancel(self, request_id: str) -> None:
        """Drops the pieces of a request; those in a call are freed later."""
        self.queue.cancel(request_id)
        for group in [g for g in self._done if g.request_id == request_id]:
            del self._done[group]
            self.free(group.handles())

    def free(self, handles: Sequence[str]) -> None:
        """Frees results, those too that a gatherer before had made."""
        for handle in handles:
            server = self._maker(handle)
            if server is None:
                continue
            if not server.freed:
                eventlet.spawn_after(
                    self._free_delay_s(server), self._free, server
                )
            server.freed.append(handle)

    def _free_delay_s(self, server: _Server) -> float:
        room_bytes = self.queue.pool.room_bytes
        is_busy = 2 * server.used_bytes(self._clock()) > room_bytes
        return 0.0 if is_busy else IDLE_FREE_DELAY_S

    def _maker(self, handle: str) -> _Server | None:
        """Returns the server that keeps a result, None if it is gone."""
        known = next(
            (s for s in self._servers.values() if handle in s.sizes), None
        )
        if known is not None:
            return known
        address = platform.producer_address(handle)
        return next(
            (s for s in self._servers.values() if s.entry.address == address),
            None,
        )

    def _refresh(self) -> list[fleet.BackendEntry]:
        entries = [*self._entries()]
        names = {entry.name for entry in entries}
        for name in [*self._servers.keys() - names]:
            if not self._servers[name].is_running:
                del self._servers[name]
        for entry in entries:
            server = self._servers.get(entry.name)
            if server is None or not server.is_same(entry):
                server = self._servers[entry.name] = _Server(entry)
            if not server.is_running:
                server.is_running = True
                eventlet.spawn(self._work, server)
        return entries

    def _usable(self, now: float) -> list[_Server]:
        """Returns the listed servers that did not fail just now."""
        names = {entry.name for entry in self._entries()}
        return [
            server
            for name, server in self._servers.items()
            if name in names and self._may_call(server, now)
        ]

    def _may_call(self, server: _Server, now: float) -> bool:
        """Tells whether a server did not fail or ask for a pause just now."""
        return (
            server.paused_until <= now
            and not self._availability.is_leaving(server.key)
            and self._availability.pause_s(server.key, now) <= BRIEF_PAUSE_S
        )

    def _return_s(self, now: float) -> float:
        """Returns when a pool without a usable server may have one again."""
        keys = [server.key for server in self._servers.values()]
        return (
            self._availability.shortest_pause_s(keys, now) or NO_SERVER_RETRY_S
        )

    @property
    def _availability(self) -> backends.ServerAvailability:
        return self._connections.availability

    def _give_back(self) -> None:
        """Tells askers to go elsewhere when no server is left here."""
        if not self._usable(self._clock()):
            for group in [*self._done]:
                self._finish(group, stages.Failure.NO_SERVER)

    def _wake_one(self, now: float) -> None:
        """Wakes a server that waits and has room for some piece.

        One is enough: it takes all that fits into a call, and wakes the next
        one when some pieces are left.
        """
        waiting = [s for s in self._servers.values() if s.wakeup is not None]
        rooms = [s.room_bytes(self.queue.pool, now) for s in waiting]
        if waiting and self.queue.fits(max(rooms)):
            waiting[rooms.index(max(rooms))].wake()

    def _work(self, server: _Server) -> None:
        idle_since = self._clock()
        try:
            while True:
                now = self._clock()
                self._expire(now)
                if not self._is_listed(server):
                    return
                pause_s = self._availability.pause_s(server.key, now)
                if pause_s > 0.0:
                    self._give_back()
                    server.wait(min(WAKE_S, pause_s))
                    continue
                room = server.room_bytes(self.queue.pool, now)
                call = self.queue.next_call(now, room)
                if call:
                    self._wake_one(now)
                    self._run(server, call, now)
                    server.call_at = None
                    idle_since = self._clock()
                    continue
                if now - idle_since > IDLE_S and not len(self.queue):
                    return
                server.wait(WAKE_S)
        finally:
            server.is_running = False
            self._give_back()

    def _is_listed(self, server: _Server) -> bool:
        """Tells whether a server is listed in this start, and stays."""
        name = server.entry.name
        return (
            self._servers.get(name) is server
            and not self._availability.is_leaving(server.key)
            and any(entry.name == name for entry in self._entries())
        )

    def _expire(self, now: float) -> None:
        """Fails the groups that cannot be done in time any more."""
        if now - self._expired_at < EXPIRE_S:
            return
        self._expired_at = now
        load = _load_of(self._usable(now), now)
        for group in self.queue.expire(now, load):
            self._finish(group, stages.Failure.LATE)

    def _run(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        now: float,
    ) -> None:
        pieces = [piece for _, piece in call]
        expected_s = self.queue.call_s(len(pieces))
        timeout_s = max(MIN_CALL_TIMEOUT_S, CALL_TIMEOUT_FACTOR * expected_s)
        server.begin_call(expected_s, now)
        self.calls += 1
        self.pieces += len(pieces)
        self._events.decision(
            "stage call",
            now,
            ",".join(sorted({piece.request_id for piece in pieces})),
            server=server.entry.name,
            pool=server.entry.service,
            pieces=len(pieces),
            waiting=len(self.queue),
            used_mb=round(server.used_bytes(now) / 1e6, 3),
            room_mb=round(self.queue.pool.room_bytes / 1e6, 3),
            hold_s=round(self.queue.hold_s, 3),
            pace=round(server.pace, 2),
        )
        try:
            answer = self._connections.send(
                server.key,
                "POST",
                platform.STAGE_RUN_PATH,
                platform.encode_stage_headers(server.entry.name),
                platform.encode_run(pieces, now),
                timeout_s,
                may_repeat=True,
            )
            body = answer.read_all(now + timeout_s)
            if answer.facts.has_not_run:
                self._return(call, counts=False)
                eventlet.sleep(FULL_PAUSE_S)
                return
            results = platform.decode_results(body, len(pieces))
            server.check_new(results)
        except backends.BackendError as exc:
            self._fail(server, call, exc)
            return
        except fleet.DocumentError as exc:
            # What comes next on a kept connection may belong to this call.
            self._connections.drop_idle(server.key)
            self._fail(server, call, exc)
            return
        server.backoff_s = 0.0
        made = sum(isinstance(result, str) for result in results)
        server.end_call(self.queue.call_s(made) if made else 0.0, self._clock())
        self._take(server, call, results, now)

    def _take(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        results: Sequence[str | stages.Failure],
        began_at: float,
    ) -> None:
        now = self._clock()
        expires_at = now + self.queue.pool.result_ttl_s
        failed = []
        refused = []
        for (group, piece), result in zip(call, results, strict=True):
            if isinstance(result, str):
                server.keep(result, group.result_bytes, began_at, expires_at)
                group.results[piece.number] = result
                if group not in self._done:
                    self.free([result])
                elif group.is_done:
                    self._finish(group, None)
            elif result is stages.Failure.NO_ROOM:
                refused.append((group, piece))
            elif result is stages.Failure.FAILED:
                failed.append((group, piece))
            else:
                self._finish(group, result)
        if refused:
            self._note_room(server, len(refused), now)
            self._return(refused, counts=False)
            if len(refused) == len(call):
                eventlet.sleep(FULL_ROOM_PAUSE_S)
        if failed:
            self._return(failed, counts=True)

    def _note_room(self, server: _Server, refused: int, now: float) -> None:
        """Logs that a server has less memory than was believed."""
        self._events.belief(
            "stage server has no room",
            now,
            server=server.entry.name,
            refused=refused,
            results=len(server.sizes),
            used_mb=round(server.used_bytes(now) / 1e6, 2),
        )

    def _fail(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        exc: Exception,
    ) -> None:
        server.backoff_s = min(
            MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2.0 * server.backoff_s)
        )
        self._events.belief(
            "stage server failed",
            self._clock(),
            server=server.entry.name,
            pool=server.entry.service,
            pause_s=server.backoff_s,
            cause=str(exc),
        )
        server.paused_until = self._clock() + server.backoff_s
        self._return(call, counts=True)
        self._give_back()
        eventlet.sleep(server.backoff_s)

    def _return(
        self,
        call: list[tuple[stages.Group, stages.Piece]],
        counts: bool,
    ) -> None:
        """Puts pieces without a result back into the queue."""
        for group in {id(g): g for g, _ in call}.values():
            group.tries += counts
            if group.tries >= MAX_TRIES:
                self._finish(group, stages.Failure.FAILED)
                continue
            if group not in self._done:
                continue
            group.waiting[:0] = [p for g, p in call if g is group]
            self.queue.add(group)
        self._wake_one(self._clock())

    def _finish(
        self, group: stages.Group, failure: stages.Failure | None
    ) -> None:
        done = self._done.pop(group, None)
        if done is None:
            return
        if failure is not None:
            self.cancel(group.request_id)
            self.free(group.handles())
        done(group, failure)

    def _free(self, server: _Server) -> None:
        pause_s = self._availability.pause_s(server.key, self._clock())
        if pause_s:
            # A server that wants no work is told later.
            eventlet.spawn_after(pause_s, self._free, server)
            return
        handles, server.freed = server.freed, []
        try:
            answer = self._connections.send(
                server.key,
                "POST",
                platform.STAGE_FREE_PATH,
                platform.encode_stage_headers(server.entry.name),
                platform.encode_free(handles),
                FREE_TIMEOUT_S,
                may_repeat=True,
                is_work=False,
            )
            answer.read_all(self._clock() + FREE_TIMEOUT_S)
            now = self._clock()
            for handle in handles:
                if handle in server.made_at:
                    self.queue.record_hold(
                        server.sizes[handle], now - server.made_at[handle]
                    )
                server.drop(handle)
            self._wake_one(now)
        except backends.BackendError as exc:
            # The server drops them itself after their time to live.
            self._events.belief(
                "results not freed",
                self._clock(),
                server=server.entry.name,
                results=len(handles),
                cause=str(exc),
            )


def _load_of(usable: Sequence[_Server], now: float) -> stages.PoolLoad:
    """Returns what keeps servers from new calls."""
    return stages.PoolLoad(
        len(usable),
        min((server.free_in_s(now) for server in usable), default=0.0),
        sum(server.used_bytes(now) for server in usable),
        _mean_pace([server.pace_at(now) for server in usable]),
    )


def _mean_pace(paces: Sequence[float]) -> float:
    """Returns the pace of servers that share calls, slower ones take fewer."""
    return len(paces) / sum(1.0 / pace for pace in paces) if paces else 1.0


def new_gatherer(
    pool: fleet.StagePool,
    entries: Callable[[], Sequence[fleet.BackendEntry]],
    connections: backends.Connections,
    events: log.EventLog,
    clock: model.Clock,
) -> Gatherer:
    """Returns a gatherer without pieces.

    Args:
        pool: How one server works.
        entries: Returns the servers of the pool in the zone.
        connections: Connections to backend servers.
        events: Where calls are logged.
        clock: Monotonic time in seconds.
    """
    return Gatherer(pool, entries, connections, events, clock)
