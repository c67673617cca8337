"""Decoding of JSON and CBOR from outside, with limits and a single error."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import contextlib
from email import errors, message
import ipaddress
import itertools
import json
import math
import re
from typing import Any

import cbor2

MAX_DEPTH = 32
"""Limit for nested lists and objects; documents have fewer than 10 levels."""
MAX_INTEGER = 2**63 - 1
MAX_INTEGER_CHARS = 20
MAX_INTEGER_BYTES = 32
"""Limit for integers in messages of peers."""
MAX_TEXT_CHARS = 200
"""Limit for names and identifiers."""
MAX_CAUSE_CHARS = 200

ESCAPED_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")
MAX_PORT = 65535
TOKEN = re.compile(r"[!-~]+")
"""Printable ASCII characters other than the space."""
BUILT_IN_TAGS = (
    *range(6),
    *range(25, 31),
    *(35, 36, 37, 43, 52, 54, 100, 256, 258, 260, 261, 1004, 43000, 55799),
)
"""CBOR tags that the library would decode to objects."""
PART_DEFECTS = (
    errors.CloseBoundaryNotFoundDefect,
    errors.InvalidMultipartContentTransferEncodingDefect,
    errors.MultipartInvariantViolationDefect,
    errors.NoBoundaryInMultipartDefect,
    errors.StartBoundaryNotFoundDefect,
)
"""Defects of the parts of a body, which the parser of a head has not got."""


POSITIVE_INTEGER_TAG = 2
ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors of code that reads data of an unexpected form."""


class DecodingError(ValueError):
    """Data from outside are malformed or exceed a limit."""


@contextlib.contextmanager
def reading(subject: str) -> Iterator[None]:
    """Turns each error of the code that reads decoded data into one.

    Raises:
        DecodingError: The data lack a field, or have one of another type.
    """
    try:
        yield
    except DecodingError:
        raise
    except ERRORS as exc:
        raise DecodingError(f"{subject}: {describe(exc)}") from exc


def describe(exc: BaseException) -> str:
    """Returns an error as text of limited length, for logs."""
    return f"{type(exc).__name__}: {exc}"[:MAX_CAUSE_CHARS]


def decode_json(data: bytes, max_bytes: int) -> Any:
    """Decodes a document.

    Raises:
        DecodingError: The document is malformed, too large or nested too deep,
            has a duplicate key, a number that is not finite or has too many
            digits, or text that cannot be encoded.
    """
    value = _parse(
        data,
        max_bytes,
        object_pairs_hook=_object,
        parse_constant=_refuse_constant,
        parse_float=_finite,
        parse_int=_bounded_integer,
    )
    if ESCAPED_SURROGATE.search(data):
        _check_texts(value)
    return value


def decode_envelope(data: bytes, max_bytes: int) -> Any:
    """Decodes a document whose parts are checked one by one.

    Raises:
        DecodingError: The document is malformed, too large or nested too deep.
    """
    return _parse(data, max_bytes)


def _parse(data: bytes, max_bytes: int, **options: Callable) -> Any:
    if len(data) > max_bytes:
        raise DecodingError(
            f"the document has {len(data)} bytes of at most {max_bytes}"
        )
    with reading("invalid JSON"):
        value = json.loads(data.decode(), **options)
    if data.count(b"[") + data.count(b"{") > MAX_DEPTH:
        _check_depth(value)
    return value


