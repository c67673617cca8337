"""Shares with peers which requests and parts of prompts crash servers.

A VM that observes a crash asks its peers whether they saw the parts of the
request run sound, and tells all of them, before the caller is answered. What
breaks at the same moment goes into one message. A VM that starts asks its
peers before it sends requests. While crashes are recent, VMs compare their
records in pairs, so that those that were cut off catch up.
"""

from collections.abc import Iterable, Sequence
import itertools
import random
from typing import Any

import eventlet

from savoryspar import blame, decoding, fleet, log, membership, tasks
from savoryspar.gateway import crash_batches, model, trials

REPORT_KIND = "crash_report"
LIST_KIND = "crash_list"
REPORT_TIMEOUT_S = 0.3
"""Timeout for the replies to a report; a round trip between regions takes
40 ms."""
MAX_ASKED_PEERS = 32
"""Peers that reply to a report; those of the own zone first."""
LIST_TIMEOUT_S = 0.5
LEARN_TIMEOUT_S = 1.5
"""Time after which a VM that started serves although no peer has replied."""
LEARN_INTERVAL_S = 0.05
LEARN_PEERS = 8
"""Peers that a VM asks at the same time when it starts; those that are frozen
delay the replies of the others by ``LIST_TIMEOUT_S`` at most."""
COMPARE_INTERVAL_S = 2.0
SLOW_COMPARE_INTERVAL_S = 30.0
RECENT_S = 120.0
"""Time after a crash in which records are compared more often."""
MAX_LISTED = 64
"""Reports in one message."""
BROADCASTS_PER_S = 20.0
"""Reports that a VM broadcasts without a reply, in a flood of crashes."""
LOG_DELAY_S = 0.2
"""Time for which changes of verdicts are gathered into one check."""
MAX_AGE_S = 86400.0


