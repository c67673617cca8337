"""Runs the stages of requests through gatherers of this VM and of peers."""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet import event

from savoryspar import fleet, log, membership, stages
from savoryspar.gateway import gatherers, gathering, model

SUBMIT_TIMEOUT_S = 0.4
"""Timeout for submitting a group to a peer or polling it; a round trip between
regions takes 40 ms."""
RESULT_WAIT_FACTOR = 1.5
"""Wait for results, as a factor of the predicted time, after which the gatherer
is polled to check that it still has the pieces."""
MIN_RESULT_WAIT_S = 0.6
MAX_SUBMITS = 3
OTHER_ZONE_FAILURES = (stages.Failure.LATE, stages.Failure.NO_SERVER)
"""Failures after which the group is submitted to another zone."""


class StageError(Exception):
    """A stage failed.

    Attributes:
        failure: Why it failed.
        retry_after_s: Seconds after which to retry, None if unknown.
    """

    def __init__(
        self, failure: stages.Failure, retry_after_s: float | None = None
    ):
        super().__init__(failure.value)
        self.failure = failure
        self.retry_after_s = retry_after_s


class _Target:
    """Gatherer to which a group is submitted.

    Attributes:
        pool: Name of the stage pool.
        zone: Availability zone of the servers.
        incarnation: Incarnation of the entry VM.
        result_bytes: Size of each result of the group.
    """

    __slots__ = ("incarnation", "pool", "result_bytes", "zone")

    def __init__(
        self, pool: str, zone: str, incarnation: str, result_bytes: int
    ):
        self.pool = pool
        self.zone = zone
        self.incarnation = incarnation
        self.result_bytes = result_bytes


