"""Checks by which version of the configuration each request was decided."""

import bisect
from collections.abc import Callable, Iterable, Mapping, Sequence

from savoryspar.soak import (
    checker,
    configurations,
    disturbances,
    environment,
)


class VersionReport:
    """Result of the check.

    Attributes:
        judged: Number of answers of VMs in touch that show a version.
    """

    __slots__ = ("_first_answers", "judged")

    def __init__(self) -> None:
        self._first_answers: dict[tuple[str, str], checker.Answer] = {}
        self.judged = 0

    @property
    def violations(self) -> list[str]:
        """A line for each rule that a VM violates, with its first answer."""
        return [
            checker.describe(answer, rule)
            for (rule, _), answer in self._first_answers.items()
        ]

    def add(self, answer: checker.Answer, rule: str) -> None:
        """Adds a violation of a rule by the VM of an answer."""
        self._first_answers.setdefault((rule, answer.vm), answer)


def find_version_violations(
    answers: Iterable[checker.Answer],
    run_records: environment.RunRecords,
    published: Sequence[float],
    records: disturbances.Disturbances,
    config_s: float,
) -> VersionReport:
    """Checks that VMs in touch use new versions, and that none goes back.

    Args:
        answers: All answers.
        run_records: Answers that servers made.
        published: Times of the configurations from version 1 on, in seconds
            of the soak.
        records: Disturbances, after which a VM is not in touch.
        config_s: Time after the store's answer to the operator within which a
            configuration must be in force at VMs in touch.
    """
    report = VersionReport()
    bounds: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for answer in sorted(answers, key=lambda a: a.ended_at):
        allows = decided_by(answer, run_records.answers)
        if allows is None:
            continue
        newest = bisect.bisect(published, answer.ended_at)
        versions = [v for v in range(1, newest + 1) if allows(v)]
        due = bisect.bisect(published, answer.started_at - config_s)
        _check_bound(answer, versions, due, published, records, report)
        if answer.boot:
            seen = bounds.setdefault((answer.vm, answer.boot), [])
            _check_order(answer, versions, seen, report)
    return report


def decided_by(
    answer: checker.Answer,
    runs: Mapping[str, Sequence[environment.Run]],
) -> Callable[[int], bool] | None:
    """Returns which versions allow an answer; None if it does not show that."""
    if answer.route.startswith("v"):
        own = int(answer.route[1:])
        return {200: lambda v: v == own, 404: lambda v: v != own}.get(
            answer.status
        )
    if not answer.key_version:
        return None
    services = {run.service for run in runs.get(answer.attempt_id, ())}
    return {
        200: lambda v: (
            v == answer.key_version
            and configurations.moved_service(v) in services
        ),
        401: lambda v: v != answer.key_version,
    }.get(answer.status)


def _check_bound(
    answer: checker.Answer,
    versions: Sequence[int],
    due: int,
    published: Sequence[float],
    records: disturbances.Disturbances,
    report: VersionReport,
) -> None:
    if not versions:
        rule = "handled as no configuration allows"
        report.add(answer, rule)
        return
    if not records.is_in_touch(answer.vm, answer.started_at, answer.ended_at):
        return
    report.judged += 1
    if versions[-1] < due:
        rule = (
            f"handled as only version {versions[-1]} or older allows, version"
            f" {due} was published at {published[due - 1]:.2f} s"
        )
        report.add(answer, rule)


def _check_order(
    answer: checker.Answer,
    versions: Sequence[int],
    seen: list[tuple[float, int]],
    report: VersionReport,
) -> None:
    """Checks an answer against those of its process that ended before it began.

    Args:
        answer: The answer.
        versions: Versions that allow it.
        seen: Times at which the process is known to have used a version, with
            the oldest version that is possible from then on; extended here.
        report: Result, to which violations are added.
    """
    before = bisect.bisect(seen, (answer.started_at, 0)) - 1
    oldest = seen[before][1] if before >= 0 else 1
    possible = [v for v in versions if v >= oldest]
    if versions and not possible:
        rule = f"a VM went back from version {oldest} to {versions[-1]}"
        report.add(answer, rule)
        return
    last = seen[-1][1] if seen else 1
    if possible and possible[0] > last:
        seen.append((answer.ended_at, possible[0]))
