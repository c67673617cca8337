"""What must hold of a soak, judged from outside."""

from collections.abc import Iterable, Mapping
import re

from savoryspar.platform import standin
from savoryspar.soak import world

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Answer:
    """What a caller got for one attempt.

    Attributes:
        attempt_id: The attempt; never sent twice by its caller.
        route: Name of the route.
        vm: Name of the VM.
        status: 0 without an answer.
        body: Bytes that arrived.
        is_whole: Whether the answer ended as HTTP says.
        began_at, ended_at: Seconds since the start of the soak.
    """

    __slots__ = (
        "attempt_id",
        "began_at",
        "body",
        "ended_at",
        "is_whole",
        "route",
        "status",
        "vm",
    )

    def __init__(self, attempt_id: str, route: str, vm: str, began_at: float):
        self.attempt_id = attempt_id
        self.route = route
        self.vm = vm
        self.began_at = began_at
        self.ended_at = began_at
        self.status = 0
        self.body = b""
        self.is_whole = False


def broken_rules(
    answers: Iterable[Answer],
    run_records: world.RunRecords,
    calm: Mapping[str, float],
) -> list[str]:
    """Returns a line for each rule that an answer breaks.

    Args:
        answers: All answers.
        run_records: What the backend servers ran.
        calm: By VM, the time after which nothing may cut an answer.
    """
    found = []
    for answer in answers:
        for rule in _broken(answer, run_records, calm.get(answer.vm, 0.0)):
            found.append(
                f"{rule}: attempt {answer.attempt_id} at {answer.vm},"
                f" {answer.began_at:.2f} s to {answer.ended_at:.2f} s,"
                f" status {answer.status}"
            )
    return found


def _broken(
    answer: Answer, run_records: world.RunRecords, calm_at: float
) -> Iterable[str]:
    attempt_id = answer.attempt_id
    if run_records.runs[attempt_id] > 1:
        yield "an order ran twice"
    if (
        answer.status in standin.NOT_RUN_STATUSES
        and run_records.sends[attempt_id]
    ):
        yield "a request that ran was said not to have run"
    if answer.status == 200 and answer.route in ("order", "lookup"):
        if (
            answer.is_whole
            and answer.body.split(b":")[0] != attempt_id.encode()
        ):
            yield "an answer is not the caller's own"
    elif answer.status == 200:
        yield from _broken_stream(answer)
    if answer.began_at > calm_at and not answer.is_whole:
        yield "an answer was cut or missing without a fault"


def _broken_stream(answer: Answer) -> Iterable[str]:
    events = EVENT.findall(answer.body)
    for number, (event_id, data) in enumerate(events):
        if int(event_id) != number:
            yield f"a stream has event {int(event_id)} in place of {number}"
            return
        if data != f"{answer.attempt_id}-{number}".encode():
            yield "a stream has an event of another request"
            return
    if answer.is_whole and len(events) != world.STREAM_EVENTS:
        yield f"a stream ended as whole after {len(events)} events"
