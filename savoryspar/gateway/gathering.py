"""Batches pieces of pipeline stages into calls to stage servers.

One entry VM is the gatherer of a stage pool in a zone, on behalf of all entry
VMs. It keeps one queue for the pool and one green thread per server; the thread
dispatches the next batch from the queue as soon as its server is free.
"""

import collections
from collections.abc import Callable, Collection, Sequence
import itertools
import math

import eventlet
from eventlet import event

from savoryspar import backends, fleet, log, platform, ratelimits, stages
from savoryspar.gateway import model

OUT_OF_MEMORY_PAUSE_S = 0.05
"""Pause after a server refused all pieces of a call for lack of memory, which
results requested by another entry VM occupy."""
MAX_FAILED_CALLS = 3
"""Failed calls with pieces of a group after which the group fails."""
CALL_TIMEOUT_FACTOR = 6.0
"""Timeout of a call as a factor of its expected duration."""
SLOW_FACTOR = 2.0
"""Ratio to the mean pace of the others from which a call is slow."""
MIN_CALL_TIMEOUT_S = 1.5
FIRST_BACKOFF_S = 0.3
MAX_BACKOFF_S = 4.0
"""Upper bound of the pause after a failed call; the pause starts at
``FIRST_BACKOFF_S`` and doubles with each consecutive failure."""
BUSY_PAUSE_S = 0.05
"""Pause after a server rejected a call as busy, as another entry VM may be
calling it too."""
TOLERATED_PAUSE_S = 0.3
"""Longest pause requested by a server that still counts as usable; about the
duration of a call, so its pieces wait instead of going to another zone."""
NO_SERVER_RETRY_S = 1.0
"""Retry delay reported while a pool has no server in the zone."""
QUEUE_POLL_S = 0.3
"""Longest wait between two checks of the queue. Results expire on the servers
without an event that would wake the thread."""
EXPIRY_INTERVAL_S = 0.05
"""Shortest time between two removals of groups that will miss their deadline.
Each removal sorts the whole queue, and a busy pool makes tens of calls a
second."""
IDLE_TIMEOUT_S = 5.0
"""Time without pieces after which the green thread of a server exits."""
FREE_BATCH_DELAY_S = 0.1
"""Delay that batches released results into one call while at most half of the
server's memory is in use, because each call costs about 1 ms of CPU time. Above
that they are freed immediately, as memory limits the pool's throughput."""
FREE_TIMEOUT_S = 1.0
RUN_PURPOSE = "stage run"
"""Purpose of calls that run pieces, whose answers name results."""
FREE_PURPOSE = "stage free"
"""Purpose of calls that free results. Their answers name nothing, so they are
not sent on connections that carry results."""
NO_SERVER, DEADLINE, URGENT_LOAD = "no server", "deadline", "urgent load"
"""Why a group is refused: its pool has no usable server, it would miss its
deadline, or more urgent groups need the calls."""
MAX_SEEN_HANDLES = 512
"""Newest result handles of a server that are kept to detect duplicate
answers."""

DoneCallback = Callable[[stages.Group, "stages.Failure | None"], None]


class Admission:
    """Admission decision of a gatherer on a submitted group.

    Attributes:
        retry_after_s: Seconds after which to retry a rejected group, None if
            it was admitted.
        wait_s: Predicted seconds until the group is complete.
        fresh_wait_s: Predicted seconds until a new group of the same kind
            would be complete; see ``BatchQueue.fresh_wait_s``.
        reason: Why it was rejected, empty if it was admitted or the gatherer's
            build states none.
        pace: Mean pace of the servers; 1 if the build states none.
    """

    __slots__ = ("fresh_wait_s", "pace", "reason", "retry_after_s", "wait_s")

    def __init__(
        self,
        retry_after_s: float | None,
        wait_s: float,
        fresh_wait_s: float,
        reason: str = "",
        pace: float = 1.0,
    ):
        self.reason = reason
        self.pace = pace
        self.retry_after_s = retry_after_s
        self.wait_s = wait_s
        self.fresh_wait_s = fresh_wait_s


