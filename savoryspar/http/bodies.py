"""Reads and validates JSON request bodies."""

import json
import time
from typing import Any

import eventlet

from savoryspar.http import problems


def read_json(
    environ: dict[str, Any], max_bytes: int, timeout_s: float
) -> dict[str, Any]:
    """Reads the body as one JSON object without duplicate keys.

    Args:
        environ: The WSGI environment.
        max_bytes: Largest body accepted.
        timeout_s: Longest time for the whole body.

    Raises:
        RunError: The body is missing, too large, too slow or invalid.
    """
    length = _content_length(environ, max_bytes)
    raw = _read(environ, length, timeout_s)
    try:
        body = json.loads(
            raw.decode("utf-8"),
            object_pairs_hook=_unique_pairs,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        raise _body_error(f"the body is not UTF-8 at byte {exc.start}") from exc
    except RecursionError as exc:
        raise _body_error("the body is nested too deeply") from exc
    except ValueError as exc:
        raise _body_error(f"the body is not valid JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise _body_error(
            f"the body is not a JSON object but a {type(body).__name__}"
        )
    return body


def _content_length(environ: dict[str, Any], max_bytes: int) -> int:
    text = environ.get("CONTENT_LENGTH", "")
    if not text.isascii() or not text.isdigit():
        raise problems.new_problem(
            "length_required",
            411,
            "the request has no Content-Length",
            "send the length of the body in Content-Length",
        )
    if int(text) > max_bytes:
        raise problems.new_problem(
            "body_too_large",
            413,
            f"the body has {text} bytes, but the limit is {max_bytes} bytes",
            "send a smaller body",
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
            "send the body faster",
        ) from None
    except (TimeoutError, OSError) as exc:
        raise _body_error(f"the body could not be read: {exc}") from exc
    finally:
        timer.cancel()
    sock = environ["eventlet.input"].get_socket()
    if len(raw) != length and sock.is_given_up:
        raise problems.new_problem(
            "slow_caller",
            408,
            "the body came too slowly, and others need its connection",
            "send the whole body without pauses",
        )
    sock.complete_request(time.monotonic())
    if len(raw) != length:
        raise _body_error(f"the body ended after {len(raw)} of {length} bytes")
    return raw


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    merged = dict(pairs)
    if len(merged) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"the key {duplicate!r} is repeated in one object")
    return merged


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _body_error(message: str) -> Exception:
    return problems.new_problem(
        "bad_request", 400, message, "send one JSON object in UTF-8"
    )


def check_chat(body: dict[str, Any]) -> None:
    """Validates the members of a chat completion request.

    Raises:
        RunError: A member is missing or has the wrong type.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _member_error("messages", "a list with at least one message")
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(
            message.get("content"), str
        ):
            raise _member_error(
                f"messages[{number}]", "an object with a role and text content"
            )
    if not isinstance(body.get("model"), str):
        raise _member_error("model", "the name of a pipeline")
    if not isinstance(body.get("stream", False), bool):
        raise _member_error("stream", "true or false")
    check_max_tokens(body)


def check_max_tokens(body: dict[str, Any]) -> None:
    """Validates ``max_tokens``.

    Raises:
        RunError: It is not an integer from 1 to 100000.
    """
    value = body.get("max_tokens", 1)
    if type(value) is not int or not 1 <= value <= 100_000:
        raise _member_error("max_tokens", "an integer from 1 to 100000")


def _member_error(member: str, expected: str) -> Exception:
    return problems.new_problem(
        "bad_request",
        422,
        f"the member {member!r} is missing or has the wrong type",
        f"set it to {expected}",
    )
