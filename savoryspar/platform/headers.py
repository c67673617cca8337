"""Header fields of callers' requests and of backend servers' answers."""

from collections.abc import Iterable, Sequence
from email import utils
import math
import re

from savoryspar import backends, decoding, fleet, log, ratelimits, stages

logger = log.new_logger("platform")

ATTEMPT_ID = "Savoryspar-Attempt-Id"
COLD = "Savoryspar-Cold-Ms"
DEADLINE = "Savoryspar-Deadline-Ms"
EXPECT_SERVER = "Savoryspar-Expect-Instance"
INPUTS = "Savoryspar-Inputs"
KEY = "Savoryspar-Key"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
LOAD = "Savoryspar-Load"
MODEL = "Savoryspar-Model"
NOT_RUN = "Savoryspar-Not-Run"
PIECES = "Savoryspar-Pieces"
PIECE_KEY = "Savoryspar-Piece-Key"
PROMPT_PARTS = "Savoryspar-Prefix-Hash"
RETRY_AFTER = "Retry-After"
SEAL = "Savoryspar-Seal"
STORE_ERA = "Store-Era"
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
"""Hop-by-hop fields, and fields that the HTTP library sets itself."""

SYSTEM_REQUEST_FIELDS = frozenset(
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
        # In a request, this field would come from the caller, not a server.
        NOT_RUN,
    )
)
"""Fields of a caller's request that are never forwarded unchanged."""


INTERNAL_ANSWER_FIELDS = frozenset(
    name.lower() for name in (COLD, NOT_RUN, LOAD, LEAVING, LIMIT, RETRY_AFTER)
)
"""Answer fields that are for the entry VM only. The entry VM decides when a
caller may retry, and sends its own ``Retry-After``."""

MAX_TOKENS = 1 << 24
"""Maximum tokens of a prompt or a part; engines hold fewer than a million."""
MAX_PAUSE_S = 60.0
"""Maximum pause that one answer of a server may request. After the pause, the
server gets calls again and may request another one."""

LOAD_FIGURES = 3
"""Figures of the load that every server of any platform states."""
MAX_PACE = 1000.0
"""Largest pace that is used; a higher one would be a malformed figure."""

DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)
WHOLE = re.compile(r"\d{1,9}", re.ASCII)
MAX_SHOWN_CHARS = 40
"""Characters of a malformed field that are kept for the log."""


