"""Reads and checks JSON bodies."""

import json
from typing import Any

import eventlet

from savoryspar.http import problems


def read_json(
    environ: dict[str, Any], max_bytes: int, timeout_s: float
) -> dict[str, Any]:
    """Reads the body as one JSON object without duplicate keys.

    Raises:
        RunError: The body is missing, too large, too slow or not valid.
    """
    length = _content_length(environ, max_bytes)
    raw = _read(environ, length, timeout_s)
    try:
        body = json.loads(
            raw.decode("utf-8"),
            object_pairs_hook=_unique_pairs,
            parse_constant=_refuse_constant,
        )
    except UnicodeDecodeError as exc:
        raise _bad(f"the body is not UTF-8 at byte {exc.start}") from exc
    except RecursionError as exc:
        raise _bad("the body is nested too deeply") from exc
    except ValueError as exc:
        raise _bad(f"the body is not valid JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise _bad(f"the body is a JSON {type(body).__name__}")
    return body


def _content_length(environ: dict[str, Any], max_bytes: int) -> int:
    text = environ.get("CONTENT_LENGTH", "")
    if not text.isascii() or not text.isdigit():
        raise problems.new_problem(
            "length_required",
            411,
            "the request has no Content-Length",
            "send the length of the body",
        )
    if int(text) > max_bytes:
        raise problems.new_problem(
            "body_too_large",
            413,
            f"the body has {text} bytes, {max_bytes} are allowed",
            "send less",
        )
    return int(text)


def _read(environ: dict[str, Any], length: int, timeout_s: float) -> bytes:
    timer = eventlet.Timeout(timeout_s)
    try:
        raw = environ["wsgi.input"].read(length)
    except eventlet.Timeout as exc:
        if exc is not timer:
            raise
        raise problems.new_problem(
            "slow_caller",
            408,
            f"the body did not arrive within {timeout_s:g} s",
            "send it faster",
        ) from None
    except (TimeoutError, OSError) as exc:
        raise _bad(f"the body could not be read: {exc}") from exc
    finally:
        timer.cancel()
    if len(raw) != length:
        raise _bad(f"the body ended after {len(raw)} of {length} bytes")
    return raw


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    merged = dict(pairs)
    if len(merged) != len(pairs):
        keys = [key for key, _ in pairs]
        twice = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"the key {twice!r} stands twice in one object")
    return merged


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _bad(message: str) -> Exception:
    return problems.new_problem(
        "bad_request", 400, message, "send one JSON object in UTF-8"
    )


def check_chat(body: dict[str, Any]) -> None:
    """Checks the members of a chat request.

    Raises:
        RunError: A member has the wrong type.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _wrong("messages", "a list with at least one message")
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(
            message.get("content"), str
        ):
            raise _wrong(f"messages[{number}]", "a role and a text content")
    if not isinstance(body.get("model"), str):
        raise _wrong("model", "the name of a pipeline")
    if not isinstance(body.get("stream", False), bool):
        raise _wrong("stream", "true or false")
    check_max_tokens(body)


def check_max_tokens(body: dict[str, Any]) -> None:
    """Checks ``max_tokens``; raises ``RunError`` when it is not usable."""
    value = body.get("max_tokens", 1)
    if type(value) is not int or not 1 <= value <= 100_000:
        raise _wrong("max_tokens", "a whole number from 1 to 100000")


def _wrong(member: str, expected: str) -> Exception:
    return problems.new_problem(
        "bad_request",
        422,
        f"the member {member!r} is missing or has the wrong type",
        f"give it {expected}",
    )
