"""Requests that an operator describes instead of sending them."""

from savoryspar import backends, decoding
from savoryspar.platform import headers

MAX_QUESTION_BYTES = 16384
"""Size of a question; the default limit of a caller's header fields."""
FIELDS = {
    "host": "Host",
    "key": headers.KEY,
    "model": headers.MODEL,
    "pieces": headers.PIECES,
    "prompt_parts": headers.PROMPT_PARTS,
    "tokens": headers.TOKENS,
    "deadline_ms": headers.DEADLINE,
    "attempt_id": headers.ATTEMPT_ID,
}
"""Header field of a caller's request by member of the question."""
MEMBERS = frozenset({"method", "path", *FIELDS})


def decode_question(data: bytes) -> backends.CallerRequest:
    """Decodes a described request; its parts have the callers' formats.

    Args:
        data: A JSON object of texts; ``method``, ``host`` and ``path`` are
            required.

    Raises:
        BadRequestError: It is malformed. The message does not show the key.
    """
    try:
        question = decoding.decode_json(data, MAX_QUESTION_BYTES)
    except decoding.DecodingError as exc:
        raise _malformed("it is no JSON object within the limits") from exc
    if not isinstance(question, dict) or not all(
        isinstance(value, str) for value in question.values()
    ):
        raise _malformed("it is no JSON object of texts")
    if not question.keys() <= MEMBERS:
        raise _malformed("it has an unknown member")
    for name in ("method", "host", "path"):
        if not question.get(name):
            raise _malformed(f"it has no {name}")
    fields = [
        (field, question[name])
        for name, field in FIELDS.items()
        if name in question
    ]
    return headers.decode_caller_request(
        question["method"], question["path"], fields, b""
    )


def _malformed(cause: str) -> backends.BadRequestError:
    return backends.BadRequestError(
        f"the question is malformed: {cause}",
        "use `savoryspar where` of the version of the VM",
    )
