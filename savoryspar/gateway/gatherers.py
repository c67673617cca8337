"""Keeps the gatherers of this entry VM and serves peer requests to them.

A gatherer batches the stage calls of all entry VMs to a pool in one zone; see
``gathering``.
"""

from collections.abc import Collection, Sequence
from typing import Any

import eventlet

from savoryspar import backends, decoding, fleet, log, membership, stages
from savoryspar.gateway import gathering, model

SUBMIT_KIND = "stage_submit"
DONE_KIND = "stage_done"
CANCEL_KIND = "stage_cancel"
FREE_KIND = "stage_free"
POLL_KIND = "stage_poll"
DONE_TIMEOUT_S = 1.0
"""Timeout for delivering results to the submitting VM."""


class Gatherers:
    """Gatherers by pool and zone, created when a first group is submitted."""

    __slots__ = (
        "_clock",
        "_connections",
        "_events",
        "_gatherers",
        "_holder",
        "_live",
        "_members",
        "_server_registry",
    )

    def __init__(
        self,
        holder: fleet.ConfigurationHolder,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        connections: backends.Connections,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self._holder = holder
        self._server_registry = server_registry
        self._members = members
        self._connections = connections
        self._events = events
        self._clock = clock
        self._gatherers: dict[tuple[str, str], gathering.Gatherer] = {}
        # Live members and their incarnations.
        self._live: tuple[Sequence[membership.Record], frozenset[str]] = (
            (),
            frozenset(),
        )
        members.handle(SUBMIT_KIND, self._serve_submit)
        members.handle(POLL_KIND, self._serve_poll)
        members.handle(CANCEL_KIND, self._serve_cancel)
        members.handle(FREE_KIND, self._serve_free)

    def by_pool_and_zone(self) -> dict[tuple[str, str], gathering.Gatherer]:
        """Returns the gatherers by pool and zone."""
        return self._gatherers

    def submit(
        self,
        zone: str,
        group: stages.Group,
        done: gathering.DoneCallback,
        now: float,
    ) -> gathering.Admission:
        """Submits a group to the gatherer of its pool in a zone.

        Args:
            zone: Availability zone of the servers.
            group: The pieces.
            done: Called when all pieces have results, or with the failure.
            now: Monotonic time in seconds.
        """
        current = self._holder.current
        service = current and current.services.get(group.pool)
        if not service or not service.stage_pool:
            retry_s = gathering.NO_SERVER_RETRY_S
            return gathering.Admission(retry_s, retry_s, retry_s)
        gatherer = self._gatherers.get((group.pool, zone))
        if gatherer is None:
            gatherer = gathering.new_gatherer(
                service.stage_pool,
                lambda: self._server_registry.usable_in(group.pool, zone),
                self._connections,
                self._events,
                self._clock,
                lambda: self._server_registry.is_evacuated(zone),
                self._live_members,
            )
            self._gatherers[group.pool, zone] = gatherer
        # A new configuration version may have changed the pool.
        gatherer.queue.pool = service.stage_pool
        return gatherer.submit(group, done, now)

    def _live_members(self) -> frozenset[str]:
        """Returns the incarnations of the live VMs."""
        members = self._members.all_members(self._clock())
        if members is not self._live[0]:
            names = frozenset(record.incarnation for record in members)
            self._live = (members, names)
        return self._live[1]

    def predict(
        self, zone: str, group: stages.Group, now: float
    ) -> gathering.Admission | None:
        """Returns what the gatherer of this VM would answer to a group.

        None if this VM has not gathered for the pool and zone yet.
        """
        gatherer = self._gatherers.get((group.pool, zone))
        return gatherer and gatherer.predict(group, now)

    def unloaded_s(self, group: stages.Group) -> float:
        """Returns the expected duration of a call with only this group."""
        current = self._holder.current
        service = current and current.services.get(group.pool)
        if not service or not service.stage_pool:
            return 0.0
        pool = service.stage_pool
        return pool.call_s + group.pieces * pool.piece_s

    def unfinished(self) -> int:
        """Returns the number of groups that wait for results on this VM."""
        return sum(g.unfinished for g in self._gatherers.values())

    def wait_s(
        self,
        pool: str,
        zone: str,
        request_id: str,
        stage: int,
        owner: str = "",
        submission: int = 0,
    ) -> float | None:
        """Returns the predicted seconds until a group is complete.

        None if this VM does not have the group.

        Args:
            pool: Stage pool.
            zone: Availability zone of the servers.
            request_id: Attempt ID of the request.
            stage: Number of the stage.
            owner: VM that submitted the group, empty for this one.
            submission: Number of the submission; 0 for any.
        """
        gatherer = self._gatherers.get((pool, zone))
        return gatherer and gatherer.wait_s(
            request_id, stage, owner, submission
        )

    def cancel(
        self,
        request_id: str,
        owner: str = "",
        submissions: Collection[int] | None = None,
    ) -> None:
        """Drops the pieces of a request; see ``gathering.Gatherer.cancel``."""
        for gatherer in self._gatherers.values():
            gatherer.cancel(request_id, owner, submissions)

    def record_evacuations(self) -> None:
        """Sends the pieces that wait in evacuated zones elsewhere."""
        for gatherer in [*self._gatherers.values()]:
            gatherer.record_evacuation()

    def free(self, pool: str, zone: str, handles: Sequence[str]) -> None:
        """Frees results of a pool, whichever VM was the gatherer."""
        gatherer = self._gatherers.get((pool, zone))
        if gatherer is not None:
            gatherer.free(handles)

    def free_all(self, handles: Sequence[str]) -> None:
        """Frees results of any pool."""
        for gatherer in self._gatherers.values():
            gatherer.free(handles)

    def _serve_submit(self, sender: str, body: Any) -> dict[str, Any]:
        now = self._clock()
        group = stages.decode_group(body["group"], now)
        group.owner = sender
        group.submission = decoding.integer(body.get("submission", 0), 0)
        workspace = str(body.get("workspace", ""))
        group.workspace = workspace[: stages.MAX_WORKSPACE_CHARS]
        zone = str(body["zone"])

        def send_done(
            group: stages.Group, failure: stages.Failure | None
        ) -> None:
            eventlet.spawn(self._send_done, sender, zone, group, failure)

        admission = self.submit(zone, group, send_done, now)
        return {
            "refused_s": admission.retry_after_s,
            "wait_s": admission.wait_s,
            "fresh_wait_s": admission.fresh_wait_s,
            "reason": admission.reason,
            "pace": admission.pace,
            "submission": group.submission,
        }

    def _send_done(
        self,
        sender: str,
        zone: str,
        group: stages.Group,
        failure: stages.Failure | None,
    ) -> None:
        body: list[Any] = [
            group.request_id,
            group.stage,
            group.handles(),
            failure.value if failure else "",
        ]
        if group.submission:
            # Builds that send no number accept no further item.
            body.append(group.submission)
        try:
            reply = self._members.request(
                sender, DONE_KIND, body, DONE_TIMEOUT_S
            )
            if not reply["is_awaited"]:
                self.free(group.pool, zone, group.handles())
        except membership.PeerUnreachableError as exc:
            self.free(group.pool, zone, group.handles())
            self._events.failure(
                "stage results not delivered",
                self._clock(),
                group.request_id,
                stage=group.stage,
                peer=sender,
                cause=str(exc),
            )

    def _serve_poll(self, sender: str, body: Any) -> dict[str, Any]:
        pool, zone, request_id, stage, *more = body
        submission = decoding.integer(more[0], 0) if more else 0
        return {
            "wait_s": self.wait_s(
                pool, zone, request_id, stage, sender, submission
            )
        }

    def _serve_cancel(self, sender: str, body: Any) -> None:
        if isinstance(body, str):
            self.cancel(body, sender)
            return
        request_id, numbers = body
        submissions = [decoding.integer(number, 0) for number in numbers]
        self.cancel(str(request_id), sender, submissions)

    def _serve_free(self, sender: str, body: Any) -> None:
        del sender
        pool, zone, handles = body
        self.free(str(pool), str(zone), [str(h) for h in handles])


def new_gatherers(
    holder: fleet.ConfigurationHolder,
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    connections: backends.Connections,
    events: log.EventLog,
    clock: model.Clock,
) -> Gatherers:
    """Returns the gatherers of a VM, with their peer handlers registered."""
    return Gatherers(
        holder, server_registry, members, connections, events, clock
    )
