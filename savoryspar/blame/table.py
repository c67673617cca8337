"""Charges crashes of servers to requests and to parts of their prompts.

When a server crashes, every request that was on it is reported. A part of a
prompt is charged with a crash until a request with it runs to its end on a
server of the same version: of the parts on a server that one part crashed, the
innocent ones run sound elsewhere. A part that was never seen to run sound is a
suspect after one crash, one that was after two without a sound run in between.
Crashes of different servers count, because one server may break connections
for reasons of its own; a third crash of the same server counts as well.

A request with a suspect runs alone. If its server crashes all the same, one of
its parts that are suspected or were never seen to run sound is guilty, and
requests that have all of these are blocked. Two different
requests must have crashed servers for this; with only one, the request itself
may be at fault, and it alone is blocked.
"""

from collections.abc import Iterable, Iterator
import itertools
import math

from savoryspar.blame import model, owned_cache

SAME_CRASH_S = 1.0
"""Reports of one server within this time are of one crash; connections break
some time after each other, and VMs observe it at different times."""
SUSPECT_S = 300.0
"""Time after which a crash is no longer charged to the parts beside it."""
BLOCK_S = 600.0
"""Time for which a crash during a trial blocks, for each such crash."""
KEEP_S = 3600.0
"""Time after its last use for which a report is kept, and for which a request
that crashed servers by itself is blocked."""
MIN_REQUEST_CRASHES = 2
"""Crashes that block a request when no part explains them."""
MIN_REQUESTS = 2
"""Different requests that must have crashed servers to block a part."""
MIN_SERVERS = 2
"""Servers that must have crashed to block a part."""
MIN_SAME_SERVER_CRASHES = 3
"""Crashes that suffice instead if they are of one server; a pool may have no
other."""
MAX_REPORTS = 512
MAX_REPORTS_PER_WORKSPACE = 64
MAX_SOUND = 8192
MAX_SOUND_PER_WORKSPACE = 1024
REVIEW_INTERVAL_S = 1.0
"""Longest time for which the guilty parts are not derived again."""


class _Guilt:
    """Parts of which at least one crashes servers.

    Attributes:
        parts: The parts.
        version: Version of the servers that crashed.
        reports: The crashes that prove it.
        until: When it stops to block; monotonic seconds.
    """

    __slots__ = ("parts", "reports", "until", "version")

    def __init__(
        self,
        parts: frozenset[str],
        version: str,
        reports: list[model.CrashReport],
        until: float,
    ):
        self.parts = parts
        self.version = version
        self.reports = reports
        self.until = until


