"""Runs the stages of requests through gatherers of this VM and of peers."""

import collections
from collections.abc import Callable, Iterator, Mapping, Sequence
import contextlib
import itertools
from typing import Any

import eventlet
from eventlet import event

from savoryspar import (
    decoding,
    fleet,
    log,
    membership,
    platform,
    stages,
)
from savoryspar.gateway import gatherers, gathering, model

SUBMIT_TIMEOUT_S = 0.4
"""Timeout for submitting a group to a peer or polling it; a round trip between
regions takes 40 ms."""
RESULT_WAIT_FACTOR = 1.5
"""Wait for results, as a factor of the predicted time, after which the gatherer
is polled to check that it still has the pieces."""
MIN_RESULT_WAIT_S = 0.6
MAX_SUBMITS = 3
MAX_WAIT_S = 1e6
"""Limit for the waits that a gatherer states, positive or negative; one that is
not finite would spoil the means of all zones."""
MAX_REASON_CHARS = 40
"""Characters of a gatherer's reason that are kept for the log."""
OTHER_ZONE_FAILURES = (stages.Failure.LATE, stages.Failure.NO_SERVER)
"""Failures after which the group is submitted to another zone."""


class StageError(Exception):
    """A stage failed.

    Attributes:
        failure: Why it failed.
        retry_after_s: Seconds after which to retry, None if unknown.
        pool: Name of the stage pool, empty if it does not matter.
    """

    def __init__(
        self,
        failure: stages.Failure,
        retry_after_s: float | None = None,
        pool: str = "",
    ):
        super().__init__(failure.value)
        self.failure = failure
        self.pool = pool
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


class _Submission:
    """A group that was submitted to a gatherer.

    Attributes:
        number: Number of the submission, unique in this process.
        target: The gatherer.
        group: The pieces.
        is_numbered: Whether the gatherer's build knows the number.
        outcome: Set to the handles and the failure once the group has ended.
    """

    __slots__ = ("group", "is_numbered", "number", "outcome", "target")

    def __init__(self, number: int, target: _Target, group: stages.Group):
        self.number = number
        self.target = target
        self.group = group
        self.is_numbered = False
        self.outcome = event.Event()

    def has_results(self, handles: Sequence[str]) -> bool:
        """Returns whether there is one result for each piece."""
        return len({*handles}) == len(handles) == self.group.pieces


class StagePreview:
    """Where a stage would run now.

    Attributes:
        number: Number of the stage.
        group: Its pieces.
        zones: Each zone with a usable server, its cost in seconds and the age
            of the last wait that its gatherer reported, None without one.
        zone: Zone that would be chosen, empty if there is none.
        gatherer: Incarnation of the VM that batches the pieces there.
        wait_s: Predicted time until the stage is done.
        admission: What the gatherer would answer, None if it is of another VM
            or has had no pieces yet.
    """

    __slots__ = (
        "admission",
        "gatherer",
        "group",
        "number",
        "wait_s",
        "zone",
        "zones",
    )

    def __init__(self, number: int, group: stages.Group):
        self.number = number
        self.group = group
        self.zones: Sequence[tuple[str, float, float | None]] = ()
        self.zone = ""
        self.gatherer = ""
        self.wait_s = 0.0
        self.admission: gathering.Admission | None = None


class _Run:
    """One run of the stages of a request.

    Attributes:
        request_id: Attempt ID of the request.
        submissions: Everything that was submitted, to be cancelled.
    """

    __slots__ = ("request_id", "submissions")

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.submissions: list[_Submission] = []


