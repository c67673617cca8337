"""Header fields of callers' requests and of backend servers' answers."""

from collections.abc import Iterable, Sequence
from email import utils
import math

from savoryspar import backends, log

logger = log.new_logger("platform")

ATTEMPT_ID = "Savoryspar-Attempt-Id"
DEADLINE = "Savoryspar-Deadline-Ms"
EXPECT_SERVER = "Savoryspar-Expect-Instance"
INPUTS = "Savoryspar-Inputs"
KEY = "Savoryspar-Key"
LEAVING = "Server-Leaving"
LOAD = "Savoryspar-Load"
MODEL = "Savoryspar-Model"
NOT_RUN = "Savoryspar-Not-Run"
PIECES = "Savoryspar-Pieces"
PIECE_KEY = "Savoryspar-Piece-Key"
PROMPT_PARTS = "Savoryspar-Prefix-Hash"
RETRY_AFTER = "Retry-After"
SEAL = "Savoryspar-Seal"
TOKENS = "Savoryspar-Token-Count"
URGENCY = "Savoryspar-Request-Urgency"
WORKSPACE = "Savoryspar-Tenant"
RESUME_AFTER = "Last-Event-Id"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Fields of one connection, and those that the HTTP library sets itself."""

SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_SERVER,
        "Savoryspar-Expect-Version",
        INPUTS,
        KEY,
        URGENCY,
        WORKSPACE,
        RESUME_AFTER,
        "Savoryspar-Hold",
        "Savoryspar-Pin-Ms",
        "Savoryspar-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Accept-Encoding",
        # The presence of this field in a request would be the caller's word.
        NOT_RUN,
    )
)
"""Fields that a caller's request never passes on as they came."""


FOR_SYSTEM = frozenset(
    name.lower() for name in (NOT_RUN, LOAD, LEAVING, RETRY_AFTER)
)
"""Fields of a server's answer that concern its sender only. When a caller may
come back is the system's own word, in answers of its own."""

MAX_PIECES = 4096
"""Pieces of one stage; requests of the platform's callers have below 100."""
MAX_TOKENS = 1 << 24
"""Tokens of a prompt or a part; engines hold below a million."""
MAX_PAUSE_S = 60.0
"""Longest pause that one answer of a server may ask for. After it the server is
asked again, and may ask for another one."""


def decode_caller_request(
    method: str, target: str, fields: Sequence[tuple[str, str]], body: bytes
) -> backends.CallerRequest:
    """Decodes a request.

    Raises:
        BadRequestError: A field cannot be read.
    """
    found = {name.lower(): value.strip() for name, value in fields}

    def get(name: str) -> str:
        return found.get(name.lower(), "")

    try:
        deadline_s = _deadline_s(get(DEADLINE)) if get(DEADLINE) else None
        prompt_tokens, output_tokens = _numbers(get(TOKENS), 2)
        pieces = tuple(_counts(get(PIECES), MAX_PIECES))
        parts = [_part(text) for text in get(PROMPT_PARTS).split(",") if text]
        resume_after = int(get(RESUME_AFTER)) if get(RESUME_AFTER) else None
    except ValueError as exc:
        raise backends.BadRequestError(
            f"a header field of the request cannot be read: {exc}",
            "send the fields in the documented form",
        ) from exc
    return backends.CallerRequest(
        attempt_id=get(ATTEMPT_ID),
        method=method,
        target=target,
        host=get("Host").lower().partition(":")[0],
        fields=_passed_on(fields, get("Connection")),
        body=body,
        deadline_s=deadline_s,
        key=get(KEY),
        model=get(MODEL),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prompt_parts=parts,
        pieces=pieces,
        piece_key=get(PIECE_KEY),
        resume_after=resume_after,
    )


def _passed_on(
    fields: Sequence[tuple[str, str]], connection: str
) -> tuple[tuple[str, str], ...]:
    """Returns the fields that concern more than the caller's connection."""
    left_out = HOP_BY_HOP | SET_BY_SYSTEM | _listed_in_connection(connection)
    return tuple(
        (name, value) for name, value in fields if name.lower() not in left_out
    )


def _listed_in_connection(value: str) -> frozenset[str]:
    return frozenset(word.strip().lower() for word in value.split(","))


def _deadline_s(text: str) -> float:
    deadline_s = float(text) / 1000.0
    if not 0.0 <= deadline_s < math.inf:
        raise ValueError(f"{text!r:.40} is no time")
    return deadline_s