class _Server:
    """A server of the pool with its pace and the memory used by its results.

    Attributes:
        entry: Registration of the server.
        backoff_s: Pause after the last call if that failed, else 0.
        paused_until: End of the pause after a failed call; monotonic seconds.
        call_bytes: Expected size of the results of the running call.
        pace: Duration of its calls as a factor of the expected one.
        is_running: Whether a green thread dispatches calls to the server.
        sizes: Size in bytes of each stored result by handle.
        expires: When each stored result expires; monotonic seconds.
        permit: Permit for the next call if the server names a rate limit.
        requested_at: When each stored result was requested; monotonic seconds.
        to_free: Handles of results that the next free call releases.
        wakeup: Ends the wait of the green thread; None if it does not wait.
        seen_handles: Newest result handles, to detect duplicate answers.
    """

    __slots__ = (
        "_used_bytes",
        "backoff_s",
        "call_bytes",
        "entry",
        "expires",
        "is_running",
        "pace",
        "paused_until",
        "permit",
        "requested_at",
        "seen_handles",
        "sizes",
        "to_free",
        "wakeup",
    )

    def __init__(self, entry: fleet.BackendEntry):
        self.entry = entry
        self.backoff_s = 0.0
        self.paused_until = 0.0
        self.permit: ratelimits.Permit | None = None
        self.call_bytes = 0
        self.pace = stages.new_server_pace()
        self.is_running = False
        self.sizes: dict[str, int] = {}
        self._used_bytes = 0
        self.expires: dict[str, float] = {}
        self.requested_at: dict[str, float] = {}
        self.to_free: list[str] = []
        self.wakeup: event.Event | None = None
        self.seen_handles: collections.deque[str] = collections.deque(
            maxlen=MAX_SEEN_HANDLES
        )

    def is_same_instance(self, entry: fleet.BackendEntry) -> bool:
        """Returns whether an entry belongs to the same server instance.

        A server that restarted under the same name has lost its results.
        """
        return (entry.address, entry.started_ms) == (
            self.entry.address,
            self.entry.started_ms,
        )

    @property
    def key(self) -> tuple[str, str]:
        return (self.entry.name, self.entry.address)

    def used_bytes(self, now: float) -> int:
        """Returns the memory of results that are neither freed nor expired."""
        # Results are stored, and so expire, in the order of this dictionary.
        for handle in [
            *itertools.takewhile(
                lambda handle: self.expires[handle] <= now, self.expires
            )
        ]:
            self.remove_result(handle)
        return self._used_bytes

    def available_bytes(self, pool: fleet.StagePool, now: float) -> float:
        """Returns the estimated free memory for results."""
        return pool.room_bytes - self.used_bytes(now)

    def wait(self, timeout_s: float) -> None:
        """Blocks until ``wake`` is called or the timeout expires."""
        self.wakeup = event.Event()
        with eventlet.Timeout(timeout_s, False):
            self.wakeup.wait()
        self.wakeup = None

    def wake(self) -> None:
        """Unblocks the thread in ``wait``, if any."""
        wakeup, self.wakeup = self.wakeup, None
        if wakeup is not None:
            wakeup.send(None)

    def check_unique(self, results: Sequence[str | stages.Failure]) -> None:
        """Records the result handles of a call and rejects duplicates.

        Copies of answers have been skipped already; see ``backends.copies``.

        Raises:
            DocumentError: A handle occurs twice or belongs to an earlier call.
        """
        handles = [result for result in results if isinstance(result, str)]
        if len({*handles, *self.seen_handles}) < len(handles) + len(
            self.seen_handles
        ):
            raise fleet.DocumentError(
                f"server {self.entry.name} returned a duplicate result handle",
                "the call is retried",
            )
        self.seen_handles.extend(handles)

    def add_result(
        self, handle: str, size: int, requested_at: float, expires_at: float
    ) -> None:
        """Adds a result that occupies memory until it is freed or expires."""
        self.sizes[handle] = size
        self.requested_at[handle] = requested_at
        self.expires[handle] = expires_at
        self._used_bytes += size

    def remove_result(self, handle: str) -> None:
        """Removes a result that no longer occupies memory."""
        self.expires.pop(handle, None)
        self.requested_at.pop(handle, None)
        self._used_bytes -= self.sizes.pop(handle, 0)