class CrashTable:
    """Crashes and sound runs; construct with ``new_crash_table``."""

    __slots__ = (
        "_by_fingerprint",
        "_by_part",
        "_by_server",
        "_crashes",
        "_guilts",
        "_review_at",
        "_sound",
        "_trials",
    )

    def __init__(self) -> None:
        # Trials are kept apart, so that crashes do not evict them.
        self._crashes: owned_cache.OwnedCache[str, model.CrashReport] = (
            owned_cache.OwnedCache(MAX_REPORTS, MAX_REPORTS_PER_WORKSPACE)
        )
        self._trials: owned_cache.OwnedCache[str, model.CrashReport] = (
            owned_cache.OwnedCache(MAX_REPORTS, MAX_REPORTS_PER_WORKSPACE)
        )
        self._sound: owned_cache.OwnedCache[tuple[str, str], float] = (
            owned_cache.OwnedCache(MAX_SOUND, MAX_SOUND_PER_WORKSPACE)
        )
        self._by_part: dict[str, list[model.CrashReport]] = {}
        self._by_fingerprint: dict[str, list[model.CrashReport]] = {}
        self._by_server: dict[str, list[model.CrashReport]] = {}
        self._guilts: list[_Guilt] = []
        self._review_at = -math.inf

    def __bool__(self) -> bool:
        """Returns whether there are reports of crashes."""
        return bool(len(self._crashes) or len(self._trials))

    def record_crash(self, report: model.CrashReport, now: float) -> bool:
        """Records a report; returns whether it was new."""
        if (
            report.report_id in self._crashes
            or report.report_id in self._trials
        ):
            return False
        self.expire(now)
        reports = self._trials if report.is_trial else self._crashes
        evicted = reports.put(report.work.workspace, report.report_id, report)
        for other in evicted:
            self._unlink(other)
        for key, index in self._indexes(report):
            index.setdefault(key, []).append(report)
        self._review_at = -math.inf
        return True

    def record_sound(
        self, work: model.Work, version: str, at: float
    ) -> frozenset[str]:
        """Records that a request ran to its end.

        Args:
            work: The request.
            version: Version of the server.
            at: When it ended; monotonic seconds.

        Returns:
            The parts that this clears of a crash.
        """
        # The request itself is cleared of earlier crashes.
        self._by_fingerprint.pop(work.fingerprint, None)
        return frozenset(
            part
            for part in work.parts
            if self.record_sound_part(part, version, work.workspace, at)
        )

    def record_sound_part(
        self, part: str, version: str, workspace: str, at: float
    ) -> bool:
        """Records that a request with a part ran to its end.

        Returns:
            Whether this clears the part of a crash.
        """
        previous = self._sound.get((part, version))
        if previous is not None and previous >= at:
            return False
        self._sound.put(workspace, (part, version), at)
        since = -math.inf if previous is None else previous
        reports = self._by_part.get(part, ())
        if not any(since < report.at < at for report in reports):
            return False
        self._review_at = -math.inf
        return True

    def sound_at(self, part: str, version: str) -> float:
        """Returns when a part last ran sound, minus infinity if never."""
        at = self._sound.get((part, version))
        return -math.inf if at is None else at

    def assess(
        self,
        work: model.Work,
        version: str,
        now: float,
        is_preview: bool = False,
    ) -> model.Finding:
        """Returns the verdict on a request at servers of a version.

        The reports behind the verdict are kept for longer, unless it is a
        preview.
        """
        finding = self._finding(work, version, now)
        if not is_preview:
            _mark_used(finding.reports, now)
        return finding

    def _finding(
        self, work: model.Work, version: str, now: float
    ) -> model.Finding:
        if not self:
            return model.Finding(model.Verdict.CLEAR)
        for guilt in self._current_guilts(now):
            if (
                guilt.until > now
                and guilt.version == version
                and guilt.parts <= work.parts
            ):
                return model.Finding(
                    model.Verdict.BLOCKED, guilt.parts, guilt.reports
                )
        own = self._request_crashes(work.fingerprint, now)
        if own:
            return model.Finding(model.Verdict.BLOCKED, frozenset(), own)
        charges = {
            part: reports
            for part in work.parts
            if (reports := self._suspect_crashes(part, version, now))
        }
        if not charges:
            return model.Finding(model.Verdict.CLEAR)
        unknown = (p for p in work.parts if (p, version) not in self._sound)
        return model.Finding(
            model.Verdict.SUSPECT,
            frozenset(charges).union(unknown),
            itertools.chain.from_iterable(charges.values()),
        )

    def suspected_parts(
        self, work: model.Work, version: str, now: float
    ) -> frozenset[str]:
        """Returns the parts of a request that are suspected in a version."""
        return frozenset(
            part
            for part in work.parts
            if self._suspect_crashes(part, version, now)
        )

    def is_recent(self, duration_s: float, now: float) -> bool:
        """Returns whether a report counted in the last seconds."""
        return any(
            now - report.used_at < duration_s
            for report in itertools.chain(
                self._trials.values(), self._crashes.values()
            )
        )

    def reports(self) -> list[model.CrashReport]:
        """Returns all reports, those of trials first, then the newest first."""
        return sorted(
            itertools.chain(self._trials.values(), self._crashes.values()),
            key=lambda report: (not report.is_trial, -report.at),
        )

    def sound_parts(self, parts: Iterable[str]) -> list[tuple[str, str, float]]:
        """Returns the part, version and time of the last sound runs of parts.

        Only versions in which servers crashed under the part are returned.
        """
        return [
            (part, version, at)
            for part in parts
            for version in {r.version for r in self._by_part.get(part, ())}
            if (at := self._sound.get((part, version))) is not None
        ]

    def suspects(self, now: float) -> list[tuple[str, str]]:
        """Returns the suspected parts with the version of the servers."""
        return [
            (part, version)
            for part, reports in self._by_part.items()
            for version in {report.version for report in reports}
            if self._suspect_crashes(part, version, now)
        ]

    def blocked(self, now: float) -> list[tuple[frozenset[str], str]]:
        """Returns the sets of parts that block, with the version."""
        return [
            (guilt.parts, guilt.version)
            for guilt in self._current_guilts(now)
            if guilt.until > now
        ]

    def expire(self, now: float) -> None:
        """Drops reports that no longer count."""
        for reports in (self._crashes, self._trials):
            expired = [r for r in reports.values() if now - r.used_at > KEEP_S]
            for report in expired:
                reports.pop(report.report_id)
                self._unlink(report)

    def _indexes(
        self, report: model.CrashReport
    ) -> Iterator[tuple[str, dict[str, list[model.CrashReport]]]]:
        yield report.work.fingerprint, self._by_fingerprint
        yield report.server, self._by_server
        for part in report.work.parts:
            yield part, self._by_part

    def _unlink(self, report: model.CrashReport) -> None:
        for key, index in self._indexes(report):
            left = [r for r in index.get(key, ()) if r is not report]
            if left:
                index[key] = left
            else:
                index.pop(key, None)
        self._review_at = -math.inf

    def _current_guilts(self, now: float) -> list[_Guilt]:
        if now >= self._review_at:
            self._guilts = [
                guilt
                for report in self._trials.values()
                if (guilt := self._guilt(report)) is not None
            ]
            self._review_at = now + REVIEW_INTERVAL_S
        return self._guilts

    def _guilt(self, trial: model.CrashReport) -> _Guilt | None:
        """Returns what the crash during a trial proves, None if nothing."""
        parts = frozenset(
            part
            for part in trial.work.parts
            if trial.at > self.sound_at(part, trial.version)
        )
        if not parts:
            return None
        reports = [
            report
            for report in self._by_part[next(iter(parts))]
            if parts <= report.work.parts
        ]
        requests = {report.work.fingerprint for report in reports}
        if len(requests) < MIN_REQUESTS or not _is_repeated(reports):
            return None
        trials = sum(1 for _ in _crashes(r for r in reports if r.is_trial))
        return _Guilt(
            parts, trial.version, reports, trial.at + trials * BLOCK_S
        )

    def _request_crashes(
        self, fingerprint: str, now: float
    ) -> list[model.CrashReport]:
        """Returns the crashes that block a request, none if it may run."""
        reports = [
            report
            for report in self._by_fingerprint.get(fingerprint, ())
            if now - report.at < KEEP_S
        ]
        if any(report.is_trial for report in reports):
            return reports
        unexplained = [
            report
            for report in reports
            if not self._is_explained(report, frozenset(), now)
            and not self._has_suspects(report, now)
        ]
        crashes = sum(1 for _ in _crashes(unexplained))
        return unexplained if crashes >= MIN_REQUEST_CRASHES else []

    def _suspect_crashes(
        self, part: str, version: str, now: float
    ) -> list[model.CrashReport]:
        """Returns the crashes that make a part a suspect, none if it is not.

        Crashes of another version count unless the part runs sound here.
        """
        reports = self._by_part.get(part)
        if not reports:
            return []
        sound_at = self._sound.get((part, version))
        charged = [
            report
            for report in reports
            if (report.is_trial or now - report.at < SUSPECT_S)
            and report.at > self.sound_at(part, report.version)
            and (
                sound_at is None
                or (report.version == version and report.at > sound_at)
            )
            and not self._is_explained(report, frozenset({part}), now)
        ]
        is_suspect = sound_at is None or _is_repeated(charged)
        return charged if is_suspect else []

    def _same_crash(
        self, report: model.CrashReport
    ) -> Iterator[model.CrashReport]:
        return (
            other
            for other in self._by_server.get(report.server, ())
            if abs(other.at - report.at) < SAME_CRASH_S
        )

    def _is_explained(
        self, report: model.CrashReport, parts: frozenset[str], now: float
    ) -> bool:
        """Returns whether parts other than the given ones caused a crash."""
        return any(
            guilt.parts <= other.work.parts
            for guilt in self._current_guilts(now)
            if not guilt.parts & parts
            for other in self._same_crash(report)
        )

    def _has_suspects(self, report: model.CrashReport, now: float) -> bool:
        """Returns whether a suspected part was on the server that crashed."""
        return any(
            self._suspect_crashes(part, other.version, now)
            for other in self._same_crash(report)
            for part in other.work.parts
        )


def _is_repeated(reports: Iterable[model.CrashReport]) -> bool:
    """Returns whether the crashes cannot be the fault of one server."""
    crashes = [*_crashes(reports)]
    return (
        len({report.server for report in crashes}) >= MIN_SERVERS
        or len(crashes) >= MIN_SAME_SERVER_CRASHES
    )


def _mark_used(reports: Iterable[model.CrashReport], now: float) -> None:
    for report in reports:
        report.used_at = now


def _crashes(
    reports: Iterable[model.CrashReport],
) -> Iterator[model.CrashReport]:
    """Yields one report of each crash."""
    last: dict[str, float] = {}
    for report in sorted(reports, key=lambda r: r.at):
        if report.at - last.get(report.server, -math.inf) >= SAME_CRASH_S:
            last[report.server] = report.at
            yield report


def new_crash_table() -> CrashTable:
    """Returns a table without reports."""
    return CrashTable()
