"""Shares the rate limits of backend servers between all entry VMs.

For each server that names a limit, one entry VM, its owner, grants the permits
of the whole fleet. Every VM computes the same owner from the live members, as
it does for gatherers and placers, so the gatherer of a stage pool and the
placer of an engine pool usually own the limits of their servers. A VM that
does not reach the owner asks the next one, which grants a fraction of the limit
while it considers the owner live. An owner that reaches a part of the fleet
only grants that part of the limit; the rest is reserved for the VMs that it
cannot reach, which may have an owner of their own.

Cold servers have a limit that follows from the configuration, and servers that
have just started or recovered have one that the owner derives from their
answers. They hold in the same way, together with the limit that a server names.
"""

import collections
from collections.abc import Iterable, Mapping
import math
from typing import Any

import eventlet
from eventlet import event

from savoryspar import (
    decoding,
    fleet,
    log,
    membership,
    ratelimits,
    stages,
    tasks,
)
from savoryspar.gateway import (
    cold_limits,
    limit_reports,
    model,
    slow_starts,
)

CLAIM_KIND = "limit_claim"
PACED_CLAIM_KIND = "paced_claim"
"""A claim for a server that is cold or in its slow start. It tells which entry
of the server the claiming VM knows, and how the server answered it. Processes
of earlier versions know no such servers and refuse it."""
OUTDATED_RETRY_S = 0.2
"""Time after which a VM is asked again that does not know a server's entry
yet; changes take less to all VMs."""
CLAIM_TIMEOUT_S = 0.25
"""Timeout for a reply, beyond the time that the claim may wait; a round trip
between regions takes 40 ms."""
OWNER_BACKOFF_S = 1.0
"""Time for which an owner that did not answer is not asked."""
MAX_OWNERS = 2
"""VMs that are asked for one permit."""
STANDBY_SHARE = 0.25
"""Share of the limit that a VM grants while another one seems to own it."""
ADVANCE_INTERVAL_S = 0.1
"""Longest time between two checks of claims that wait; the limit may change."""
MIN_ASK_INTERVAL_S = 0.05
MAX_ASK_INTERVAL_S = 5.0
"""Bounds of the time for which a VM sends requests elsewhere after a denial
instead of asking again."""
ASKS_PER_PERMIT = 4.0
"""Claims of the fleet per permit when all VMs are denied again and again."""
SHARE_WINDOW_S = 4.0
"""Time over which the share of this VM is measured."""
MAX_SHARE_TIMES = 4096


class _Usage:
    """What this VM was granted or denied for one server.

    Attributes:
        granted_at: Times of the permits of the last seconds.
        asks_at: When the owner may be asked again; monotonic seconds.
        denials: Number of denials since the last permit.
    """

    __slots__ = ("asks_at", "denials", "granted_at")

    def __init__(self) -> None:
        self.granted_at: collections.deque[float] = collections.deque(
            maxlen=MAX_SHARE_TIMES
        )
        self.asks_at = -math.inf
        self.denials = 0

    def share_per_s(self, now: float) -> float:
        """Returns the permits per second that this VM was granted."""
        while self.granted_at and self.granted_at[0] < now - SHARE_WINDOW_S:
            self.granted_at.popleft()
        return len(self.granted_at) / SHARE_WINDOW_S

    def share_age_s(self, now: float) -> float | None:
        """Returns the age of the last permit, None without a recent one."""
        return round(now - self.granted_at[-1], 2) if self.granted_at else None