def decode_caller_request(
    method: str, target: str, fields: Sequence[tuple[str, str]], body: bytes
) -> backends.CallerRequest:
    """Decodes a caller's request.

    Raises:
        BadRequestError: A header field is malformed.
    """
    found = {name.lower(): value.strip() for name, value in fields}

    def get(name: str) -> str:
        return found.get(name.lower(), "")

    try:
        deadline_s = _deadline_s(get(DEADLINE)) if get(DEADLINE) else None
        prompt_tokens, output_tokens = _parse_token_counts(get(TOKENS), 2)
        pieces = tuple(_parse_counts(get(PIECES), stages.MAX_PIECES))
        parts = [
            _parse_prompt_part(text)
            for text in get(PROMPT_PARTS).split(",")
            if text
        ]
        resume_after = (
            _parse_event_id(get(RESUME_AFTER)) if get(RESUME_AFTER) else None
        )
    except ValueError as exc:
        raise backends.BadRequestError(
            "a header field of the request is malformed:"
            f" {decoding.describe(exc)}",
            "send the fields in the documented format",
        ) from exc
    return backends.CallerRequest(
        attempt_id=get(ATTEMPT_ID),
        method=method,
        target=target,
        host=get("Host").lower().partition(":")[0],
        fields=_forwarded_fields(fields, get("Connection")),
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


def _forwarded_fields(
    fields: Sequence[tuple[str, str]], connection: str
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end fields that are forwarded to a backend server."""
    excluded = (
        HOP_BY_HOP | SYSTEM_REQUEST_FIELDS | _connection_options(connection)
    )
    return tuple(
        (name, value) for name, value in fields if name.lower() not in excluded
    )


def _connection_options(value: str) -> frozenset[str]:
    return frozenset(item.strip().lower() for item in value.split(","))


def _deadline_s(text: str) -> float:
    deadline_s = float(text) / 1000.0
    if not 0.0 <= deadline_s < math.inf:
        raise ValueError(f"{text!r:.40} is not a valid time")
    return deadline_s


def _parse_event_id(text: str) -> int:
    return decoding.integer(int(text), -decoding.MAX_INTEGER)


def _parse_counts(text: str, maximum: int) -> list[int]:
    """Parses a comma-separated list of numbers from 0 to a maximum.

    Raises:
        ValueError: A number is malformed or out of range. An object is created
            for each unit counted, so a large count would exhaust the memory.
    """
    numbers = [int(item) for item in text.split(",") if item.strip()]
    if not all(0 <= number <= maximum for number in numbers):
        raise ValueError(f"{text!r:.40} has a number outside 0 to {maximum}")
    return numbers


def _parse_token_counts(text: str, count: int) -> tuple[int, ...]:
    numbers = _parse_counts(text, MAX_TOKENS)
    return tuple((numbers + [0] * count)[:count])


def _parse_prompt_part(text: str) -> backends.PromptPart:
    identifier, _, tokens = text.strip().partition(":")
    return backends.PromptPart(
        identifier, *_parse_counts(tokens or "0", MAX_TOKENS)
    )


def encode_backend_headers(
    req: backends.CallerRequest, send: backends.BackendSend
) -> list[tuple[str, str]]:
    """Returns the request fields of one send to a backend server."""
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
    """Returns the request fields of a call that runs or frees pieces."""
    return [
        ("Content-Type", "application/json"),
        (EXPECT_SERVER, server),
    ]


def decode_answer_facts(
    status: int, fields: Iterable[tuple[str, str]]
) -> backends.AnswerFacts:
    """Decodes the status and the header fields of a backend server's answer."""
    fields = [*fields]
    found = {name.lower(): value for name, value in fields}
    load, pace = _parse_load(found.get(LOAD.lower(), ""))
    limit_per_s, invalid_limit = _limit_per_s(fields)
    return backends.AnswerFacts(
        attempt_id=found.get(ATTEMPT_ID.lower(), ""),
        # Status 421 (Misdirected Request) means that another server has the
        # address, even without the not-run field.
        has_not_run=NOT_RUN.lower() in found or status == 421,
        is_misdirected=status == 421,
        has_digest=SEAL.lower() in found,
        is_encoded="content-encoding" in found,
        is_closing="close" in found.get("connection", "").lower(),
        idle_timeout_s=_idle_timeout_s(found.get("keep-alive", "")),
        load=load,
        is_leaving=_is_set(found.get(LEAVING.lower(), "")),
        pause_s=_pause_s(fields) if status == 503 else 0.0,
        limit_per_s=limit_per_s,
        invalid_limit=invalid_limit,
        cold_left_s=_cold_left_s(found.get(COLD.lower(), "")),
        pace=pace,
    )


def _cold_left_s(value: str) -> float:
    """Returns the rest of a cold phase, 0 if there is none or it is invalid."""
    text = value.strip()
    if not DECIMAL.fullmatch(text):
        return 0.0
    left_s = float(text) / 1000.0
    return left_s if left_s <= fleet.MAX_COLD_S else 0.0


def _parse_load(text: str) -> tuple[int, float | None]:
    """Returns the load, -1 if unknown, and the pace, None if not stated.

    Args:
        text: Running requests, waiting requests and slots; on some platforms
            also the time that work takes, in percent of the usual one. Figures
            after these are ignored.
    """
    figures = [figure.strip() for figure in text.split(",")]
    if len(figures) < LOAD_FIGURES:
        return -1, None
    load = sum(map(_parse_whole, figures[:2]))
    percent = figures[LOAD_FIGURES] if len(figures) > LOAD_FIGURES else ""
    pace = float(percent) / 100.0 if DECIMAL.fullmatch(percent) else 0.0
    return load, pace if 0.0 < pace <= MAX_PACE else None


def _is_set(value: str) -> bool:
    return value.strip().lower() not in ("", "0", "false")


def _limit_per_s(
    fields: Iterable[tuple[str, str]],
) -> tuple[float | None, str]:
    """Returns the lowest valid rate limit, and a malformed one if none is."""
    texts = [
        value.strip() for name, value in fields if name.lower() == LIMIT.lower()
    ]
    valid = [
        float(text)
        for text in texts
        if DECIMAL.fullmatch(text) and float(text) <= ratelimits.MAX_LIMIT_PER_S
    ]
    if valid or not texts:
        return min(valid, default=None), ""
    return None, f"{texts[0][:MAX_SHOWN_CHARS]!r}"


def _pause_s(fields: Iterable[tuple[str, str]]) -> float:
    """Returns the longest valid pause that an answer requests, or 0."""
    found = [(name.lower(), value.strip()) for name, value in fields]
    date = next((value for name, value in found if name == "date"), "")
    return max(
        (
            _parse_retry_after(value, date)
            for name, value in found
            if name == RETRY_AFTER.lower()
        ),
        default=0.0,
    )


def _parse_retry_after(text: str, date: str) -> float:
    """Returns a pause in seconds, 0 if the text is invalid.

    Args:
        text: Seconds with or without a fraction, or an HTTP date.
        date: ``Date`` field of the answer, from which a date is counted.
    """
    try:
        seconds = float(text)
    except ValueError:
        try:
            until, sent_at = map(utils.parsedate_to_datetime, (text, date))
            seconds = (until - sent_at).total_seconds()
        except (TypeError, ValueError):
            logger.warning(f"Pause of a server is invalid. text={text!r:.40}")
            return 0.0
    if not 0.0 <= seconds <= MAX_PAUSE_S:
        logger.warning(f"Pause of a server is out of range. text={text!r:.40}")
        return MAX_PAUSE_S if seconds > MAX_PAUSE_S else 0.0
    return seconds


def _idle_timeout_s(text: str) -> float | None:
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and WHOLE.fullmatch(value):
            return float(value)
    return None


def _parse_whole(text: str) -> int:
    """Returns a whole number, 0 if the text is none."""
    return int(text) if WHOLE.fullmatch(text.strip()) else 0


def forwarded_headers(
    fields: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the fields of a server's answer to forward to the caller."""
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in INTERNAL_ANSWER_FIELDS
    ]
