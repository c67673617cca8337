"""Bodies of calls that run pieces of stages and free their results."""

from collections.abc import Mapping, Sequence
import json
import re
from typing import Any

from savoryspar import decoding, fleet, stages

STAGE_RUN_PATH = "/-/stage-run"
STAGE_FREE_PATH = "/-/stage-free"
MAX_RESULTS_BYTES = 1 << 20
"""A result takes less than 300 bytes, and a batch has fewer than 100."""
HANDLE = re.compile(r"[!-+\--~]{1,200}")
"""Printable characters except blanks and commas."""

FAILURES_BY_REASON = {
    "late": stages.Failure.LATE,
    "gone": stages.Failure.INPUT_GONE,
    "room": stages.Failure.NO_ROOM,
    "error": stages.Failure.FAILED,
}


def encode_run(pieces: Sequence[stages.Piece], now: float) -> bytes:
    """Returns the body of a call that runs the pieces in the given order."""
    return json.dumps(
        {"entries": [_entry(piece, now) for piece in pieces]}
    ).encode()


def _entry(piece: stages.Piece, now: float) -> dict[str, object]:
    entry: dict[str, object] = {
        "id": piece.request_id,
        "phase": piece.stage,
        "segment": piece.number,
        "left-ms": max(1, int((piece.deadline_at - now) * 1000)),
    }
    if piece.inputs:
        entry["inputs"] = list(piece.inputs)
    else:
        entry["key"] = piece.key
    return entry


def decode_results(body: bytes, count: int) -> list[str | stages.Failure]:
    """Returns the result handle or the failure of each piece of a call.

    Args:
        body: Body of the answer.
        count: Number of pieces that the call had.

    Raises:
        DocumentError: The answer is malformed or has another number of results.
    """
    try:
        document = decoding.decode_json(body, MAX_RESULTS_BYTES)
        with decoding.reading("a field"):
            results = [_result(entry) for entry in document["entries"]]
    except decoding.DecodingError as exc:
        raise fleet.DocumentError(
            f"the answer to a stage call cannot be decoded: {exc}",
            "the pieces are run again on another server",
        ) from exc
    if len(results) != count:
        raise fleet.DocumentError(
            f"the answer to a stage call has {len(results)} results"
            f" for {count} pieces",
            "the pieces are run again on another server",
        )
    return results


def result_handles(body: bytes) -> list[str]:
    """Returns the handles in the body of an answer; none if it is malformed.

    Handles are unique, so they identify the answer.
    """
    try:
        document = decoding.decode_json(body, MAX_RESULTS_BYTES)
        with decoding.reading("a field"):
            return [
                entry["handle"]
                for entry in document["entries"]
                if isinstance(entry.get("handle"), str)
            ]
    except decoding.DecodingError:
        # The decoder of the results reports what is malformed.
        return []


def _result(entry: Mapping[str, Any]) -> str | stages.Failure:
    if "handle" in entry:
        return _check_handle(entry["handle"])
    return FAILURES_BY_REASON.get(entry.get("reason"), stages.Failure.FAILED)


def _check_handle(value: Any) -> str:
    """Returns a result handle that is valid in a list in a header field.

    Raises:
        ValueError: The value would break the list or the header field.
    """
    if not isinstance(value, str) or not HANDLE.fullmatch(value):
        raise ValueError(f"{value!r:.80} is not a valid handle")
    return value


def producer_address(handle: str) -> str:
    """Returns the ``IP:port`` of the server that stores a result."""
    return handle.partition("/")[0]


def encode_free(handles: Sequence[str]) -> bytes:
    """Returns the body of a call that frees results."""
    return json.dumps({"handles": [*handles]}).encode()
