"""Runs long computations on sheets beside the event loop."""

from collections.abc import Callable
from typing import Any

from eventlet import tpool

MAX_INLINE_ROWS = 1_000
"""More rows block the loop for tens of milliseconds."""


def run(rows: int, function: Callable[..., Any], *arguments: Any) -> Any:
    """Calls the function, in a native thread when there are many rows.

    A whole sheet of 36,000 workspaces takes more than a second to build. In
    the event loop it would stop heartbeats for as long, and peers would
    declare this process dead.

    Args:
        rows: Number of rows that the function goes through.
        function: Computes only: no green input or output, no shared state.
        arguments: Its arguments.
    """
    if rows <= MAX_INLINE_ROWS:
        return function(*arguments)
    return tpool.execute(function, *arguments)