class FleetLimiter:
    """Permits of this VM, and of the fleet for the limits that it owns.

    Attributes:
        cold: Limits of cold servers, None if there are none.
        starts: Slow starts of servers, None if there are none.
        reports: What servers said of their limits.
        sends: Requests to servers that name a limit, since the start.
        denials: Permits that this VM was denied, since the start.
    """

    __slots__ = (
        "_advancing",
        "_allocators",
        "_clock",
        "_events",
        "_members",
        "_owner_cache",
        "_server_registry",
        "_unreachable_until",
        "_urgent",
        "_usage",
        "cold",
        "denials",
        "reports",
        "sends",
        "starts",
    )

    def __init__(
        self,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        events: log.EventLog,
        clock: model.Clock,
        cold: cold_limits.ColdLimits | None,
        starts: slow_starts.SlowStarts | None,
    ):
        self.cold = cold
        self.starts = starts
        self.reports = limit_reports.new_limit_reports(members, events, clock)
        self.reports.describe = self._describe
        self.reports.encode_more = self._encode_more
        self.reports.apply_more = self._apply_more
        self.sends = 0
        self.denials = 0
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        self._owner_cache = stages.GathererCache()
        self._allocators: dict[ratelimits.Server, ratelimits.Allocator] = {}
        self._usage: collections.defaultdict[ratelimits.Server, _Usage] = (
            collections.defaultdict(_Usage)
        )
        self._unreachable_until: dict[str, float] = {}
        # Servers whose claims a green thread settles.
        self._advancing: set[ratelimits.Server] = set()
        # Number of waiting claims that a slow start does not hold for.
        self._urgent: collections.Counter[ratelimits.Server] = (
            collections.Counter()
        )
        members.handle(CLAIM_KIND, self._serve_claim)
        members.handle(PACED_CLAIM_KIND, self._serve_paced_claim)

    def start(self) -> None:
        """Starts to ask peers for the limits that they know."""
        tasks.spawn_task("rate limits", self.reports.learn)

    def update(
        self,
        starts: Mapping[ratelimits.Server, int],
        now: float,
        usable: Iterable[fleet.BackendEntry] = (),
    ) -> None:
        """Updates the listed servers.

        Args:
            starts: Start time of each listed server, in Unix milliseconds.
            now: Monotonic time in seconds.
            usable: Servers that may get new requests.
        """
        self.table.update(starts, now)
        known = self.table.servers() | starts.keys()
        for server in self._usage.keys() - known:
            del self._usage[server]
        for server in self._allocators.keys() - known:
            if not self._allocators[server].waiting:
                del self._allocators[server]
        self.reports.keep_only(known)
        if self.cold is not None:
            self.cold.keep_only(name for name, _ in starts)
        if self.starts is not None:
            self.starts.update(
                usable,
                lambda key: self.owner(key, now) == self._members.incarnation,
                now,
            )

    @property
    def table(self) -> ratelimits.LimitTable:
        """Newest statement of each server."""
        return self.reports.table

    def is_limited(self, server: ratelimits.Server) -> bool:
        """Returns whether requests to a server need permits."""
        return self.limit(server, self._clock()) is not None

    def is_bound(self, server: ratelimits.Server) -> bool:
        """Returns whether a server has a limit other than its slow start."""
        return self._bound_per_s(server, self._clock()) is not None

    def is_starting(self, server: ratelimits.Server) -> bool:
        """Returns whether a server is in its slow start."""
        return self._start_per_s(server, self._clock()) is not None

    def is_cold(self, server: ratelimits.Server, now: float) -> bool:
        """Returns whether a server is cold, and limited for that reason."""
        return self._cold_per_s(server, now) is not None

    def limit(self, server: ratelimits.Server, now: float) -> float | None:
        """Returns the lowest limit of a server per second, None without one."""
        bound_per_s = self.table.limit(server)
        if self.cold is not None and self.cold.may_be_cold(now):
            bound_per_s = _lowest(bound_per_s, self._cold_per_s(server, now))
        if self.starts is None or self.starts.is_idle:
            return bound_per_s
        return _lowest(bound_per_s, self._start_per_s(server, now))

    def _bound_per_s(
        self, server: ratelimits.Server, now: float
    ) -> float | None:
        return _lowest(self.table.limit(server), self._cold_per_s(server, now))

    def _start_per_s(
        self, server: ratelimits.Server, now: float
    ) -> float | None:
        if self.starts is None or self.starts.is_idle:
            return None
        is_cold = self._cold_per_s(server, now) is not None
        return self.starts.rate_per_s(server, is_cold, now)

    def _cold_per_s(
        self, server: ratelimits.Server, now: float
    ) -> float | None:
        if self.cold is None or not self.cold.may_be_cold(now):
            return None
        return self.cold.rate_per_s(server, now)

    def limited(self, now: float) -> list[ratelimits.Server]:
        """Returns the servers whose requests need permits."""
        cold = [] if self.cold is None else self.cold.servers(now)
        starting = [] if self.starts is None else self.starts.servers()
        return [*dict.fromkeys([*self.table.limited(), *cold, *starting])]

    def starting_count(self) -> int:
        """Returns the number of servers in their slow start."""
        return 0 if self.starts is None else len(self.starts.servers())

    def cold_count(self) -> int:
        """Returns the number of cold servers."""
        return 0 if self.cold is None else len(self.cold.servers(self._clock()))

    def wait_s(self, server: ratelimits.Server, now: float) -> float:
        """Returns the estimated time until a permit is free, 0 for none."""
        if self.limit(server, now) is None:
            return 0.0
        if self.owner(server, now) == self._members.incarnation:
            allocator = self._allocator(server, now)
            return allocator.wait_s(self._rate_per_s(server, now), now)
        return max(0.0, self._usage[server].asks_at - now)

    def preview_wait_s(self, server: ratelimits.Server, now: float) -> float:
        """Returns what ``wait_s`` returns; changes no permits."""
        if not self.is_limited(server):
            return 0.0
        if self.owner(server, now) == self._members.incarnation:
            allocator = self._allocators.get(server)
            if allocator is None:
                allocator = ratelimits.new_allocator(now)
            return allocator.preview_wait_s(self._rate_per_s(server, now), now)
        usage = self._usage.get(server)
        return max(0.0, usage.asks_at - now) if usage else 0.0

    def interval_s(self, server: ratelimits.Server, now: float) -> float:
        """Returns the mean time between two permits, 0 without a limit."""
        if self.limit(server, now) is None:
            return 0.0
        return 1.0 / max(
            ratelimits.MIN_RATE_PER_S, self._rate_per_s(server, now)
        )

    def granted(self) -> int:
        """Returns the permits that this VM granted to the fleet."""
        return sum(a.granted for a in self._allocators.values())

    def limit_per_s(self) -> float:
        """Returns the sum of the limits in force."""
        now = self._clock()
        return sum(self.limit(s, now) or 0.0 for s in self.limited(now))

    def share_per_s(self) -> float:
        """Returns the permits per second that this VM was granted lately."""
        now = self._clock()
        return sum(
            self._usage[server].share_per_s(now) for server in self.limited(now)
        )

    def status(self, now: float) -> dict[str, dict[str, Any]]:
        """Returns the limits in force by server, for ``/status``."""
        return {
            server[0]: self._describe(server, now)
            for server in self.limited(now)
        }

    def acquire(
        self,
        server: ratelimits.Server,
        req: ratelimits.PermitRequest,
        now: float,
    ) -> ratelimits.Permit:
        """Returns a permit, after a wait if the request allows one.

        Raises:
            LimitReachedError: None is free in time.
        """
        if not self.is_limited(server):
            return ratelimits.Permit(now, is_counted=False)
        if req.ignores_pace and not self.is_bound(server):
            return ratelimits.Permit(now)
        excluded = frozenset(
            n for n, until in self._unreachable_until.items() if until > now
        )
        reply = None
        until = now + req.patience_s
        for _ in range(MAX_OWNERS):
            owner = self.owner(server, now, excluded)
            patience_s = max(0.0, until - now)
            try:
                reply = self._claim(server, owner, req, patience_s)
                break
            except (
                membership.PeerUnreachableError,
                KeyError,
                TypeError,
                ValueError,
            ) as exc:
                # The reply is missing or malformed.
                now = self._clock()
                self._unreachable_until = {
                    n: at
                    for n, at in self._unreachable_until.items()
                    if at > now
                } | {owner: now + OWNER_BACKOFF_S}
                excluded |= {owner}
                self._events.state_change(
                    "limit owner lost",
                    now,
                    server=server[0],
                    owner=owner,
                    cause=repr(exc),
                )
        now = self._clock()
        usage = self._usage[server]
        if reply is not None and reply["is_granted"]:
            usage.denials = 0
            usage.asks_at = now
            usage.granted_at.append(now)
            return ratelimits.Permit(now)
        raise self._denial(server, reply, now)

    def _denial(
        self,
        server: ratelimits.Server,
        reply: Mapping[str, Any] | None,
        now: float,
    ) -> ratelimits.LimitReachedError:
        usage = self._usage[server]
        usage.denials += 1
        self.denials += 1
        next_s = max(
            MIN_ASK_INTERVAL_S, reply["next_s"] if reply else OWNER_BACKOFF_S
        )
        # With many VMs, most claims would be denied; a VM that was denied
        # repeatedly asks less often.
        longest_s = (
            len(self._members.all_members(now))
            * self.interval_s(server, now)
            / ASKS_PER_PERMIT
        )
        next_s = min(
            MAX_ASK_INTERVAL_S,
            max(next_s, min(next_s * 2.0 ** min(usage.denials, 9), longest_s)),
        )
        usage.asks_at = now + next_s
        details = ", ".join(
            f"{name} {value}"
            for name, value in self._describe(server, now).items()
        )
        return ratelimits.LimitReachedError(
            f"the rate limit of server {server[0]} is reached: {details}",
            reply["retry_s"] if reply else next_s,
            next_s,
            now,
        )

    def _describe(
        self, server: ratelimits.Server, now: float
    ) -> dict[str, Any]:
        """Returns the limit of a server and this VM's share, for operators."""
        statement = self.table.statement(server)
        usage = self._usage[server]
        if statement is None and self.limit(server, now) is None:
            return {}
        age_s = round(now - statement.said_at, 2) if statement else None
        return {
            "limit_per_s": statement.limit_per_s if statement else None,
            "limit_age_s": age_s,
            "cold_per_s": self._cold_per_s(server, now),
            "start_per_s": self._start_per_s(server, now),
            "share_per_s": usage.share_per_s(now),
            "share_age_s": usage.share_age_s(now),
            "visible": round(self._members.visible_share(now), 2),
            "owner": self.owner(server, now),
        }

    def owner(
        self,
        server: ratelimits.Server,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> str:
        """Returns the incarnation that grants the permits of a server.

        Args:
            server: The server.
            now: Monotonic time in seconds.
            excluded: Incarnations that did not respond.
        """
        entry = self._server_registry.find(server[0])
        pool, zone = (entry.service, entry.zone) if entry else (server[0], "")
        member = self._owner_cache.choose(
            pool, zone, self._members.all_members(now), excluded
        )
        return member.incarnation if member else self._members.incarnation

    def _rate_per_s(
        self,
        server: ratelimits.Server,
        now: float,
        ignores_pace: bool = False,
    ) -> float:
        """Returns the permits per second that this VM may grant.

        Args:
            server: The server.
            now: Monotonic time in seconds.
            ignores_pace: Whether the slow start of the server does not hold.
        """
        limit = self._bound_per_s if ignores_pace else self.limit
        rate_per_s = limit(server, now) or 0.0
        if self.owner(server, now) != self._members.incarnation:
            rate_per_s *= STANDBY_SHARE
        share = self._members.visible_share(now)
        if self._cold_per_s(server, now) is not None:
            live = {r.name for r in self._members.all_members(now)}
            share = self.cold.share(share, len(live))
        return rate_per_s * share

    def _allocator(
        self, server: ratelimits.Server, now: float
    ) -> ratelimits.Allocator:
        allocator = self._allocators.get(server)
        if allocator is None:
            allocator = ratelimits.new_allocator(now)
            self._allocators[server] = allocator
        return allocator

    def _claim(
        self,
        server: ratelimits.Server,
        owner: str,
        req: ratelimits.PermitRequest,
        patience_s: float,
    ) -> dict[str, Any]:
        """Claims a permit from the owner, which may be this VM.

        Raises:
            PeerUnreachableError: The owner did not reply.
        """
        if owner == self._members.incarnation:
            return self._claim_here(server, req, patience_s)
        now = self._clock()
        kind, body = (
            CLAIM_KIND,
            [
                self.reports.encode(server, now),
                req.rank,
                req.workspace,
                req.key,
                patience_s,
            ],
        )
        if (
            self._cold_per_s(server, now) is not None
            or self._start_per_s(server, now) is not None
        ):
            kind = PACED_CLAIM_KIND
            body = self._paced_claim(server, req, body)
        reply = self._members.request(
            owner, kind, body, CLAIM_TIMEOUT_S + patience_s
        )
        if kind == PACED_CLAIM_KIND:
            reply = self._apply_paced_reply(server, reply, now)
        self.reports.apply(reply["report"], owner, self._clock())
        return reply

    def _apply_paced_reply(
        self, server: ratelimits.Server, reply: Mapping[str, Any], now: float
    ) -> Mapping[str, Any]:
        """Applies the reply to a claim that was sent at ``now``.

        Returns:
            The reply; a permit that was on its way for too long is refused, as
            it would add to those of other seconds.
        """
        waited_s = decoding.number(reply["waited_s"], 0.0, math.inf)
        if self.starts is not None:
            self.starts.apply_reply(server, reply, self._clock())
        if self._clock() - now - waited_s > CLAIM_TIMEOUT_S:
            return {**reply, "is_granted": False}
        return reply

    def _serve_claim(
        self, sender: str, body: Any, ignores_pace: bool = False
    ) -> dict[str, Any]:
        report, rank, workspace, key, patience_s = body
        server = self.reports.apply(report, sender, self._clock())
        req = ratelimits.PermitRequest(
            decoding.integer(rank, -decoding.MAX_INTEGER),
            str(workspace),
            str(key),
            ignores_pace=ignores_pace,
        )
        # A timer that expires at NaN would break the order of all timers.
        decoding.number(patience_s, 0.0, math.inf)
        return self._claim_here(
            server, req, min(float(patience_s), ratelimits.MAX_PATIENCE_S)
        )

    def _paced_claim(
        self,
        server: ratelimits.Server,
        req: ratelimits.PermitRequest,
        claim: list,
    ) -> dict[str, Any]:
        """Returns the claim for a server that is cold or in its slow start."""
        entry = self._server_registry.find(server[0])
        body = {
            "claim": claim,
            "revision": entry.revision if entry else 0,
            "ignores_pace": req.ignores_pace,
        }
        if self.cold is not None:
            body["cold"] = self.cold.encode([server[0]])
        if self.starts is not None:
            body |= self.starts.encode_claim(server, self._clock())
        return body

    def _serve_paced_claim(
        self, sender: str, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Serves a claim, unless the peer knows a newer entry of the server.

        This VM would not know that the server is cold.
        """
        revision = decoding.integer(body["revision"], 0)
        name, address, *_ = body["claim"][0]
        server = (str(name), str(address))
        entry = self._server_registry.find(server[0])
        if self.cold is not None:
            self.cold.apply(body.get("cold", ()))
        if entry is not None and entry.revision >= revision:
            if self.starts is not None and "start" in body:
                self.starts.apply_claim(server, body["start"], self._clock())
            began_at = self._clock()
            reply = self._serve_claim(
                sender, body["claim"], bool(body["ignores_pace"])
            )
            reply["waited_s"] = self._clock() - began_at
            if self.starts is not None:
                reply |= self.starts.encode_reply(server)
            return reply
        return {
            "is_granted": False,
            "retry_s": OUTDATED_RETRY_S,
            "waited_s": 0.0,
            "next_s": OUTDATED_RETRY_S,
            "report": self.reports.encode(server, self._clock()),
        }

    def _claim_here(
        self,
        server: ratelimits.Server,
        req: ratelimits.PermitRequest,
        patience_s: float,
    ) -> dict[str, Any]:
        now = self._clock()
        if not self.is_limited(server):
            return self._reply(True, 0.0, server, now)
        allocator = self._allocator(server, now)
        claim = ratelimits.Claim(
            req.rank, req.workspace, req.key, now + patience_s
        )
        rate_per_s = self._rate_per_s(server, now, req.ignores_pace)
        allocator.submit(claim, rate_per_s, now)
        if claim.is_granted is None:
            self._urgent[server] += req.ignores_pace
            settled = event.Event()
            claim.notify = lambda: settled.send(None)
            if server not in self._advancing:
                self._advancing.add(server)
                eventlet.spawn(self._advance, server, allocator)
            try:
                with eventlet.Timeout(patience_s + CLAIM_TIMEOUT_S, False):
                    settled.wait()
            finally:
                allocator.discard(claim)
                self._urgent[server] -= req.ignores_pace
        self._record_claim(server, bool(claim.is_granted))
        return self._reply(
            bool(claim.is_granted), claim.retry_after_s, server, self._clock()
        )

    def _record_claim(
        self, server: ratelimits.Server, is_granted: bool
    ) -> None:
        if self.starts is not None:
            now = self._clock()
            self.starts.record_claim(
                server,
                is_granted,
                self._bound_per_s(server, now),
                self._cold_per_s(server, now) is not None,
                now,
            )

    def _advance(
        self, server: ratelimits.Server, allocator: ratelimits.Allocator
    ) -> None:
        """Settles the claims that wait, until none is left."""
        try:
            while allocator.waiting:
                now = self._clock()
                if not self.is_limited(server):
                    allocator.release_all()
                    break
                rate_per_s = self._rate_per_s(
                    server, now, self._urgent[server] > 0
                )
                allocator.advance(rate_per_s, now)
                due_s = allocator.next_grant_s(rate_per_s, now)
                eventlet.sleep(min(ADVANCE_INTERVAL_S, due_s))
        finally:
            self._advancing.discard(server)
            self._urgent += collections.Counter()

    def _reply(
        self,
        is_granted: bool,
        retry_s: float,
        server: ratelimits.Server,
        now: float,
    ) -> dict[str, Any]:
        next_s = 0.0
        if not is_granted:
            next_s = self._allocator(server, now).wait_s(
                self._rate_per_s(server, now), now
            )
        return {
            "is_granted": is_granted,
            "retry_s": retry_s,
            "next_s": next_s,
            "report": self.reports.encode(server, now),
        }

    def record_send(self, server: ratelimits.Server, now: float) -> None:
        """Records that a request is being sent to a server."""
        del now
        if self.is_limited(server):
            self.sends += 1
            self.table.record_send(server)

    def record_cold(
        self, server: ratelimits.Server, left_s: float, now: float
    ) -> None:
        """Records the rest of a cold phase that an answer tells."""
        if self.cold is not None:
            self.cold.record_answer(server, left_s, now)

    def record_result(
        self, server: ratelimits.Server, result: ratelimits.Result
    ) -> None:
        """Records how a server in its slow start answered a request."""
        if self.starts is not None:
            self.starts.record_result(server, result)

    def record_recovery(self, server: ratelimits.Server, now: float) -> None:
        """Records that a server answers again, which was out of use."""
        if self.starts is not None:
            self.starts.record_recovery(server, now)

    def _encode_more(self) -> dict[str, list]:
        """Returns cold phases and slow starts, for a process that starts."""
        names = [entry.name for entry in self._server_registry.entries()]
        fields = {
            "cold": [] if self.cold is None else self.cold.encode(names),
            "starts": []
            if self.starts is None
            else self.starts.encode(self._clock()),
        }
        return {name: rows for name, rows in fields.items() if rows}

    def _apply_more(self, reply: Mapping[str, Any]) -> None:
        if self.cold is not None:
            self.cold.apply(reply.get("cold", ()))
        if self.starts is not None:
            self.starts.apply(reply.get("starts", ()), "started before")

    def record_answer(
        self,
        server: ratelimits.Server,
        limit_per_s: float | None,
        invalid_limit: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the rate limit in the head of an answer."""
        self.reports.record_answer(
            server, limit_per_s, invalid_limit, sent_at, now
        )


def _lowest(one: float | None, other: float | None) -> float | None:
    """Returns the lower of two limits, None if there is none."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)


def new_fleet_limiter(
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    events: log.EventLog,
    clock: model.Clock,
    cold: cold_limits.ColdLimits | None = None,
    starts: slow_starts.SlowStarts | None = None,
) -> FleetLimiter:
    """Returns a limiter that knows no limits, with its peer handlers.

    Args:
        server_registry: The backend servers.
        members: The other entry VMs.
        events: Log of the limits.
        clock: Monotonic time in seconds.
        cold: Limits of cold servers, None for none.
        starts: Slow starts of servers, None for none.
    """
    return FleetLimiter(server_registry, members, events, clock, cold, starts)