def _check_depth(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [*itertools.chain.from_iterable(map(_containers, level))]
        if not level:
            return
    raise DecodingError(f"the document is nested deeper than {MAX_DEPTH}")


def _containers(value: Any) -> list[Any]:
    items = value.values() if isinstance(value, dict) else value
    return [
        item
        for item in (items if isinstance(value, dict | list) else ())
        if isinstance(item, dict | list)
    ]


def _check_texts(value: Any) -> None:
    with reading("invalid text"):
        json.dumps(value, ensure_ascii=False).encode()


def _object(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise DecodingError("an object has a duplicate key")
    return found


def _refuse_constant(text: str) -> float:
    raise DecodingError(f"{text} is not a number")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise DecodingError(f"the number {text:.40} is too large")
    return value


def _bounded_integer(text: str) -> int:
    if len(text) > MAX_INTEGER_CHARS:
        raise DecodingError(f"the number {text:.40} has too many digits")
    return int(text)


def _replace_tagged(value: Any, is_immutable: bool) -> Any:
    """Returns ``undefined``, which no handler accepts."""
    del value, is_immutable
    return cbor2.undefined


def _decode_integer(value: Any, is_immutable: bool) -> Any:
    """Decodes an integer of more than 64 bits, as digests of rows are."""
    del is_immutable
    if isinstance(value, bytes) and len(value) <= MAX_INTEGER_BYTES:
        return int.from_bytes(value, "big")
    return cbor2.undefined


_TAG_DECODERS: Mapping[int, Callable] = {
    **dict.fromkeys(BUILT_IN_TAGS, _replace_tagged),
    POSITIVE_INTEGER_TAG: _decode_integer,
}


def decode_cbor(data: bytes) -> Any:
    """Decodes a message, in which tagged values are ``undefined``.

    Positive integers of up to 256 bits are the only ones that are decoded.

    Raises:
        DecodingError: The message is malformed or nested too deep.
    """
    try:
        return cbor2.loads(
            data,
            tag_hook=_replace_tagged,
            semantic_decoders=_TAG_DECODERS,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
        )
    except Exception as exc:
        # The library documents no common base class for its errors.
        raise DecodingError(f"invalid CBOR: {describe(exc)}") from exc


def head_defects(fields: message.Message) -> list[errors.MessageDefect]:
    """Returns the defects of the lines of an HTTP head.

    The library parses a head as a whole e-mail, so it misses the parts of a
    body whose type is ``multipart``.
    """
    return [
        item for item in fields.defects if not isinstance(item, PART_DEFECTS)
    ]


def integer(value: Any, minimum: int, maximum: int = MAX_INTEGER) -> int:
    """Returns an integer within limits.

    Raises:
        DecodingError: It is none, or out of range.
    """
    if type(value) is not int:
        raise DecodingError(f"{value!r:.40} is not an integer")
    if not minimum <= value <= maximum:
        raise DecodingError(f"an integer is not in {minimum} to {maximum}")
    return value


def number(value: Any, minimum: float, maximum: float) -> float:
    """Returns a finite number within limits.

    Raises:
        DecodingError: It is none, or out of range.
    """
    if type(value) not in (int, float):
        raise DecodingError(f"{value!r:.40} is not a number")
    # The comparison also excludes NaN.
    if not minimum <= value <= maximum:
        raise DecodingError(f"a number is not in {minimum:g} to {maximum:g}")
    return float(value)


def text(value: Any, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Returns a text of printable characters, which is not empty.

    Raises:
        DecodingError: It is no text, or has other characters.
    """
    if not isinstance(value, str):
        raise DecodingError(f"{value!r:.40} is not a text")
    if not 0 < len(value) <= max_chars or not value.isprintable():
        raise DecodingError(f"{value!r:.40} is empty, too long or unprintable")
    return value


def token(value: Any, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Returns a text that is valid as the value of a header field.

    Raises:
        DecodingError: It has other characters than printable ASCII ones, or
            has a space.
    """
    if not TOKEN.fullmatch(text(value, max_chars)):
        raise DecodingError(f"{value!r:.40} has characters that are no ASCII")
    return value


def address(value: Any) -> str:
    """Returns an address ``IP:port``; a host name would block on a lookup.

    Raises:
        DecodingError: It has no IPv4 address or no valid port.
    """
    found = ADDRESS.fullmatch(text(value))
    if not found or int(found[2]) > MAX_PORT:
        raise DecodingError(f"{value!r:.40} is not an IPv4 address with a port")
    with reading("an address"):
        ipaddress.IPv4Address(found[1])
    return value
