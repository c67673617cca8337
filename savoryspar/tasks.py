"""Green threads for tasks that last as long as the process."""

from collections.abc import Callable
import time
import traceback
from typing import Any

import eventlet

from savoryspar import decoding, log

RESTART_DELAY_S = 0.5
"""A restarted task acts again within a fraction of the 2.5 s in which a change
of the store must be in force."""
LOG_INTERVAL_S = 10.0
"""Shortest time between two log lines about the same failure of a task."""


def spawn_task(
    name: str, run: Callable[..., None], *args: Any
) -> eventlet.greenthread.GreenThread:
    """Runs a function in a green thread, again after each error.

    Args:
        name: Name of the task in log lines.
        run: The function; the task ends when it returns.
        args: Its arguments.
    """
    return eventlet.spawn(_keep_running, name, run, args)


def _keep_running(
    name: str, run: Callable[..., None], args: tuple[Any, ...]
) -> None:
    logger = log.new_logger("entry")
    failure, logged_at = "", float("-inf")
    while True:
        try:
            run(*args)
            return
        except (Exception, eventlet.Timeout) as exc:
            # Without the task, the process would serve by what it last knew.
            last, failure = failure, f"{decoding.describe(exc)} {_place(exc)}"
            now = time.monotonic()
            if failure != last or now - logged_at >= LOG_INTERVAL_S:
                logged_at = now
                logger.error(f"Task failed; it is restarted. {name} {failure}")
        eventlet.sleep(RESTART_DELAY_S)


def _place(exc: BaseException) -> str:
    """Returns the function and the line that raised an error."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"in {frames[-1].name}:{frames[-1].lineno}" if frames else ""