def _counts(text: str, most: int) -> list[int]:
    """Returns the numbers of a list, each from 0 to a largest one.

    Raises:
        ValueError: One is not; what is made for each unit would fill the VM.
    """
    numbers = [int(word) for word in text.split(",") if word.strip()]
    if not all(0 <= number <= most for number in numbers):
        raise ValueError(f"{text!r:.40} has a number outside 0 to {most}")
    return numbers


def _numbers(text: str, count: int) -> tuple[int, ...]:
    numbers = _counts(text, MAX_TOKENS)
    return tuple((numbers + [0] * count)[:count])


def _part(text: str) -> backends.PromptPart:
    identifier, _, tokens = text.strip().partition(":")
    return backends.PromptPart(identifier, *_counts(tokens or "0", MAX_TOKENS))


def encode_backend_headers(
    req: backends.CallerRequest, send: backends.BackendSend
) -> list[tuple[str, str]]:
    """Returns the header fields of one send to a backend server."""
    fields = [*req.fields]
    fields.append((DEADLINE, str(max(1, int(send.timeout_s * 1000)))))
    fields.append((EXPECT_SERVER, send.server))
    if send.workspace:
        fields.append((WORKSPACE, send.workspace))
    if send.urgency is not None:
        fields.append((URGENCY, str(send.urgency)))
    if send.inputs:
        fields.append((INPUTS, ",".join(send.inputs)))
    if send.resume_after is not None:
        fields.append((RESUME_AFTER, str(send.resume_after)))
    return fields


def encode_stage_headers(server: str) -> list[tuple[str, str]]:
    """Returns the header fields of a call that runs or frees pieces."""
    return [
        ("Content-Type", "application/json"),
        (EXPECT_SERVER, server),
    ]


def answer_facts(
    status: int, fields: Iterable[tuple[str, str]]
) -> backends.AnswerFacts:
    """Returns what a backend server's answer says of the request."""
    fields = [*fields]
    found = {name.lower(): value for name, value in fields}
    load = found.get(LOAD.lower(), "").split(",")
    return backends.AnswerFacts(
        attempt_id=found.get(ATTEMPT_ID.lower(), ""),
        # Status 421 alone says that another server has the address.
        has_not_run=NOT_RUN.lower() in found or status == 421,
        is_misdirected=status == 421,
        has_digest=SEAL.lower() in found,
        is_encoded="content-encoding" in found,
        is_closing="close" in found.get("connection", "").lower(),
        idle_timeout_s=_idle_timeout(found.get("keep-alive", "")),
        load=sum(int(n) for n in load[:2] if n.strip().isdigit())
        if len(load) == 3
        else -1,
        is_leaving=_is_set(found.get(LEAVING.lower(), "")),
        pause_s=_pause_s(fields) if status == 503 else 0.0,
    )


def _is_set(value: str) -> bool:
    return value.strip().lower() not in ("", "0", "false")


def _pause_s(fields: Iterable[tuple[str, str]]) -> float:
    """Returns the longest readable time for which a server wants no work."""
    found = [(name.lower(), value.strip()) for name, value in fields]
    date = next((value for name, value in found if name == "date"), "")
    return max(
        (
            _seconds(value, date)
            for name, value in found
            if name == RETRY_AFTER.lower()
        ),
        default=0.0,
    )


def _seconds(text: str, date: str) -> float:
    """Returns a time in seconds, 0 for a text that names none.

    Args:
        text: Seconds with or without a fraction, or a date.
        date: When the answer was made, which a date is compared with.
    """
    try:
        seconds = float(text)
    except ValueError:
        try:
            until, made_at = map(utils.parsedate_to_datetime, (text, date))
            seconds = (until - made_at).total_seconds()
        except (TypeError, ValueError):
            logger.warning(f"Pause of a server is no time. text={text!r:.40}")
            return 0.0
    if not 0.0 <= seconds <= MAX_PAUSE_S:
        logger.warning(f"Pause of a server is out of bounds. text={text!r:.40}")
        return MAX_PAUSE_S if seconds > MAX_PAUSE_S else 0.0
    return seconds


def _idle_timeout(text: str) -> float | None:
    for word in text.split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def answer_headers(
    fields: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the fields of a server's answer that go to the caller."""
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP and name.lower() not in FOR_SYSTEM
    ]
