"""Gets the pieces of a request's stages made, here or at the gathering VM."""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import eventlet
from eventlet import event

from savoryspar import fleet, log, membership, stages
from savoryspar.gateway import gatherers, gathering, model

SUBMIT_TIMEOUT_S = 0.4
"""Time for a peer to accept a group; a round trip between regions is 40 ms."""
RESULT_FACTOR = 1.5
"""Wait for the results as a factor of the predicted time, before the gatherer
is asked whether it still has the pieces."""
MIN_RESULT_S = 0.6
MAX_SUBMITS = 3
ELSEWHERE = (stages.Failure.LATE, stages.Failure.NO_SERVER)
"""Failures after which another zone may have a place."""


class StageError(Exception):
    """A stage has no results.

    Attributes:
        failure: Why.
        retry_after_s: When to come back, None when that is not known.
    """

    def __init__(
        self, failure: stages.Failure, retry_after_s: float | None = None
    ):
        super().__init__(failure.value)
        self.failure = failure
        self.retry_after_s = retry_after_s


class _Place:
    """Where a group was submitted, and the size of each of its results."""

    __slots__ = ("incarnation", "pool", "result_bytes", "zone")

    def __init__(
        self, pool: str, zone: str, incarnation: str, result_bytes: int
    ):
        self.pool = pool
        self.zone = zone
        self.incarnation = incarnation
        self.result_bytes = result_bytes