class Gatherer:
    """Batches the pieces of a stage pool in one zone into calls to its servers.

    It runs on one entry VM, on behalf of all; see ``stages.choose_gatherer``.

    Attributes:
        queue: Groups that wait for servers.
        calls: Calls to servers since the start.
        pieces: Pieces in these calls.
        reservations: Memory that admitted groups will need.
        predicted_wait_s: Sum of the predicted waits of groups that were served
            since the start.
        actual_wait_s: Sum of their actual waits.
    """

    __slots__ = (
        "_callbacks",
        "_clock",
        "_connections",
        "_entries",
        "_events",
        "_is_evacuated",
        "_last_expiry_at",
        "_live",
        "_live_seen",
        "_promised",
        "_returns",
        "_servers",
        "actual_wait_s",
        "calls",
        "pieces",
        "predicted_wait_s",
        "queue",
        "reservations",
    )

    def __init__(
        self,
        pool: fleet.StagePool,
        entries: Callable[[], Sequence[fleet.BackendEntry]],
        connections: backends.Connections,
        events: log.EventLog,
        clock: model.Clock,
        is_evacuated: Callable[[], bool],
        live: Callable[[], Collection[str]],
    ):
        self.queue = stages.new_batch_queue(pool)
        self._entries = entries
        self._connections = connections
        self._events = events
        self._clock = clock
        self._is_evacuated = is_evacuated
        self._servers: dict[str, _Server] = {}
        self._callbacks: dict[stages.Group, DoneCallback] = {}
        self._last_expiry_at = 0.0
        self._live = live
        self._live_seen: Collection[str] = ()
        # Predicted wait and time of submission of each admitted group.
        self._promised: dict[stages.Group, tuple[float, float]] = {}
        self._returns = stages.new_returns()
        self.reservations = stages.new_reservations()
        self.predicted_wait_s = 0.0
        self.actual_wait_s = 0.0
        self.calls = 0
        self.pieces = 0

    def submit(
        self, group: stages.Group, done: DoneCallback, now: float
    ) -> Admission:
        """Enqueues a group, or rejects it if it would miss its deadline.

        Args:
            group: The pieces.
            done: Called when all pieces have results, or with the failure.
            now: Monotonic time in seconds.
        """
        self._sync_servers()
        admission = self._admission(
            group, self._usable_servers(now), now, self._limiter.wait_s
        )
        self._promise_return(group, admission, now)
        is_admitted = admission.retry_after_s is None
        self.queue.record_demand(group, is_admitted, now)
        if is_admitted:
            self.queue.add(group)
            self.reservations.reserve(group, self._live())
            self._promised[group] = (admission.wait_s, now)
            self._callbacks[group] = done
            self._wake_one(now)
        return admission

    def _promise_return(
        self, group: stages.Group, admission: Admission, now: float
    ) -> None:
        """Spreads the returns of refused groups, and settles admitted ones."""
        key = _return_key(group)
        if admission.retry_after_s is None:
            self._returns.settle(key)
        elif admission.reason != NO_SERVER:
            admission.retry_after_s = self._returns.promise(
                key,
                admission.retry_after_s,
                self.queue.work_s(group),
                max(1, len(self._usable_servers(now))),
                now,
            )

    def predict(self, group: stages.Group, now: float) -> Admission:
        """Returns what ``submit`` would answer; changes no state.

        The return of a refused group is not spread.
        """
        usable = [
            server
            for entry in self._entries()
            if self._is_usable(server := self._entry_server(entry), now)
        ]
        return self._admission(group, usable, now, self._limiter.preview_wait_s)

    def _entry_server(self, entry: fleet.BackendEntry) -> _Server:
        """Returns the server of an entry, a new one if it is not known yet."""
        server = self._servers.get(entry.name)
        if server is None or not server.is_same_instance(entry):
            return _Server(entry)
        return server

    def _admission(
        self,
        group: stages.Group,
        usable: Sequence[_Server],
        now: float,
        permit_wait_s: Callable[[ratelimits.Server, float], float],
    ) -> Admission:
        """Returns the decision on a group; changes no state."""
        load = self._pool_load(usable, now, permit_wait_s)
        wait_s = self.queue.wait_s(group, load, now)
        retry_after_s, reason = self._refusal(group, usable, load, wait_s, now)
        return Admission(
            retry_after_s,
            wait_s,
            self.queue.fresh_wait_s(group, load, now),
            reason,
            load.pace,
        )

    def _refusal(
        self,
        group: stages.Group,
        usable: Sequence[_Server],
        load: stages.PoolLoad,
        wait_s: float,
        now: float,
    ) -> tuple[float | None, str]:
        """Returns when there is room and why not now, None if there is."""
        if not usable:
            return self._retry_delay_s(now), NO_SERVER
        late_s = wait_s - (group.deadline_at - now)
        excess_s = self.queue.excess_s(group, load.servers, now)
        if max(late_s, excess_s) <= 0.0:
            return None, ""
        reason = DEADLINE if late_s > 0.0 else URGENT_LOAD
        return max(late_s, excess_s), reason

    @property
    def unfinished(self) -> int:
        """Number of groups that wait for results."""
        return len(self._callbacks)

    def wait_s(
        self,
        request_id: str,
        stage: int,
        owner: str = "",
        submission: int = 0,
    ) -> float | None:
        """Returns the predicted seconds until a group is complete.

        None if this gatherer does not have the group.

        Args:
            request_id: Attempt ID of the request.
            stage: Number of the stage.
            owner: VM that submitted the group, empty for this one.
            submission: Number of the submission; 0 for any.
        """
        now = self._clock()
        load = self._pool_load(
            self._usable_servers(now), now, self._limiter.wait_s
        )
        return next(
            (
                self.queue.wait_s(group, load, now)
                for group in self._callbacks
                if (group.request_id, group.stage, group.owner)
                == (request_id, stage, owner)
                and submission in (0, group.submission)
            ),
            None,
        )

    def cancel(
        self,
        request_id: str,
        owner: str = "",
        submissions: Collection[int] | None = None,
    ) -> None:
        """Drops the pieces of a request.

        Results of pieces in a running call are freed when it ends.

        Args:
            request_id: Attempt ID of the request.
            owner: VM that submitted the groups, empty for this one.
            submissions: Numbers of the submissions; all when None.
        """
        for group in [*self._callbacks]:
            if (group.request_id, group.owner) == (request_id, owner) and (
                submissions is None or group.submission in submissions
            ):
                self._drop(group)

    def _drop(self, group: stages.Group) -> DoneCallback | None:
        """Forgets a group and returns its callback, None if it has ended."""
        self.queue.remove(group)
        self.reservations.release(group)
        self._record_wait(group)
        done = self._callbacks.pop(group, None)
        if done is not None and not group.is_done:
            self.free(group.handles())
        return done

    def _record_wait(self, group: stages.Group) -> None:
        """Adds the waits of a group that was served to the sums."""
        promised = self._promised.pop(group, None)
        if promised is not None and group.is_done:
            predicted_s, submitted_at = promised
            self.predicted_wait_s += predicted_s
            self.actual_wait_s += self._clock() - submitted_at

    def _drop_abandoned(self, now: float) -> None:
        """Drops the groups of VMs that are gone, and frees their results."""
        live = self._live()
        if live is self._live_seen:
            return
        self._live_seen = live
        abandoned = self.reservations.abandoned(live)
        for group in abandoned:
            self._drop(group)
        if abandoned:
            self._events.state_change(
                "stage groups abandoned",
                now,
                pool=abandoned[0].pool,
                groups=len(abandoned),
                peers=",".join(sorted({group.owner for group in abandoned})),
            )

    def free(self, handles: Sequence[str]) -> None:
        """Frees results, including those requested by an earlier gatherer.

        Those of an evacuated zone stay until their time to live ends.
        """
        if self._is_evacuated():
            return
        for handle in handles:
            server = self._server_of(handle)
            if server is None or self._may_expire(server):
                continue
            if not server.to_free:
                eventlet.spawn_after(
                    self._free_delay_s(server), self._send_free, server
                )
            server.to_free.append(handle)

    def _free_delay_s(self, server: _Server) -> float:
        return 0.0 if self._is_half_full(server) else FREE_BATCH_DELAY_S

    def _is_half_full(self, server: _Server) -> bool:
        used_bytes = server.used_bytes(self._clock())
        return 2 * used_bytes > self.queue.pool.room_bytes

    def _may_expire(self, server: _Server) -> bool:
        """Returns whether results may stay until their time to live ends.

        Calls that free results count toward a server's rate limit.
        """
        return self._limiter.is_bound(server.key) and not self._is_half_full(
            server
        )

    def _server_of(self, handle: str) -> _Server | None:
        """Returns the server that stores a result, None if it is unlisted."""
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

    def _sync_servers(self) -> list[fleet.BackendEntry]:
        entries = [*self._entries()]
        names = {entry.name for entry in entries}
        for name in [*self._servers.keys() - names]:
            if not self._servers[name].is_running:
                del self._servers[name]
        for entry in entries:
            server = self._servers[entry.name] = self._entry_server(entry)
            if not server.is_running:
                server.is_running = True
                eventlet.spawn(self._serve_queue, server)
        return entries

    def _usable_servers(self, now: float) -> list[_Server]:
        """Returns the listed servers that are not in a backoff or pause."""
        names = {entry.name for entry in self._entries()}
        return [
            server
            for name, server in self._servers.items()
            if name in names and self._is_usable(server, now)
        ]

    def _is_usable(self, server: _Server, now: float) -> bool:
        """Returns whether a server is neither paused nor leaving.

        A pause of at most ``TOLERATED_PAUSE_S`` is ignored.
        """
        return (
            server.paused_until <= now
            and not self._availability.is_leaving(server.key)
            and self._availability.pause_s(server.key, now) <= TOLERATED_PAUSE_S
        )

    def _retry_delay_s(self, now: float) -> float:
        """Returns the seconds until a pool may have a usable server again."""
        keys = [server.key for server in self._servers.values()]
        return (
            self._availability.shortest_pause_s(keys, now) or NO_SERVER_RETRY_S
        )

    @property
    def _limiter(self) -> ratelimits.Limiter:
        return self._connections.limiter

    def _pool_load(
        self,
        usable: Sequence[_Server],
        now: float,
        permit_wait_s: Callable[[ratelimits.Server, float], float],
    ) -> stages.PoolLoad:
        """Returns the current load of the usable servers."""
        return stages.PoolLoad(
            len(usable),
            min(
                (
                    max(
                        server.pace.free_in_s(now),
                        permit_wait_s(server.key, now)
                        if self._is_paced(server, now)
                        else 0.0,
                    )
                    for server in usable
                ),
                default=0.0,
            ),
            sum(
                server.used_bytes(now) + server.call_bytes for server in usable
            ),
            _mean_pace([self._pace(server, now) for server in usable]),
        )

    def _pace(self, server: _Server, now: float) -> float:
        """Returns the pace of a server, as far as its rate limit allows."""
        if not self._is_paced(server, now):
            return server.pace.at(now)
        full_call_s = self.queue.call_s(self.queue.pool.batch)
        return max(
            server.pace.at(now),
            self._limiter.interval_s(server.key, now) / full_call_s,
        )

    @property
    def _availability(self) -> backends.ServerAvailability:
        return self._connections.availability

    def record_evacuation(self) -> None:
        """Fails the waiting groups at once if the zone is evacuated."""
        if self._is_evacuated():
            self._fail_if_no_server()

    def _fail_if_no_server(self) -> None:
        """Fails all groups if no server is usable, so they go elsewhere.

        If the zone is evacuated, those whose last pieces run go on.
        """
        if self._usable_servers(self._clock()):
            return
        is_evacuated = self._is_evacuated()
        for group in [*self._callbacks]:
            if group.waiting or not is_evacuated:
                self._finish(group, stages.Failure.NO_SERVER)

    def _wake_one(self, now: float, max_pace: float = math.inf) -> None:
        """Wakes the idle server with the most free memory, if a piece fits.

        Waking one server is enough: it dispatches all pieces that fit into a
        call, and wakes the next server if pieces are left. Among servers that
        report their pace, the fastest is woken.

        Args:
            now: Monotonic time in seconds.
            max_pace: Highest pace of a server that is woken.
        """
        waiting = [
            (server.available_bytes(self.queue.pool, now), server)
            for server in self._servers.values()
            if server.wakeup is not None and server.pace.at(now) <= max_pace
        ]
        if not waiting:
            return
        most_bytes, chosen = max(waiting, key=lambda item: item[0])
        if not self.queue.fits(most_bytes):
            return
        if chosen.pace.is_reported:
            chosen = min(
                (s for room, s in waiting if self.queue.fits(room)),
                key=lambda server: server.pace.at(now),
            )
        chosen.wake()

    def _serve_queue(self, server: _Server) -> None:
        idle_since = self._clock()
        try:
            while True:
                now = self._clock()
                self._expire_groups(now)
                if not self._is_listed(server):
                    return
                pause_s = self._availability.pause_s(server.key, now)
                if pause_s > 0.0:
                    self._fail_if_no_server()
                    server.wait(min(QUEUE_POLL_S, pause_s))
                    continue
                available_bytes = server.available_bytes(self.queue.pool, now)
                wait_s = self._permit_wait_s(server, available_bytes, now)
                if wait_s:
                    server.wait(min(QUEUE_POLL_S, wait_s))
                    continue
                now = self._clock()
                call = self._next_call(server, available_bytes, now)
                if call:
                    self._wake_one(now)
                    self._send_call(server, call, now)
                    server.pace.abort_call()
                    server.call_bytes = 0
                    idle_since = self._clock()
                    continue
                if self.queue.fits(available_bytes):
                    self._wait_for_faster(server, now)
                    continue
                if now - idle_since > IDLE_TIMEOUT_S and not len(self.queue):
                    return
                server.wait(QUEUE_POLL_S)
        finally:
            server.is_running = False
            self._fail_if_no_server()

    def _next_call(
        self, server: _Server, available_bytes: float, now: float
    ) -> list[tuple[stages.Group, stages.Piece]]:
        """Removes and returns the pieces of the next call to a server.

        Servers that report no pace are taken to be equally fast.
        """
        if not server.pace.is_reported:
            return self.queue.next_call(now, available_bytes)
        return self.queue.next_call(
            now,
            available_bytes,
            self._outlook(server, now),
            self._outlooks_of_others(server, now),
        )

    def _outlook(self, server: _Server, now: float) -> stages.ServerOutlook:
        """Returns the expected state of a server for its next call."""
        return stages.ServerOutlook(
            max(
                server.pace.likely_free_in_s(now),
                self._limiter.wait_s(server.key, now),
            ),
            server.pace.at(now),
            server.available_bytes(self.queue.pool, now) - server.call_bytes,
        )

    def _outlooks_of_others(
        self, server: _Server, now: float
    ) -> list[stages.ServerOutlook]:
        return [
            self._outlook(other, now)
            for other in self._usable_servers(now)
            if other is not server
        ]

    def _wait_for_faster(self, server: _Server, now: float) -> None:
        """Waits after a server left all groups that fit to faster ones."""
        self._wake_one(now, server.pace.at(now) / stages.SLOW_RATIO)
        others = self._outlooks_of_others(server, now)
        server.wait(stages.retry_s(others, QUEUE_POLL_S))

    def _permit_wait_s(
        self, server: _Server, available_bytes: float, now: float
    ) -> float:
        """Acquires a permit for the next call to a server.

        Returns:
            Time to wait before the next try, 0 if a call may be sent.
        """
        is_needed = (
            self._limiter.is_limited(server.key)
            and self.queue.fits(available_bytes)
            and not (server.permit and server.permit.is_valid(now))
        )
        if not is_needed:
            return 0.0
        req = ratelimits.PermitRequest(
            self.queue.rank(),
            patience_s=QUEUE_POLL_S,
            ignores_pace=self._ignores_pace(now),
        )
        try:
            server.permit = self._limiter.acquire(server.key, req, now)
        except ratelimits.LimitReachedError as exc:
            return exc.next_s
        return 0.0

    def _is_paced(self, server: _Server, now: float) -> bool:
        """Returns whether permits limit the calls to a server."""
        return self._limiter.is_limited(server.key) and (
            self._limiter.is_bound(server.key) or not self._ignores_pace(now)
        )

    def _ignores_pace(self, now: float) -> bool:
        """Returns whether all usable servers are in their slow start.

        No other server can run the pieces then, so it does not hold.
        """
        return all(
            self._limiter.is_starting(server.key)
            for server in self._usable_servers(now)
        )

    def _is_listed(self, server: _Server) -> bool:
        """Returns whether this server instance is listed and not leaving."""
        name = server.entry.name
        return (
            self._servers.get(name) is server
            and not self._availability.is_leaving(server.key)
            and any(entry.name == name for entry in self._entries())
        )

    def _expire_groups(self, now: float) -> None:
        """Fails the groups that will miss their deadline."""
        if now - self._last_expiry_at < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        self._drop_abandoned(now)
        load = self._pool_load(
            self._usable_servers(now), now, self._limiter.wait_s
        )
        for group in self.queue.expire(now, load):
            self._finish(group, stages.Failure.LATE)

    def _send_call(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        now: float,
    ) -> None:
        pieces = [piece for _, piece in call]
        expected_s = self.queue.call_s(len(pieces))
        timeout_s = max(MIN_CALL_TIMEOUT_S, CALL_TIMEOUT_FACTOR * expected_s)
        server.pace.begin_call(expected_s, now)
        server.call_bytes = sum(group.result_bytes for group, _ in call)
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
            pace=round(server.pace.at(now), 2),
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
                permit=server.permit,
                purpose=RUN_PURPOSE,
                results_of=platform.result_handles,
            )
            body = answer.read_all(now + timeout_s, has_own_end=True)
            if answer.facts.has_not_run:
                server.call_bytes = 0
                self._requeue(call, is_failure=False)
                server.pace.report(answer.facts.pace, self._clock())
                eventlet.sleep(BUSY_PAUSE_S)
                return
            results = platform.decode_results(body, len(pieces))
            server.check_unique(results)
        except (backends.RateLimitedError, backends.ServerForbiddenError):
            self._requeue(call, is_failure=False)
            return
        except backends.BackendError as exc:
            self._handle_failure(server, call, exc)
            return
        except fleet.DocumentError as exc:
            self._handle_failure(server, call, exc)
            return
        if server.backoff_s:
            self._limiter.record_recovery(server.key, self._clock())
        server.backoff_s = 0.0
        completed = sum(isinstance(result, str) for result in results)
        nominal_s = self.queue.call_s(completed) if completed else 0.0
        self._record_result(server, nominal_s)
        server.pace.end_call(nominal_s, self._clock(), answer.facts.pace)
        server.call_bytes = 0
        self._handle_results(server, call, results, now)

    def _record_result(self, server: _Server, nominal_s: float) -> None:
        """Records whether a server in its slow start ended a call in time.

        Args:
            server: The server.
            nominal_s: Expected duration at pace 1, 0 if the call failed.
        """
        if not self._limiter.is_starting(server.key):
            return
        result = ratelimits.Result.FAILED
        if nominal_s:
            paces = [
                other.pace.mean
                for other in self._servers.values()
                if other is not server
            ]
            factor = (self._clock() - server.pace.call_at) / nominal_s
            is_slow = factor > SLOW_FACTOR * _mean_pace(paces or [1.0])
            result = (
                ratelimits.Result.SLOW if is_slow else ratelimits.Result.GOOD
            )
        self._limiter.record_result(server.key, result)

    def _handle_results(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        results: Sequence[str | stages.Failure],
        called_at: float,
    ) -> None:
        now = self._clock()
        expires_at = now + self.queue.pool.result_ttl_s
        failed = []
        refused = []
        for (group, piece), result in zip(call, results, strict=True):
            if isinstance(result, str):
                server.add_result(
                    result, group.result_bytes, called_at, expires_at
                )
                group.results[piece.number] = result
                self.reservations.use(group)
                if group not in self._callbacks:
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
            self._log_out_of_memory(server, len(refused), now)
            self._requeue(refused, is_failure=False)
            if len(refused) == len(call):
                eventlet.sleep(OUT_OF_MEMORY_PAUSE_S)
        if failed:
            self._requeue(failed, is_failure=True)

    def _log_out_of_memory(
        self, server: _Server, refused: int, now: float
    ) -> None:
        """Logs that a server has less free memory than estimated."""
        self._events.state_change(
            "stage server has no room",
            now,
            server=server.entry.name,
            refused=refused,
            results=len(server.sizes),
            used_mb=round(server.used_bytes(now) / 1e6, 2),
        )

    def _handle_failure(
        self,
        server: _Server,
        call: list[tuple[stages.Group, stages.Piece]],
        exc: Exception,
    ) -> None:
        server.backoff_s = min(
            MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2.0 * server.backoff_s)
        )
        self._events.state_change(
            "stage server failed",
            self._clock(),
            server=server.entry.name,
            pool=server.entry.service,
            pause_s=server.backoff_s,
            cause=str(exc),
        )
        server.paused_until = self._clock() + server.backoff_s
        self._record_result(server, 0.0)
        self._requeue(call, is_failure=True)
        self._fail_if_no_server()
        eventlet.sleep(server.backoff_s)

    def _requeue(
        self,
        call: list[tuple[stages.Group, stages.Piece]],
        is_failure: bool,
    ) -> None:
        """Requeues pieces without a result.

        Args:
            call: The pieces, with their groups.
            is_failure: Whether this is a failed call of the groups, which fail
                after ``MAX_FAILED_CALLS`` of them.
        """
        for group in {id(g): g for g, _ in call}.values():
            group.failed_calls += is_failure
            if group.failed_calls >= MAX_FAILED_CALLS:
                self._finish(group, stages.Failure.FAILED)
                continue
            if group not in self._callbacks:
                continue
            group.waiting[:0] = [p for g, p in call if g is group]
            self.queue.add(group)
        self._wake_one(self._clock())

    def _finish(
        self, group: stages.Group, failure: stages.Failure | None
    ) -> None:
        done = self._drop(group)
        if done is not None:
            done(group, failure)

    def _delay_free(self, server: _Server, delay_s: float) -> None:
        """Frees results later, except those that expire by then."""
        retried_at = self._clock() + delay_s
        server.to_free = [
            handle
            for handle in server.to_free
            if server.expires.get(handle, 0.0) > retried_at
        ]
        if server.to_free:
            eventlet.spawn_after(delay_s, self._send_free, server)

    def _send_free(self, server: _Server) -> None:
        pause_s = self._availability.pause_s(server.key, self._clock())
        if pause_s:
            # The server requested a pause; free the results after it.
            eventlet.spawn_after(pause_s, self._send_free, server)
            return
        try:
            permit = self._limiter.acquire(
                server.key,
                ratelimits.PermitRequest(ignores_pace=True),
                self._clock(),
            )
        except ratelimits.LimitReachedError as exc:
            self._delay_free(server, exc.next_s)
            return
        handles, server.to_free = server.to_free, []
        if self._is_evacuated():
            return
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
                permit=permit,
                purpose=FREE_PURPOSE,
            )
            answer.read_all(self._clock() + FREE_TIMEOUT_S, has_own_end=True)
            now = self._clock()
            server.pace.report(answer.facts.pace, now)
            for handle in handles:
                if handle in server.requested_at:
                    self.queue.record_hold(
                        server.sizes[handle], now - server.requested_at[handle]
                    )
                server.remove_result(handle)
            self._wake_one(now)
        except backends.BackendError as exc:
            # The server evicts them after their time to live.
            self._events.state_change(
                "results not freed",
                self._clock(),
                server=server.entry.name,
                results=len(handles),
                cause=str(exc),
            )


