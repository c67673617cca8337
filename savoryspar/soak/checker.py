"""Checks the answers of a soak against the guarantees of the system."""

from collections.abc import Collection, Iterable
import re

from savoryspar.platform import standin
from savoryspar.soak import (
    disturbances,
    environment,
    raw_http,
    server_process,
    servers,
)
from savoryspar.soak.disturbances import Effect

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""The platform allows one and a half times a server's rate limit in a window,
and some requests more."""
LIMIT_NOTICE_S = 0.5
"""Time after a server first named a limit from which it is checked."""

DEADLINE_S = 5.0
"""Time for which callers wait."""
SETTLING_S = 4.0
"""Time after a fault in which streams may still be truncated: connections that
a fault broke are detected by timeouts of up to 2.5 s."""
STREAM_SERVICES = {
    "chat": ["engines"],
    "resume": ["engines"],
    "staged": ["engines", "stages"],
}
"""Services whose links a stream depends on, by route."""
EXPECTED_STATUSES = frozenset({0, 200, 408, 421, 429, 502, 503, 504})
"""Status codes of answers to requests that every configuration allows; 0 if
there is none."""

PROBE_STATUSES = frozenset({401, 404})
"""More status codes of answers to requests that some configurations allow."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Answer:
    """Answer that a caller received for one attempt.

    Attributes:
        attempt_id: ID of the attempt; the caller sends each attempt once.
        route: Name of the route.
        vm: Name of the VM.
        key_version: Version of the configuration that has the caller's key; 0
            if all have it.
        boot: Number of the VM's process; 0 if it changed meanwhile.
        status: HTTP status code; 0 if no answer arrived.
        seal: Stamp of the answer.
        body: Bytes of the body that arrived.
        is_complete: Whether the answer ended as its HTTP framing requires.
        error: Why it is not complete.
        idle_s: Time for which the connection had not been used.
        started_at, ended_at: Seconds since the start of the soak.
    """

    __slots__ = (
        "attempt_id",
        "body",
        "boot",
        "ended_at",
        "error",
        "idle_s",
        "is_complete",
        "key_version",
        "route",
        "seal",
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
        self.key_version = 0
        self.boot = 0
        self.status = 0
        self.seal = ""
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.idle_s = 0.0


def find_violations(
    answers: Iterable[Answer],
    run_records: environment.RunRecords,
    records: disturbances.Disturbances,
) -> list[str]:
    """Returns a line for each rule that an answer violates.

    Args:
        answers: All answers.
        run_records: Runs and sends that backend servers recorded.
        records: Disturbances, which may truncate answers.
    """
    return [
        describe(answer, rule)
        + _describe_runs(run_records.answers.get(answer.attempt_id, ()))
        for answer in answers
        for rule in _check_answer(answer, run_records, records)
    ]


def describe(answer: Answer, rule: str) -> str:
    """Returns a line that names the rule and the answer that violates it."""
    return (
        f"{rule}: attempt {answer.attempt_id} on {answer.route} at {answer.vm},"
        f" {answer.started_at:.2f} s to {answer.ended_at:.2f} s,"
        f" status {answer.status}, connection idle for {answer.idle_s:.2f} s"
        f" {answer.error}"
    )


def _describe_runs(runs: Iterable[environment.Run]) -> str:
    return "".join(f"; {run.framing} answer of {run.server}" for run in runs)


def find_exceeded_limits(
    backend_servers: Iterable[servers.BackendServer], until: float
) -> list[str]:
    """Returns a line for each period in which a server's limit was exceeded.

    Args:
        backend_servers: All backend servers.
        until: End of the soak; monotonic seconds.
    """
    return [
        f"a rate limit was exceeded: {server.entry.name} named"
        f" {period.limit_per_s:g} per second and got {worst} requests"
        f" in {LIMIT_WINDOW_S:g} s; allowed {allowed:g}"
        for server in backend_servers
        for period in server.limit_periods
        for allowed in [
            LIMIT_SLACK + LIMIT_FACTOR * LIMIT_WINDOW_S * period.limit_per_s
        ]
        for worst in [_worst_window(server, period, until)]
        if worst > allowed
    ]


def _worst_window(
    server: servers.BackendServer,
    period: servers.LimitPeriod,
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
    answer: Answer,
    run_records: environment.RunRecords,
    records: disturbances.Disturbances,
) -> Iterable[str]:
    attempt_id = answer.attempt_id
    runs = run_records.answers.get(attempt_id, ())
    if run_records.runs[attempt_id] > 1:
        yield "an order ran twice"
    if (
        answer.status in standin.NOT_RUN_STATUSES
        and run_records.sends[attempt_id]
    ):
        yield "a request that ran was reported as not run"
    if answer.status == 200:
        yield from _check_success(answer, runs, records)
    elif answer.seal:
        yield f"a failure has a stamp: {answer.seal!r}"
    if answer.status not in EXPECTED_STATUSES and not (
        is_probe(answer) and answer.status in PROBE_STATUSES
    ):
        yield "a status that nothing explains"
    if not answer.is_complete and not _may_be_truncated(
        answer, run_records.sends[attempt_id], records
    ):
        yield "an answer was truncated or missing without a fault"


def is_probe(answer: Answer) -> bool:
    """Returns whether only some configurations allow the request."""
    return bool(answer.key_version) or answer.route.startswith("v")


def _check_success(
    answer: Answer,
    runs: Collection[environment.Run],
    records: disturbances.Disturbances,
) -> Iterable[str]:
    seals = [run.seal for run in runs if not run.is_resumed]
    if answer.seal not in seals:
        yield f"a success has another stamp: {answer.seal!r}, not of {seals}"
    if answer.route in STREAM_SERVICES:
        yield from _check_stream(answer, _is_end_hidden(answer, runs, records))
    elif answer.is_complete and not any(
        run.seal == answer.seal
        and _is_body(answer, run, _is_end_hidden(answer, [run], records))
        for run in runs
    ):
        yield f"no server made this body: {answer.body!r:.60}"


def _may_be_truncated(
    answer: Answer, sends: int, records: disturbances.Disturbances
) -> bool:
    """Returns whether a fault may truncate the answer, or leave it out.

    Only an end of its own VM may leave out a plain answer. A planned stop may
    only if the request was not passed on. A stream may end at its deadline.
    """
    span = (answer.started_at, answer.ended_at)
    if records.overlap([Effect.DOWN], answer.vm, *span):
        return True
    if not sends and records.overlap([Effect.STOPPING], answer.vm, *span):
        return True
    if (
        answer.route in STREAM_SERVICES
        and answer.ended_at - answer.started_at >= DEADLINE_S
    ):
        return True
    span = (answer.started_at - SETTLING_S, answer.ended_at)
    if answer.route == "staged" and records.overlap_any([Effect.DOWN], *span):
        # A peer may have gathered its pieces.
        return True
    return any(
        records.overlap([Effect.LINK], service, *span)
        for service in STREAM_SERVICES.get(answer.route, ())
    )


def _is_end_hidden(
    answer: Answer,
    runs: Iterable[environment.Run],
    records: disturbances.Disturbances,
) -> bool:
    """Returns whether nothing tells that an answer ended early.

    A server that goes on serving ended the connection in the middle of an
    answer, whose framing has no other end.
    """
    return any(
        run.framing == raw_http.CLOSED
        and records.overlap(
            [Effect.ENDED], run.service, answer.started_at, answer.ended_at
        )
        for run in runs
    )


def _is_body(answer: Answer, run: environment.Run, is_end_hidden: bool) -> bool:
    body = run.body or b""
    return body.startswith(answer.body) and (
        is_end_hidden or body == answer.body
    )


def _check_stream(answer: Answer, is_end_hidden: bool) -> Iterable[str]:
    events = EVENT.findall(answer.body)
    for number, (event_id, data) in enumerate(events):
        if int(event_id) != number:
            yield f"a stream has event {int(event_id)} instead of {number}"
            return
        if data != f"{answer.attempt_id}-{number}".encode():
            yield "a stream has an event of another request"
            return
    if (
        answer.is_complete
        and not is_end_hidden
        and len(events) != server_process.STREAM_EVENTS
    ):
        yield f"a stream ended as complete after {len(events)} events"