class FleetBlame:
    """Crashes that this VM and its peers observed.

    Attributes:
        table: The crashes and sound runs.
        trials: Places the requests that must run alone.
        refusals: Requests that were refused because they crash servers.
        is_ready: Whether peers were asked for their records.
    """

    __slots__ = (
        "_batches",
        "_broadcast_tokens",
        "_broadcast_tokens_at",
        "_clock",
        "_events",
        "_is_log_due",
        "_known",
        "_members",
        "_numbers",
        "_rng",
        "_server_registry",
        "is_ready",
        "refusals",
        "table",
        "trials",
    )

    def __init__(
        self,
        server_registry: fleet.ServerRegistry,
        members: membership.Membership,
        trial_placer: trials.TrialPlacer,
        events: log.EventLog,
        clock: model.Clock,
    ):
        self.trials = trial_placer
        self.table = blame.new_crash_table()
        self.refusals = 0
        self.is_ready = False
        self._server_registry = server_registry
        self._members = members
        self._events = events
        self._clock = clock
        self._numbers = itertools.count(1)
        self._rng = random.Random(members.incarnation)
        self._broadcast_tokens = BROADCASTS_PER_S
        self._broadcast_tokens_at = 0.0
        self._batches = crash_batches.new_crash_batches(self._send_batch)
        self._is_log_due = False
        # Suspects and blocked parts as of the last log line.
        self._known: dict[tuple[frozenset[str], str], blame.Verdict] = {}
        members.handle(REPORT_KIND, self._serve_report)
        members.handle(LIST_KIND, self._serve_list)

    def start(self, has_peers: bool) -> None:
        """Starts to ask peers for their records, and to compare them.

        Args:
            has_peers: Whether the settings name other VMs.
        """
        self.is_ready = not has_peers
        if has_peers:
            tasks.spawn_task("crash records", self._learn)
        tasks.spawn_task("crash comparison", self._compare_records)

    def find_servers(
        self,
        work: blame.Work,
        pool: str,
        now: float,
        home_regions: frozenset[str] | None = None,
    ) -> tuple[blame.Finding, frozenset[str]]:
        """Assesses a request at the servers of a pool.

        Args:
            work: The request.
            pool: The pool.
            now: Monotonic time in seconds.
            home_regions: Regions in which it may run, None for all.

        Returns:
            The verdict, and the names of the servers that must not run the
            request: a part may crash servers of one version only. For a
            request that is blocked at all of them, no names.
        """
        while not self.is_ready:
            eventlet.sleep(LEARN_INTERVAL_S)
        return self._find_servers(work, pool, now, home_regions, False)

    def preview_servers(
        self,
        work: blame.Work,
        pool: str,
        now: float,
        home_regions: frozenset[str] | None = None,
    ) -> tuple[blame.Finding, frozenset[str]]:
        """Returns what ``find_servers`` returns, without a wait or a change."""
        return self._find_servers(work, pool, now, home_regions, True)

    def _find_servers(
        self,
        work: blame.Work,
        pool: str,
        now: float,
        home_regions: frozenset[str] | None,
        is_preview: bool,
    ) -> tuple[blame.Finding, frozenset[str]]:
        if not self.table:
            return blame.Finding(blame.Verdict.CLEAR), frozenset()
        versions: dict[str, set[str]] = {}
        for zone in self._server_registry.zones_of(pool, home_regions):
            for entry in self._server_registry.usable_in(pool, zone):
                versions.setdefault(entry.version, set()).add(entry.name)
        findings = {
            version: self.table.assess(work, version, now, is_preview)
            for version in versions or {"": set()}
        }
        order = [*blame.Verdict]
        best = min(
            findings.values(), key=lambda found: order.index(found.verdict)
        )
        excluded = [
            names
            for version, names in versions.items()
            if findings[version].verdict is not best.verdict
        ]
        return best, frozenset(itertools.chain.from_iterable(excluded))

    def refusal(self, found: blame.Finding, now: float) -> model.GatewayError:
        """Returns the error for a request that is blocked, and counts it."""
        self.refusals += 1
        return self.blocked_error(found, now)

    def blocked_error(
        self, found: blame.Finding, now: float
    ) -> model.GatewayError:
        """Returns the error for a request that is blocked.

        There is no time after which it would be accepted.
        """
        cause = (
            f"parts {', '.join(sorted(found.parts))} of its prompt"
            if found.parts
            else "it"
        )
        return model.GatewayError(
            "503 Service Unavailable",
            "crashes_servers",
            f"{cause} crashed the backend servers that ran it:"
            f" {self._describe(found.reports, now)}",
            "change the request before sending it again",
        )

    def report_crash(
        self,
        work: blame.Work,
        server: str,
        version: str,
        in_question: frozenset[str] | None,
        now: float,
    ) -> None:
        """Records the crash of a server, and tells the peers.

        For a suspect, it returns when peers have the report or did not reply
        in time.

        Args:
            work: A request that was on the server.
            server: Name of the server.
            version: Its version.
            in_question: Parts in question of a request that ran alone, None
                for another request.
            now: Monotonic time in seconds.
        """
        if in_question is not None:
            work = blame.Work(work.fingerprint, work.workspace, in_question)
        own = self._members.incarnation
        report = blame.CrashReport(
            f"{own}-{next(self._numbers)}",
            server,
            version,
            work,
            now,
            in_question is not None,
            own,
        )
        self.table.record_crash(report, now)
        found = self.table.assess(work, version, now)
        if found.verdict is blame.Verdict.CLEAR:
            self._batches.add_report(report)
        else:
            self._batches.add_suspect(report).wait()

    def report_sound(self, work: blame.Work, version: str, now: float) -> None:
        """Records that a request ran to its end."""
        suspected = self.table.suspected_parts(work, version, now)
        cleared = self.table.record_sound(work, version, now) & suspected
        if cleared:
            self._batches.add_sound(cleared)

    def suspect_count(self) -> int:
        """Returns the number of suspected parts."""
        return len(self.table.suspects(self._clock()))

    def blocked_count(self) -> int:
        """Returns the number of sets of parts that block requests."""
        return len(self.table.blocked(self._clock()))

    def status(self, now: float) -> dict[str, Any]:
        """Returns the suspected and blocked parts, for ``/status``."""
        return {
            "suspects": sorted(map(list, self.table.suspects(now))),
            "blocked": [
                [sorted(parts), version]
                for parts, version in self.table.blocked(now)
            ],
        }

    def _send_batch(self, batch: crash_batches.Batch) -> None:
        """Asks peers about the reports of a batch, then tells all of them."""
        now = self._clock()
        if (
            not batch.has_suspects
            and not batch.sound
            and not self._take_broadcast_token(now)
        ):
            return
        for reports in batch.chunks(MAX_LISTED):
            if batch.has_suspects:
                self._ask_peers(reports)
            body = self._encode(reports, self._clock(), batch.sound)
            self._members.broadcast(REPORT_KIND, body)
        self._log_changes_soon()

    def _ask_peers(self, reports: Sequence[blame.CrashReport]) -> None:
        """Sends reports to peers, and applies what they know of the parts."""
        now = self._clock()
        body = self._encode(reports, now)
        for peer, reply in membership.ask_peers(
            self._members,
            REPORT_KIND,
            body,
            REPORT_TIMEOUT_S,
            MAX_ASKED_PEERS,
            now,
        ):
            self._apply_reply(peer, reply)

    def _apply_reply(
        self, peer: str, reply: dict | membership.PeerUnreachableError
    ) -> bool:
        """Applies the records in a reply; returns whether it is valid."""
        now = self._clock()
        try:
            if isinstance(reply, membership.PeerUnreachableError):
                raise reply
            self._apply(reply, now)
        except (membership.PeerUnreachableError, ValueError) as exc:
            # Comparing the records later makes up for it.
            self._events.state_change(
                "peer gave no crashes",
                now,
                peer=peer,
                cause=decoding.describe(exc),
            )
            return False
        return True

    def _apply(self, body: Any, now: float) -> None:
        """Records the reports and the sound runs that a peer sent.

        The valid ones are recorded, whatever the others are.

        Raises:
            DecodingError: The message or one of them is malformed.
        """
        with decoding.reading("the reports"):
            listed = [*body["reports"][:MAX_LISTED]]
            sound = [*body["sound"]]
        faults = []
        for item in listed:
            try:
                with decoding.reading("a report"):
                    report = _decode_report(item, now)
                self.table.record_crash(report, now)
            except decoding.DecodingError as exc:
                faults.append(exc)
        for item in sound:
            try:
                with decoding.reading("a sound run"):
                    part, version, age_s = item
                    at = now - _age_s(age_s)
                self.table.record_sound_part(str(part), str(version), "", at)
            except decoding.DecodingError as exc:
                faults.append(exc)
        if faults:
            raise faults[0]

    def _encode(
        self,
        reports: Iterable[blame.CrashReport],
        now: float,
        sound: Iterable[str] = (),
    ) -> dict[str, list]:
        """Returns a message with reports and the sound runs of their parts.

        Args:
            reports: The reports; at most ``MAX_LISTED`` are encoded.
            now: Monotonic time in seconds.
            sound: Other parts whose sound runs are added.
        """
        listed = [*itertools.islice(reports, MAX_LISTED)]
        parts = frozenset(sound).union(*(r.work.parts for r in listed))
        return {
            "reports": [_encode_report(report, now) for report in listed],
            "sound": self._encode_sound(parts, now),
        }

    def _encode_sound(self, parts: Iterable[str], now: float) -> list[list]:
        return [
            [part, version, now - at]
            for part, version, at in self.table.sound_parts(parts)
        ]

    def _serve_report(self, sender: str, body: Any) -> dict[str, Any]:
        del sender
        now = self._clock()
        self._apply(body, now)
        self._log_changes_soon()
        parts = frozenset(
            str(part)
            for item in body["reports"]
            for part in _decode_report(item, now).work.parts
        )
        return {"reports": [], "sound": self._encode_sound(parts, now)}

    def _serve_list(self, sender: str, body: Any) -> dict[str, Any]:
        del sender
        now = self._clock()
        self._apply(body, now)
        return self._encode(self.table.reports(), now)

    def _learn(self) -> None:
        """Asks several peers at once for their records until one replies."""
        ends_at = self._clock() + LEARN_TIMEOUT_S
        while not self.is_ready and self._clock() < ends_at:
            now = self._clock()
            replies = membership.ask_peers(
                self._members,
                LIST_KIND,
                self._encode(self.table.reports(), now),
                LIST_TIMEOUT_S,
                LEARN_PEERS,
                now,
            )
            valid = [self._apply_reply(peer, reply) for peer, reply in replies]
            self.is_ready = any(valid)
            if not self.is_ready:
                eventlet.sleep(LEARN_INTERVAL_S)
        self.is_ready = True

    def _exchange(self, peer: str) -> bool:
        """Exchanges records with a peer; returns whether it replied."""
        body = self._encode(self.table.reports(), self._clock())
        try:
            reply = self._members.request(peer, LIST_KIND, body, LIST_TIMEOUT_S)
        except membership.PeerUnreachableError as exc:
            return self._apply_reply(peer, exc)
        return self._apply_reply(peer, reply)

    def _compare_records(self) -> None:
        compared_at = self._clock()
        while True:
            eventlet.sleep(COMPARE_INTERVAL_S)
            now = self._clock()
            self.table.expire(now)
            self._log_changes(now)
            interval_s = (
                COMPARE_INTERVAL_S
                if self.table.is_recent(RECENT_S, now)
                else SLOW_COMPARE_INTERVAL_S
            )
            peers = self._members.view(now).members
            if self.table and peers and now - compared_at >= interval_s:
                compared_at = now
                self._exchange(self._rng.choice(peers).incarnation)

    def _take_broadcast_token(self, now: float) -> bool:
        gained = (now - self._broadcast_tokens_at) * BROADCASTS_PER_S
        self._broadcast_tokens = min(
            BROADCASTS_PER_S, self._broadcast_tokens + gained
        )
        self._broadcast_tokens_at = now
        if self._broadcast_tokens < 1.0:
            return False
        self._broadcast_tokens -= 1.0
        return True

    def _log_changes_soon(self) -> None:
        """Logs changes once for all messages of a moment.

        Listing the parts whose verdict has changed takes milliseconds while
        many crashes are known.
        """
        if not self._is_log_due:
            self._is_log_due = True
            eventlet.spawn_after(LOG_DELAY_S, self._log_due_changes)

    def _log_due_changes(self) -> None:
        self._is_log_due = False
        self._log_changes(self._clock())

    def _log_changes(self, now: float) -> None:
        """Logs the parts whose verdict has changed."""
        current = {
            (frozenset({part}), version): blame.Verdict.SUSPECT
            for part, version in self.table.suspects(now)
        }
        current |= dict.fromkeys(self.table.blocked(now), blame.Verdict.BLOCKED)
        for key in self._known.keys() | current.keys():
            verdict = current.get(key, blame.Verdict.CLEAR)
            if verdict is self._known.get(key, blame.Verdict.CLEAR):
                continue
            parts, version = key
            reports = [
                report
                for report in self.table.reports()
                if parts <= report.work.parts
            ]
            self._events.state_change(
                "part blamed",
                now,
                parts=sorted(parts),
                version=version,
                verdict=verdict.value,
                crashes=self._describe(reports, now),
            )
        self._known = current

    def _describe(
        self, reports: Iterable[blame.CrashReport], now: float
    ) -> str:
        return ", ".join(
            f"{report.server} {now - report.at:.1f} s ago"
            f"{' alone' if report.is_trial else ''} (told by {report.source})"
            for report in itertools.islice(reports, 8)
        )


