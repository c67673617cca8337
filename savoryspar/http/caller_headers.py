"""Reads the deadline and rank that a caller requests by headers.

The headers can only shorten the deadline and lower the rank that the sheet
sets.
"""

from typing import Any

from savoryspar import sheet
from savoryspar.http import problems


def lowered_deadline(environ: dict[str, Any], deadline_ms: int) -> int:
    """Returns the shorter of the work's deadline and the requested one, in ms.

    Raises:
        RunError: ``X-Deadline-Ms`` is not an integer above 0.
    """
    text = environ.get("HTTP_X_DEADLINE_MS", "")
    if not text:
        return deadline_ms
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise problems.new_problem(
            "bad_request",
            400,
            f"X-Deadline-Ms has the invalid value {text!r}",
            "set it to an integer number of milliseconds above 0",
        )
    return min(deadline_ms, int(text))


def lowered_rank(environ: dict[str, Any], rank: str) -> str:
    """Returns the less urgent of the work's rank and the requested one.

    Raises:
        RunError: ``X-Rank`` is not a rank.
    """
    requested = environ.get("HTTP_X_RANK", rank)
    if requested not in sheet.RANKS:
        raise problems.new_problem(
            "bad_request",
            400,
            f"X-Rank has the unknown value {requested!r}",
            "set it to one of " + ", ".join(sheet.RANKS),
        )
    return max(rank, requested, key=sheet.RANKS.index)