def _return_key(group: stages.Group) -> str:
    """Returns a key of a group that is the same when its caller returns."""
    if not group.key:
        return ""
    return f"{group.workspace}/{group.key}/{group.stage}/{group.pieces}"


def _mean_pace(paces: Sequence[float]) -> float:
    """Returns the harmonic mean, as slower servers run fewer calls."""
    return len(paces) / sum(1.0 / pace for pace in paces) if paces else 1.0


def new_gatherer(
    pool: fleet.StagePool,
    entries: Callable[[], Sequence[fleet.BackendEntry]],
    connections: backends.Connections,
    events: log.EventLog,
    clock: model.Clock,
    is_evacuated: Callable[[], bool] = lambda: False,
    live: Callable[[], Collection[str]] = tuple,
) -> Gatherer:
    """Returns a gatherer with an empty queue.

    Args:
        pool: Batch limits and timing of one server of the pool.
        entries: Returns the servers of the pool in the zone.
        connections: Connections to backend servers.
        events: Log of the calls.
        clock: Monotonic time in seconds.
        is_evacuated: Returns whether the zone is evacuated.
        live: Returns the incarnations of the live VMs, as the same object
            until they change.
    """
    return Gatherer(
        pool, entries, connections, events, clock, is_evacuated, live
    )