class StageRunner:
    """Submits groups to gatherers, waits for their results and frees them."""

    __slots__ = (
        "_clock",
        "_events",
        "_gatherer_cache",
        "_local",
        "_members",
        "_numbers",
        "_pending",
        "_result_targets",
        "_server_registry",
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
        self._numbers = itertools.count(1)
        # Submissions whose groups have not ended, by number. An attempt ID and
        # a stage are not enough: a stage runs again after its results are gone
        # or its gatherer was given up, and a caller may send an ID again.
        self._pending: dict[int, _Submission] = {}
        self._result_targets: dict[str, _Target] = {}
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
        run = _Run(request_id)
        started: frozenset[int] = frozenset()
        results = eventlet.Queue()
        threads = []
        running = 0
        try:
            while not chain.is_done:
                now = self._clock()
                reported_wait_s = self._reported_wait_s(
                    chain, consumer_zone, now
                )
                self._check(chain, started, reported_wait_s, now)
                for number in chain.ready(started):
                    started |= {number}
                    threads.append(
                        eventlet.spawn_after(
                            chain.delay_s(number, reported_wait_s),
                            self._run_stage,
                            results,
                            run,
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
            self._cancel(run)
            raise

    def _reported_wait_s(
        self, chain: stages.Chain, consumer_zone: str, now: float
    ) -> Callable[[str], float]:
        """Returns a function of a pool to its shortest reported wait."""

        def reported_wait_s(pool: str) -> float:
            return self._zone_waits.shortest_s(
                pool,
                self._server_registry.zones_of(pool, chain.home_regions),
                chain.rank,
                [consumer_zone],
                now,
            )

        return reported_wait_s

    def _check(
        self,
        chain: stages.Chain,
        started: frozenset[int],
        reported_wait_s: Callable[[str], float],
        now: float,
    ) -> None:
        """Checks that the remaining stages can run, and in time.

        Raises:
            StageError: They cannot.
        """
        self._check_home(chain)
        _check_deadline(chain, started, reported_wait_s, now)

    def preview(
        self, chain: stages.Chain, consumer_zone: str, now: float
    ) -> list[StagePreview]:
        """Returns where the stages would run now; changes no state.

        Results do not exist yet, so only the zone in which they will be used
        attracts the stages.
        """
        wait_s = self._reported_wait_s(chain, consumer_zone, now)
        found = []
        for number in chain.numbers():
            group = chain.group(number)
            preview = StagePreview(number, group)
            found.append(preview)
            preview.zones = [
                (zone, *self._zone_cost(group, zone, consumer_zone, now))
                for zone in self._server_registry.zones_of(
                    group.pool, group.home_regions
                )
            ]
            target = self._choose_target(
                group, consumer_zone, frozenset(), frozenset(), now
            )
            if target is None:
                continue
            preview.zone, preview.gatherer = target.zone, target.incarnation
            preview.wait_s = max(
                wait_s(group.pool), self._local.unloaded_s(group)
            )
            if target.incarnation == self._own_incarnation():
                preview.admission = self._local.predict(target.zone, group, now)
        return found

    def _zone_cost(
        self, group: stages.Group, zone: str, consumer_zone: str, now: float
    ) -> tuple[float, float | None]:
        """Returns the cost of a zone, and the age of its last report."""
        cost_s = self._zone_waits.cost_s(
            group.pool,
            zone,
            group.rank,
            self._local.unloaded_s(group),
            [consumer_zone],
            now,
        )
        age_s = self._zone_waits.report_age_s(group.pool, zone, group.rank, now)
        return cost_s, age_s

    def check_preview(
        self,
        chain: stages.Chain,
        previews: Sequence[StagePreview],
        consumer_zone: str,
        now: float,
    ) -> None:
        """Checks that stages which were not submitted would be accepted.

        Raises:
            StageError: They would not. A gatherer of this VM decides only on
                the stages that may start now; the others come later.
        """
        wait_s = self._reported_wait_s(chain, consumer_zone, now)
        self._check(chain, frozenset(), wait_s, now)
        ready = chain.ready(frozenset())
        for preview in previews:
            admission = preview.admission
            if (
                preview.number in ready
                and admission is not None
                and admission.retry_after_s is not None
                and len(preview.zones) == 1
            ):
                # With more zones, the group would be tried in another one.
                raise StageError(stages.Failure.LATE, admission.retry_after_s)

    def is_evacuated(self, pool: str) -> bool:
        """Returns whether all zones with servers of a pool are evacuated."""
        return self._server_registry.is_pool_evacuated(pool)

    def _check_home(self, chain: stages.Chain) -> None:
        """Checks that all remaining stages can run in the home regions.

        Raises:
            StageError: A pool has no usable server there. The request is
                refused before it occupies the pools of earlier stages.
        """
        if chain.home_regions is None:
            return
        for pool in sorted(chain.pools()):
            if not self._server_registry.zones_of(pool, chain.home_regions):
                raise StageError(
                    stages.Failure.NO_SERVER_AT_HOME,
                    model.HOME_RETRY_S,
                    pool,
                )

    def free(self, handles: Sequence[str]) -> None:
        """Frees results that are no longer needed."""
        by_target: dict[int, tuple[_Target, list[str]]] = {}
        for handle in handles:
            target = self._result_targets.pop(handle, None)
            if target is not None:
                by_target.setdefault(id(target), (target, []))[1].append(handle)
        for target, target_handles in by_target.values():
            if self._server_registry.is_evacuated(target.zone):
                # The gatherer may not know it yet.
                continue
            if target.incarnation == self._own_incarnation():
                self._local.free(target.pool, target.zone, target_handles)
            else:
                self._free_remote(target, target_handles)

    def _run_stage(
        self,
        results: eventlet.Queue,
        run: _Run,
        chain: stages.Chain,
        number: int,
        consumer_zone: str,
    ) -> None:
        try:
            group = chain.group(number)
            results.put((number, self._run_group(run, group, consumer_zone)))
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

    def _run_group(
        self, run: _Run, group: stages.Group, consumer_zone: str
    ) -> list[str]:
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
                return self._submit_and_wait(run, target, group, now)
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
                refused = _sooner(refused, exc)
                refusing_zones |= {target.zone}
        if group.home_regions is not None and not (
            self._server_registry.zones_of(group.pool, group.home_regions)
        ):
            raise StageError(
                stages.Failure.NO_SERVER_AT_HOME, model.HOME_RETRY_S, group.pool
            )
        raise refused or StageError(stages.Failure.FAILED, 1.0)

    def _choose_target(
        self,
        group: stages.Group,
        consumer_zone: str,
        excluded: frozenset[str],
        refusing_zones: frozenset[str],
        now: float,
    ) -> _Target | None:
        zones = (
            self._server_registry.zones_of(group.pool, group.home_regions)
            - refusing_zones
        )
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
        self, run: _Run, target: _Target, group: stages.Group, now: float
    ) -> list[str]:
        submission = _Submission(next(self._numbers), target, group)
        self._pending[submission.number] = submission
        run.submissions.append(submission)
        try:
            admission = self._submit(submission, now)
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
                pace=round(admission.pace, 2),
                reason=admission.reason,
            )
            if admission.retry_after_s is not None:
                raise StageError(stages.Failure.LATE, admission.retry_after_s)
            handles, failure = self._wait_for_results(
                submission, admission.wait_s
            )
        except BaseException:
            self._free_unused(submission)
            raise
        finally:
            self._pending.pop(submission.number, None)
        if failure is not None:
            raise StageError(failure)
        for handle in handles:
            self._result_targets[handle] = target
        return handles

    def _free_unused(self, submission: _Submission) -> None:
        """Frees results that arrived before their submission was given up."""
        if not submission.outcome.ready():
            return
        handles, _ = submission.outcome.wait()
        for handle in handles:
            self._result_targets[handle] = submission.target
        self.free(handles)

    def _wait_for_results(
        self, submission: _Submission, wait_s: float
    ) -> tuple[list[str], stages.Failure | None]:
        """Waits for the results while the gatherer has the pieces.

        Raises:
            PeerUnreachableError: The gatherer does not answer or has lost the
                pieces.
            StageError: The deadline has passed.
        """
        while True:
            left_s = submission.group.deadline_at - self._clock()
            if left_s <= 0.0:
                raise StageError(stages.Failure.LATE, wait_s)
            timeout_s = min(
                max(MIN_RESULT_WAIT_S, RESULT_WAIT_FACTOR * wait_s), left_s
            )
            with eventlet.Timeout(timeout_s, False):
                return submission.outcome.wait()
            predicted_s = self._poll(submission)
            if predicted_s is None and not submission.outcome.ready():
                raise membership.PeerUnreachableError(
                    f"{submission.target.incarnation} no longer has the pieces",
                    "they are submitted to another entry VM",
                    has_sent=True,
                )
            wait_s = predicted_s or 0.0

    def _poll(self, submission: _Submission) -> float | None:
        target, group = submission.target, submission.group
        if target.incarnation == self._own_incarnation():
            return self._local.wait_s(
                target.pool,
                target.zone,
                group.request_id,
                group.stage,
                submission=submission.number,
            )
        body: list[Any] = [
            target.pool,
            target.zone,
            group.request_id,
            group.stage,
        ]
        if submission.is_numbered:
            # Builds that send no number back accept no further item.
            body.append(submission.number)
        reply = self._members.request(
            target.incarnation, gatherers.POLL_KIND, body, SUBMIT_TIMEOUT_S
        )
        with _reading_reply(target):
            wait_s = reply["wait_s"]
            return wait_s if wait_s is None else _seconds(wait_s)

    def _submit(
        self, submission: _Submission, now: float
    ) -> gathering.Admission:
        target, group = submission.target, submission.group
        if target.incarnation == self._own_incarnation():
            group.submission = submission.number
            return self._local.submit(
                target.zone, group, self._on_local_done, now
            )
        reply = self._members.request(
            target.incarnation,
            gatherers.SUBMIT_KIND,
            {
                "zone": target.zone,
                "group": group.to_body(now),
                "submission": submission.number,
                "workspace": group.workspace,
            },
            SUBMIT_TIMEOUT_S,
        )
        with _reading_reply(target):
            submission.is_numbered = (
                reply.get("submission") == submission.number
            )
            refused_s = reply["refused_s"]
            return gathering.Admission(
                refused_s if refused_s is None else _seconds(refused_s),
                _seconds(reply["wait_s"]),
                _seconds(reply["fresh_wait_s"]),
                str(reply.get("reason", ""))[:MAX_REASON_CHARS],
                _seconds(reply.get("pace", 1.0)),
            )

    def _on_local_done(
        self, group: stages.Group, failure: stages.Failure | None
    ) -> None:
        submission = self._pending.get(group.submission)
        if submission is None or submission.group is not group:
            self._local.free_all(group.handles())
            return
        del self._pending[submission.number]
        submission.outcome.send((group.handles(), failure))

    def _serve_done(self, sender: str, body: Any) -> dict[str, Any]:
        request_id, stage, handles, value, *more = body
        failure = stages.Failure(value) if value != "" else None
        handles = [str(handle) for handle in handles]
        number = decoding.integer(more[0], 1) if more else None
        found = [
            submission
            for submission in self._candidates(number)
            if submission.target.incarnation == sender
            and (submission.group.request_id, submission.group.stage)
            == (request_id, stage)
        ]
        matching = [
            s
            for s in found
            if failure
            or (s.has_results(handles) and self._is_at_home(s.group, handles))
        ]
        if not matching:
            self._events.failure(
                "stage results rejected",
                self._clock(),
                str(request_id),
                stage=stage,
                peer=sender,
                results=len(handles),
                cause=(
                    "not one result for each piece, or results stored outside"
                    " the home regions"
                    if found
                    else "the VM does not wait for them"
                ),
            )
            return {"is_awaited": False}
        del self._pending[matching[0].number]
        matching[0].outcome.send((handles, failure))
        return {"is_awaited": True}

    def _is_at_home(self, group: stages.Group, handles: Sequence[str]) -> bool:
        """Returns whether no result is known to be outside home regions.

        The gatherer was asked for servers of a zone at home, but decides on
        its own which ones it calls.
        """
        outside = self._server_registry.names_outside(
            group.pool, group.home_regions
        )
        entries = filter(None, map(self._server_registry.find, outside))
        addresses = {entry.address for entry in entries}
        return addresses.isdisjoint(map(platform.producer_address, handles))

    def _candidates(self, number: int | None) -> list[_Submission]:
        """Returns the pending submissions with a number, all without one.

        Builds that know no numbers send none.
        """
        if number is None:
            return [*self._pending.values()]
        return [self._pending[number]] if number in self._pending else []

    def _cancel(self, run: _Run) -> None:
        """Cancels a run on this VM and on the gatherers submitted to."""
        by_target: dict[str, list[_Submission]] = {}
        for submission in run.submissions:
            by_target.setdefault(submission.target.incarnation, []).append(
                submission
            )
        for incarnation, submissions in by_target.items():
            numbers = [submission.number for submission in submissions]
            if incarnation == self._own_incarnation():
                self._local.cancel(run.request_id, "", numbers)
                continue
            # A build that sends no number back accepts the ID only.
            is_numbered = any(s.is_numbered for s in submissions)
            body = [run.request_id, numbers] if is_numbered else run.request_id
            if not self._members.send_message(
                incarnation, gatherers.CANCEL_KIND, body
            ):
                self._events.failure(
                    "stage not cancelled",
                    self._clock(),
                    run.request_id,
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


@contextlib.contextmanager
def _reading_reply(target: _Target) -> Iterator[None]:
    """Turns errors of a malformed reply into one of an unreachable peer.

    Raises:
        PeerUnreachableError: The reply is malformed.
    """
    try:
        with decoding.reading("a reply"):
            yield
    except decoding.DecodingError as exc:
        raise membership.PeerUnreachableError(
            f"{target.incarnation} sent a malformed reply: {exc}",
            "check the version of the peer",
            has_sent=True,
        ) from exc


def _sooner(first: StageError | None, second: StageError) -> StageError:
    """Returns the refusal after which a retry finds room sooner."""
    if first is None or first.retry_after_s is None:
        return second
    if second.retry_after_s is None:
        return first
    return min(first, second, key=lambda exc: exc.retry_after_s)


def _seconds(value: Any) -> float:
    return decoding.number(value, -MAX_WAIT_S, MAX_WAIT_S)


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
