"""Runs long computations on sheets outside the event loop."""

from collections.abc import Callable
from typing import Any

from eventlet import tpool

MAX_INLINE_ROWS = 1_000
"""More rows would block the event loop for tens of milliseconds."""


def run(rows: int, function: Callable[..., Any], *arguments: Any) -> Any:
    """Calls the function, in a native thread if there are many rows.

    A full sheet of 36,000 workspaces takes more than a second to build. In
    the event loop, the build would delay heartbeats by as much, and peers
    would declare this process dead.

    Args:
        rows: Number of rows that the function processes.
        function: A pure computation, without green I/O or shared state.
        arguments: Positional arguments of the function.
    """
    if rows <= MAX_INLINE_ROWS:
        return function(*arguments)
    return tpool.execute(function, *arguments)