def _encode_report(report: blame.CrashReport, now: float) -> list:
    work = report.work
    return [
        report.report_id,
        report.server,
        report.version,
        work.fingerprint,
        work.workspace,
        sorted(work.parts),
        now - report.at,
        report.is_trial,
        report.source,
    ]


def _decode_report(body: Any, now: float) -> blame.CrashReport:
    """Returns the report that a peer sent.

    Raises:
        TypeError, ValueError: It is malformed.
    """
    (
        report_id,
        server,
        version,
        fingerprint,
        workspace,
        parts,
        age_s,
        is_trial,
        source,
    ) = body
    if len(parts) > blame.MAX_PARTS:
        raise ValueError(f"a report has {len(parts)} parts")
    return blame.CrashReport(
        str(report_id),
        str(server),
        str(version),
        blame.Work(
            str(fingerprint), str(workspace), frozenset(map(str, parts))
        ),
        now - _age_s(age_s),
        bool(is_trial),
        str(source),
    )


def _age_s(value: Any) -> float:
    """Returns an age in seconds.

    Raises:
        TypeError, ValueError: It is no number or out of range.
    """
    age_s = float(value)
    if not 0.0 <= age_s < MAX_AGE_S:
        raise ValueError(f"{value!r:.40} is not a valid age")
    return age_s


def new_fleet_blame(
    server_registry: fleet.ServerRegistry,
    members: membership.Membership,
    trial_placer: trials.TrialPlacer,
    events: log.EventLog,
    clock: model.Clock,
) -> FleetBlame:
    """Returns records without crashes, with their peer handlers.

    Args:
        server_registry: The backend servers.
        members: The other entry VMs.
        trial_placer: Places the requests that must run alone.
        events: Log of the parts that are suspected or blocked.
        clock: Monotonic time in seconds.
    """
    return FleetBlame(server_registry, members, trial_placer, events, clock)