class StageWork:
    """Submits groups, gathers those of peers, and frees results."""

    __slots__ = (
        "_asked",
        "_choice",
        "_clock",
        "_events",
        "_here",
        "_made_by",
        "_members",
        "_server_registry",
        "_waiting",
        "_waits",
    )

    def __init__(
        self,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        here: gatherers.Gatherers,
        events: log.EventLog,
        clock: model.Clock,
        regions: Mapping[str, str],
    ):
        self._server_registry = server_registry
        self._members = members
        self._here = here
        self._events = events
        self._clock = clock
        self._choice = stages.GathererChoice()
        self._waits = stages.new_zone_waits(regions)
        self._waiting: dict[tuple[str, int], event.Event] = {}
        self._made_by: dict[str, _Place] = {}
        # Gatherers that may have pieces of a request, by its attempt.
        self._asked: dict[str, set[str]] = {}
        members.handle(gatherers.DONE_KIND, self._serve_done)

    def run_chain(
        self, chain: stages.Chain, request_id: str, near: str
    ) -> None:
        """Runs all stages of a request, independent ones at the same time.

        Args:
            chain: The stages.
            request_id: Attempt that they belong to.
            near: Availability zone in which the results will be needed.

        Raises:
            StageError: A stage has no results.
        """
        started: frozenset[int] = frozenset()
        results = eventlet.Queue()
        threads = []
        running = 0
        try:
            while not chain.is_done:
                now = self._clock()

                def told_s(pool: str, now: float = now) -> float:
                    return self._waits.shortest_s(
                        pool,
                        self._server_registry.zones_of(pool),
                        chain.rank,
                        [near],
                        now,
                    )

                _check_hope(chain, started, told_s, now)
                for number in chain.ready(started):
                    started |= {number}
                    threads.append(
                        eventlet.spawn_after(
                            chain.delay_s(number, told_s),
                            self._run_into,
                            results,
                            chain,
                            number,
                            near,
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
            self.free(chain.forget())
            self._cancel(request_id, self._asked.get(request_id, ()))
            raise
        finally:
            self._asked.pop(request_id, None)

    def free(self, handles: Sequence[str]) -> None:
        """Frees results that nobody needs any more."""
        places: dict[int, tuple[_Place, list[str]]] = {}
        for handle in handles:
            place = self._made_by.pop(handle, None)
            if place is not None:
                places.setdefault(id(place), (place, []))[1].append(handle)
        for place, found in places.values():
            if place.incarnation == self._own():
                self._here.free(place.pool, place.zone, found)
            else:
                self._free_there(place, found)

    def _run_into(
        self,
        results: eventlet.Queue,
        chain: stages.Chain,
        number: int,
        near: str,
    ) -> None:
        try:
            results.put((number, self._run(chain.group(number), near)))
        except StageError as exc:
            results.put((number, exc))

    def server_zone(
        self, handles: Sequence[str], home: str, prefill_cost_s: float
    ) -> str:
        """Returns the zone of the server that gets the results.

        Args:
            handles: The results.
            home: Zone in which servers have the shared parts of the prompt.
            prefill_cost_s: Time to read the shared parts again elsewhere.
        """
        results_zone = self.zone_of(handles, home)
        return self._waits.server_zone(home, results_zone, prefill_cost_s)

    def zone_of(self, handles: Sequence[str], default: str) -> str:
        """Returns the zone in which most bytes of the results lie."""
        zones: collections.Counter[str] = collections.Counter()
        for handle in handles:
            if handle in self._made_by:
                place = self._made_by[handle]
                zones[place.zone] += place.result_bytes
        return max(sorted(zones), key=zones.get, default=default)

    def _run(self, group: stages.Group, near: str) -> list[str]:
        excluded: frozenset[str] = frozenset()
        full: frozenset[str] = frozenset()
        refused: StageError | None = None
        for _ in range(MAX_SUBMITS):
            now = self._clock()
            place = self._place(group, near, excluded, full, now)
            if place is None:
                break
            try:
                return self._run_at(place, group, now)
            except membership.PeerUnreachableError as exc:
                self._events.failure(
                    "stage gatherer lost",
                    self._clock(),
                    group.request_id,
                    stage=group.stage,
                    pool=group.pool,
                    zone=place.zone,
                    cause=str(exc),
                )
                excluded |= {place.incarnation}
            except StageError as exc:
                if exc.failure not in ELSEWHERE:
                    raise
                refused = exc
                full |= {place.zone}
        raise refused or StageError(stages.Failure.FAILED, 1.0)

    def _place(
        self,
        group: stages.Group,
        near: str,
        excluded: frozenset[str],
        full: frozenset[str],
        now: float,
    ) -> _Place | None:
        zones = self._server_registry.zones_of(group.pool) - full
        if not zones:
            return None
        wanted_in = [near]
        if group.inputs:
            wanted_in.append(self.zone_of(group.inputs, near))
        zone = self._waits.choose(
            group.pool,
            zones,
            group.rank,
            self._here.idle_s(group),
            wanted_in,
            group.request_id,
            now,
        )
        member = self._choice.choose(
            group.pool, zone, self._members.all_members(now), excluded
        )
        incarnation = member.incarnation if member else self._own()
        return _Place(group.pool, zone, incarnation, group.result_bytes)

    def _run_at(
        self, place: _Place, group: stages.Group, now: float
    ) -> list[str]:
        waiting = event.Event()
        key = (group.request_id, group.stage)
        self._waiting[key] = waiting
        asked = self._asked.setdefault(group.request_id, set())
        asked.add(place.incarnation)
        try:
            offer = self._submit(place, group, now)
            self._waits.note(
                place.pool,
                place.zone,
                group.rank,
                self._here.idle_s(group),
                offer.fresh_wait_s,
                now,
            )
            self._events.decision(
                "stage refused" if offer.refused_s else "stage submitted",
                now,
                group.request_id,
                stage=group.stage,
                pool=group.pool,
                zone=place.zone,
                gatherer=place.incarnation,
                pieces=group.pieces,
                wait_s=round(offer.wait_s, 3),
                fresh_wait_s=round(offer.fresh_wait_s, 3),
                left_s=round(group.deadline_at - now, 3),
            )
            if offer.refused_s is not None:
                raise StageError(stages.Failure.LATE, offer.refused_s)
            outcome = self._await(waiting, place, group, offer.wait_s)
        finally:
            self._waiting.pop(key, None)
        handles, failure = outcome
        if failure:
            raise StageError(stages.Failure(failure))
        for handle in handles:
            self._made_by[handle] = place
        return handles

    def _await(
        self,
        waiting: event.Event,
        place: _Place,
        group: stages.Group,
        wait_s: float,
    ) -> tuple[list[str], str]:
        """Waits for the results while the gatherer has the pieces.

        Raises:
            PeerUnreachableError: It does not answer, or lost the pieces.
            StageError: The deadline has passed.
        """
        while True:
            left_s = group.deadline_at - self._clock()
            if left_s <= 0.0:
                raise StageError(stages.Failure.LATE, wait_s)
            limit_s = min(max(MIN_RESULT_S, RESULT_FACTOR * wait_s), left_s)
            with eventlet.Timeout(limit_s, False):
                return waiting.wait()
            told_s = self._poll(place, group)
            if told_s is None and not waiting.ready():
                raise membership.PeerUnreachableError(
                    f"{place.incarnation} does not have the pieces any more",
                    "they are submitted to another entry VM",
                    has_sent=True,
                )
            wait_s = told_s or 0.0

    def _poll(self, place: _Place, group: stages.Group) -> float | None:
        if place.incarnation == self._own():
            return self._here.wait_s(
                place.pool, place.zone, group.request_id, group.stage
            )
        reply = self._members.request(
            place.incarnation,
            gatherers.POLL_KIND,
            [place.pool, place.zone, group.request_id, group.stage],
            SUBMIT_TIMEOUT_S,
        )
        return reply["wait_s"]

    def _submit(
        self, place: _Place, group: stages.Group, now: float
    ) -> gathering.Offer:
        if place.incarnation == self._own():
            return self._here.submit(place.zone, group, self._done_here, now)
        reply = self._members.request(
            place.incarnation,
            gatherers.SUBMIT_KIND,
            {"zone": place.zone, "group": group.to_body(now)},
            SUBMIT_TIMEOUT_S,
        )
        return gathering.Offer(
            reply["refused_s"], reply["wait_s"], reply["fresh_wait_s"]
        )

    def _done_here(
        self, group: stages.Group, failure: stages.Failure | None
    ) -> None:
        waiting = self._waiting.pop((group.request_id, group.stage), None)
        if waiting is not None:
            waiting.send((group.handles(), failure.value if failure else ""))
            return
        self._here.free_all(group.handles())

    def _serve_done(self, sender: str, body: Any) -> dict[str, Any]:
        del sender
        request_id, stage, handles, failure = body
        waiting = self._waiting.pop((request_id, stage), None)
        if waiting is not None:
            waiting.send(([str(h) for h in handles], str(failure)))
        return {"is_awaited": waiting is not None}

    def _cancel(self, request_id: str, asked: Iterable[str]) -> None:
        """Drops the pieces of a request at the gatherers that have them."""
        self._here.cancel(request_id)
        for incarnation in {*asked} - {self._own()}:
            if not self._members.send_message(
                incarnation, gatherers.CANCEL_KIND, request_id
            ):
                self._events.failure(
                    "stage not cancelled",
                    self._clock(),
                    request_id,
                    peer=incarnation,
                )

    def _free_there(self, place: _Place, handles: list[str]) -> None:
        """Frees results at their gatherer, or at the one in its place."""
        body = [place.pool, place.zone, handles]
        if self._members.send_message(
            place.incarnation, gatherers.FREE_KIND, body
        ):
            return
        member = self._choice.choose(
            place.pool,
            place.zone,
            self._members.all_members(self._clock()),
            frozenset({place.incarnation}),
        )
        if member is None or member.incarnation == self._own():
            self._here.free(place.pool, place.zone, handles)
        elif not self._members.send_message(
            member.incarnation, gatherers.FREE_KIND, body
        ):
            # The server drops them itself after their time to live.
            self._events.belief(
                "results not freed",
                self._clock(),
                peer=place.incarnation,
                results=len(handles),
            )

    def _own(self) -> str:
        return self._members.incarnation


def _check_hope(
    chain: stages.Chain,
    started: frozenset[int],
    told_s: Callable[[str], float],
    now: float,
) -> None:
    """Gives a request up when its further stages would come too late.

    Raises:
        StageError: The waits that were told last are too long.
    """
    expected_s = chain.expected_s(told_s, started)
    left_s = chain.left_s(now)
    if expected_s > left_s:
        raise StageError(stages.Failure.LATE, expected_s - left_s)


def new_stage_work(
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    here: gatherers.Gatherers,
    events: log.EventLog,
    clock: model.Clock,
    regions: Mapping[str, str],
) -> StageWork:
    """Returns the stage work of an entry VM.

    Args:
        server_registry: The backend servers.
        members: The other entry VMs.
        here: What this VM gathers itself.
        events: Where decisions are logged.
        clock: Monotonic time in seconds.
        regions: Region of each availability zone.
    """
    return StageWork(server_registry, members, here, events, clock, regions)
