"""Checks the answers of a soak against the guarantees of the system."""

from collections.abc import Iterable, Mapping
import re

from savoryspar.platform import standin
from savoryspar.soak import environment

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""The platform allows one and a half times a server's rate limit in a window,
and some requests more."""
LIMIT_NOTICE_S = 0.5
"""Time after a server first named a limit from which it is checked."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Answer:
    """Answer that a caller received for one attempt.

    Attributes:
        attempt_id: ID of the attempt; the caller sends each attempt once.
        route: Name of the route.
        vm: Name of the VM.
        status: HTTP status code; 0 if no answer arrived.
        body: Bytes of the body that arrived.
        is_complete: Whether the answer ended as its HTTP framing requires.
        started_at, ended_at: Seconds since the start of the soak.
    """

    __slots__ = (
        "attempt_id",
        "body",
        "ended_at",
        "is_complete",
        "route",
        "started_at",
        "status",
        "vm",
    )

    def __init__(self, attempt_id: str, route: str, vm: str, started_at: float):
        self.attempt_id = attempt_id
        self.route = route
        self.vm = vm
        self.started_at = started_at
        self.ended_at = started_at
        self.status = 0
        self.body = b""
        self.is_complete = False


def find_violations(
    answers: Iterable[Answer],
    run_records: environment.RunRecords,
    stable_from: Mapping[str, float],
) -> list[str]:
    """Returns a line for each rule that an answer violates.

    Args:
        answers: All answers.
        run_records: Runs and sends that backend servers recorded.
        stable_from: By VM, the time after which no injected fault may truncate
            an answer, in seconds since the start of the soak.
    """
    violations = []
    for answer in answers:
        for rule in _check_answer(
            answer, run_records, stable_from.get(answer.vm, 0.0)
        ):
            violations.append(
                f"{rule}: attempt {answer.attempt_id} at {answer.vm},"
                f" {answer.started_at:.2f} s to {answer.ended_at:.2f} s,"
                f" status {answer.status}"
            )
    return violations


def find_exceeded_limits(
    servers: Iterable[environment.BackendServer], until: float
) -> list[str]:
    """Returns a line for each period in which a server's limit was exceeded.

    Args:
        servers: All backend servers.
        until: End of the soak; monotonic seconds.
    """
    return [
        f"a rate limit was exceeded: {server.entry.name} named"
        f" {period.limit_per_s:g} per second and got {worst} requests"
        f" in {LIMIT_WINDOW_S:g} s; allowed {allowed:g}"
        for server in servers
        for period in server.limit_periods
        for allowed in [
            LIMIT_SLACK + LIMIT_FACTOR * LIMIT_WINDOW_S * period.limit_per_s
        ]
        for worst in [_worst_window(server, period, until)]
        if worst > allowed
    ]


def _worst_window(
    server: environment.BackendServer,
    period: environment.LimitPeriod,
    until: float,
) -> int:
    if period.named_at is None:
        return 0
    return worst_window(
        server.arrivals,
        period.named_at + LIMIT_NOTICE_S,
        period.ended_at or until,
        server.held_until,
    )


def worst_window(
    arrivals: Iterable[float],
    since: float,
    until: float,
    held: Iterable[float],
) -> int:
    """Returns the most arrivals in a window of ``LIMIT_WINDOW_S``.

    Args:
        arrivals: Times of all requests.
        since: Start of the first window.
        until: End of the last window.
        held: Times at which a proxy may have delivered requests that it had
            held back; windows that contain one are skipped.
    """
    times = [at for at in arrivals if since <= at < until]
    return max(
        (
            sum(start <= at < start + LIMIT_WINDOW_S for at in times)
            for start in times
            if not any(start <= at <= start + LIMIT_WINDOW_S for at in held)
        ),
        default=0,
    )


def _check_answer(
    answer: Answer, run_records: environment.RunRecords, stable_from: float
) -> Iterable[str]:
    attempt_id = answer.attempt_id
    if run_records.runs[attempt_id] > 1:
        yield "an order ran twice"
    if (
        answer.status in standin.NOT_RUN_STATUSES
        and run_records.sends[attempt_id]
    ):
        yield "a request that ran was reported as not run"
    if answer.status == 200 and answer.route in ("order", "lookup"):
        if (
            answer.is_complete
            and answer.body.split(b":")[0] != attempt_id.encode()
        ):
            yield "an answer belongs to another request"
    elif answer.status == 200:
        yield from _check_stream(answer)
    if answer.started_at > stable_from and not answer.is_complete:
        yield "an answer was truncated or missing without a fault"


def _check_stream(answer: Answer) -> Iterable[str]:
    events = EVENT.findall(answer.body)
    for number, (event_id, data) in enumerate(events):
        if int(event_id) != number:
            yield f"a stream has event {int(event_id)} instead of {number}"
            return
        if data != f"{answer.attempt_id}-{number}".encode():
            yield "a stream has an event of another request"
            return
    if answer.is_complete and len(events) != environment.STREAM_EVENTS:
        yield f"a stream ended as complete after {len(events)} events"
