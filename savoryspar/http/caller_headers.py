"""Reads what a caller asks for by headers: less than the sheet, never more."""

from typing import Any

from savoryspar import sheet
from savoryspar.http import problems


def lowered_deadline(environ: dict[str, Any], deadline_ms: int) -> int:
    """Returns the shorter of the work's deadline and the one asked for, in ms.

    Raises:
        RunError: ``X-Deadline-Ms`` is not a whole number above 0.
    """
    text = environ.get("HTTP_X_DEADLINE_MS", "")
    if not text:
        return deadline_ms
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise problems.new_problem(
            "bad_request",
            400,
            f"X-Deadline-Ms has the value {text!r}",
            "give it a whole number of milliseconds above 0",
        )
    return min(deadline_ms, int(text))


def lowered_rank(environ: dict[str, Any], rank: str) -> str:
    """Returns the less urgent of the work's rank and the one asked for.

    Raises:
        RunError: ``X-Rank`` is not a rank.
    """
    asked = environ.get("HTTP_X_RANK", rank)
    if asked not in sheet.RANKS:
        raise problems.new_problem(
            "bad_request",
            400,
            f"X-Rank has the value {asked!r}",
            "give it one of " + ", ".join(sheet.RANKS),
        )
    return max(rank, asked, key=sheet.RANKS.index)