class StageRunner:
    """Submits groups to gatherers, waits for their results and frees them."""

    __slots__ = (
        "_clock",
        "_events",
        "_gatherer_cache",
        "_local",
        "_members",
        "_pending",
        "_result_targets",
        "_server_registry",
        "_submitted_to",
        "_zone_waits",
    )

    def __init__(
        self,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        local: gatherers.Gatherers,
        events: log.EventLog,
        clock: model.Clock,
        regions: Mapping[str, str],
    ):
        self._server_registry = server_registry
        self._members = members
        self._local = local
        self._events = events
        self._clock = clock
        self._gatherer_cache = stages.GathererCache()
        self._zone_waits = stages.new_zone_waits(regions)
        self._pending: dict[tuple[str, int], event.Event] = {}
        self._result_targets: dict[str, _Target] = {}
        # Incarnations that may have pieces of a request, by attempt ID.
        self._submitted_to: dict[str, set[str]] = {}
        members.handle(gatherers.DONE_KIND, self._serve_done)

    def run_chain(
        self, chain: stages.Chain, request_id: str, consumer_zone: str
    ) -> None:
        """Runs all stages of a request, independent ones concurrently.

        Args:
            chain: The stages.
            request_id: Attempt ID of the request.
            consumer_zone: Availability zone in which the results will be used.

        Raises:
            StageError: A stage failed.
        """
        started: frozenset[int] = frozenset()
        results = eventlet.Queue()
        threads = []
        running = 0
        try:
            while not chain.is_done:
                now = self._clock()

                def reported_wait_s(pool: str, now: float = now) -> float:
                    return self._zone_waits.shortest_s(
                        pool,
                        self._server_registry.zones_of(pool),
                        chain.rank,
                        [consumer_zone],
                        now,
                    )

                _check_deadline(chain, started, reported_wait_s, now)
                for number in chain.ready(started):
                    started |= {number}
                    threads.append(
                        eventlet.spawn_after(
                            chain.delay_s(number, reported_wait_s),
                            self._run_stage,
                            results,
                            chain,
                            number,
                            consumer_zone,
                        )
                    )
                    running += 1
                if not running:
                    raise StageError(stages.Failure.FAILED)
                number, outcome = results.get()
                running -= 1
                if isinstance(outcome, StageError):
                    raise outcome
                self.free(chain.finish(number, outcome))
        except BaseException:
            for thread in threads:
                thread.cancel()
                thread.kill()
            self.free(chain.reset())
            self._cancel(request_id, self._submitted_to.get(request_id, ()))
            raise
        finally:
            self._submitted_to.pop(request_id, None)

    def free(self, handles: Sequence[str]) -> None:
        """Frees results that are no longer needed."""
        by_target: dict[int, tuple[_Target, list[str]]] = {}
        for handle in handles:
            target = self._result_targets.pop(handle, None)
            if target is not None:
                by_target.setdefault(id(target), (target, []))[1].append(handle)
        for target, target_handles in by_target.values():
            if target.incarnation == self._own_incarnation():
                self._local.free(target.pool, target.zone, target_handles)
            else:
                self._free_remote(target, target_handles)

    def _run_stage(
        self,
        results: eventlet.Queue,
        chain: stages.Chain,
        number: int,
        consumer_zone: str,
    ) -> None:
        try:
            results.put(
                (number, self._run_group(chain.group(number), consumer_zone))
            )
        except StageError as exc:
            results.put((number, exc))

    def server_zone(
        self, handles: Sequence[str], home_zone: str, prefill_cost_s: float
    ) -> str:
        """Returns the zone of the server to which the results are sent.

        Args:
            handles: The results.
            home_zone: Zone whose servers have the shared prompt prefix cached.
            prefill_cost_s: Time to prefill the shared prefix in another zone.
        """
        stored_in = self.results_zone(handles, home_zone)
        return self._zone_waits.server_zone(
            home_zone, stored_in, prefill_cost_s
        )

    def results_zone(self, handles: Sequence[str], default: str) -> str:
        """Returns the zone that stores most bytes of the results."""
        zones: collections.Counter[str] = collections.Counter()
        for handle in handles:
            if handle in self._result_targets:
                target = self._result_targets[handle]
                zones[target.zone] += target.result_bytes
        return max(sorted(zones), key=zones.get, default=default)

    def _run_group(self, group: stages.Group, consumer_zone: str) -> list[str]:
        excluded: frozenset[str] = frozenset()
        refusing_zones: frozenset[str] = frozenset()
        refused: StageError | None = None
        for _ in range(MAX_SUBMITS):
            now = self._clock()
            target = self._choose_target(
                group, consumer_zone, excluded, refusing_zones, now
            )
            if target is None:
                break
            try:
                return self._submit_and_wait(target, group, now)
            except membership.PeerUnreachableError as exc:
                self._events.failure(
                    "stage gatherer lost",
                    self._clock(),
                    group.request_id,
                    stage=group.stage,
                    pool=group.pool,
                    zone=target.zone,
                    cause=str(exc),
                )
                excluded |= {target.incarnation}
            except StageError as exc:
                if exc.failure not in OTHER_ZONE_FAILURES:
                    raise
                refused = exc
                refusing_zones |= {target.zone}
        raise refused or StageError(stages.Failure.FAILED, 1.0)

    def _choose_target(
        self,
        group: stages.Group,
        consumer_zone: str,
        excluded: frozenset[str],
        refusing_zones: frozenset[str],
        now: float,
    ) -> _Target | None:
        zones = self._server_registry.zones_of(group.pool) - refusing_zones
        if not zones:
            return None
        preferred = [consumer_zone]
        if group.inputs:
            preferred.append(self.results_zone(group.inputs, consumer_zone))
        zone = self._zone_waits.choose(
            group.pool,
            zones,
            group.rank,
            self._local.unloaded_s(group),
            preferred,
            group.request_id,
            now,
        )
        member = self._gatherer_cache.choose(
            group.pool, zone, self._members.all_members(now), excluded
        )
        incarnation = member.incarnation if member else self._own_incarnation()
        return _Target(group.pool, zone, incarnation, group.result_bytes)

    def _submit_and_wait(
        self, target: _Target, group: stages.Group, now: float
    ) -> list[str]:
        pending = event.Event()
        key = (group.request_id, group.stage)
        self._pending[key] = pending
        submitted_to = self._submitted_to.setdefault(group.request_id, set())
        submitted_to.add(target.incarnation)
        try:
            admission = self._submit(target, group, now)
            self._zone_waits.record(
                target.pool,
                target.zone,
                group.rank,
                self._local.unloaded_s(group),
                admission.fresh_wait_s,
                now,
            )
            self._events.decision(
                "stage refused"
                if admission.retry_after_s
                else "stage submitted",
                now,
                group.request_id,
                stage=group.stage,
                pool=group.pool,
                zone=target.zone,
                gatherer=target.incarnation,
                pieces=group.pieces,
                wait_s=round(admission.wait_s, 3),
                fresh_wait_s=round(admission.fresh_wait_s, 3),
                left_s=round(group.deadline_at - now, 3),
            )
            if admission.retry_after_s is not None:
                raise StageError(stages.Failure.LATE, admission.retry_after_s)
            outcome = self._wait_for_results(
                pending, target, group, admission.wait_s
            )
        finally:
            self._pending.pop(key, None)
        handles, failure = outcome
        if failure:
            raise StageError(stages.Failure(failure))
        for handle in handles:
            self._result_targets[handle] = target
        return handles

    def _wait_for_results(
        self,
        pending: event.Event,
        target: _Target,
        group: stages.Group,
        wait_s: float,
    ) -> tuple[list[str], str]:
        """Waits for the results while the gatherer has the pieces.

        Raises:
            PeerUnreachableError: The gatherer does not answer or has lost the
                pieces.
            StageError: The deadline has passed.
        """
        while True:
            left_s = group.deadline_at - self._clock()
            if left_s <= 0.0:
                raise StageError(stages.Failure.LATE, wait_s)
            timeout_s = min(
                max(MIN_RESULT_WAIT_S, RESULT_WAIT_FACTOR * wait_s), left_s
            )
            with eventlet.Timeout(timeout_s, False):
                return pending.wait()
            predicted_s = self._poll(target, group)
            if predicted_s is None and not pending.ready():
                raise membership.PeerUnreachableError(
                    f"{target.incarnation} no longer has the pieces",
                    "they are submitted to another entry VM",
                    has_sent=True,
                )
            wait_s = predicted_s or 0.0

    def _poll(self, target: _Target, group: stages.Group) -> float | None:
        if target.incarnation == self._own_incarnation():
            return self._local.wait_s(
                target.pool, target.zone, group.request_id, group.stage
            )
        reply = self._members.request(
            target.incarnation,
            gatherers.POLL_KIND,
            [target.pool, target.zone, group.request_id, group.stage],
            SUBMIT_TIMEOUT_S,
        )
        return reply["wait_s"]

    def _submit(
        self, target: _Target, group: stages.Group, now: float
    ) -> gathering.Admission:
        if target.incarnation == self._own_incarnation():
            return self._local.submit(
                target.zone, group, self._on_local_done, now
            )
        reply = self._members.request(
            target.incarnation,
            gatherers.SUBMIT_KIND,
            {"zone": target.zone, "group": group.to_body(now)},
            SUBMIT_TIMEOUT_S,
        )
        return gathering.Admission(
            reply["refused_s"], reply["wait_s"], reply["fresh_wait_s"]
        )

    def _on_local_done(
        self, group: stages.Group, failure: stages.Failure | None
    ) -> None:
        pending = self._pending.pop((group.request_id, group.stage), None)
        if pending is not None:
            pending.send((group.handles(), failure.value if failure else ""))
            return
        self._local.free_all(group.handles())

    def _serve_done(self, sender: str, body: Any) -> dict[str, Any]:
        del sender
        request_id, stage, handles, failure = body
        pending = self._pending.pop((request_id, stage), None)
        if pending is not None:
            pending.send(([str(h) for h in handles], str(failure)))
        return {"is_awaited": pending is not None}

    def _cancel(self, request_id: str, submitted_to: Iterable[str]) -> None:
        """Cancels a request on this VM and on the gatherers submitted to."""
        self._local.cancel(request_id)
        for incarnation in {*submitted_to} - {self._own_incarnation()}:
            if not self._members.send_message(
                incarnation, gatherers.CANCEL_KIND, request_id
            ):
                self._events.failure(
                    "stage not cancelled",
                    self._clock(),
                    request_id,
                    peer=incarnation,
                )

    def _free_remote(self, target: _Target, handles: list[str]) -> None:
        """Frees results through their gatherer, or else its successor."""
        body = [target.pool, target.zone, handles]
        if self._members.send_message(
            target.incarnation, gatherers.FREE_KIND, body
        ):
            return
        member = self._gatherer_cache.choose(
            target.pool,
            target.zone,
            self._members.all_members(self._clock()),
            frozenset({target.incarnation}),
        )
        if member is None or member.incarnation == self._own_incarnation():
            self._local.free(target.pool, target.zone, handles)
        elif not self._members.send_message(
            member.incarnation, gatherers.FREE_KIND, body
        ):
            # The server evicts them after their time to live.
            self._events.state_change(
                "results not freed",
                self._clock(),
                peer=target.incarnation,
                results=len(handles),
            )

    def _own_incarnation(self) -> str:
        return self._members.incarnation


def _check_deadline(
    chain: stages.Chain,
    started: frozenset[int],
    reported_wait_s: Callable[[str], float],
    now: float,
) -> None:
    """Checks that the remaining stages can meet the deadline of a request.

    Raises:
        StageError: They cannot, given the waits that were last reported.
    """
    expected_s = chain.expected_s(reported_wait_s, started)
    left_s = chain.left_s(now)
    if expected_s > left_s:
        raise StageError(stages.Failure.LATE, expected_s - left_s)


def new_stage_runner(
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    local: gatherers.Gatherers,
    events: log.EventLog,
    clock: model.Clock,
    regions: Mapping[str, str],
) -> StageRunner:
    """Returns the stage runner of an entry VM.

    Args:
        server_registry: The backend servers.
        members: The other entry VMs.
        local: Gatherers of this VM.
        events: Log of decisions.
        clock: Monotonic time in seconds.
        regions: Region of each availability zone.
    """
    return StageRunner(server_registry, members, local, events, clock, regions)
