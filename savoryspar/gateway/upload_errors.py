"""Responses to requests whose bodies were not read, and their log lines."""

import functools
import math

from savoryspar import http, log
from savoryspar.gateway import model

LOG_INTERVAL_S = 10.0
"""Shortest time between two lines about the budget for bodies."""


@functools.singledispatch
def to_gateway_error(exc: http.UploadError) -> model.GatewayError:
    """Returns the error to send for a body that was not read.

    The rest of the body follows on the connection, which is therefore closed.
    """
    return _closing("400 Bad Request", "bad_body", exc)


@to_gateway_error.register
def _(exc: http.BodyTooLongError) -> model.GatewayError:
    return _closing("413 Content Too Large", "body_too_long", exc)


@to_gateway_error.register
def _(exc: http.UploadStalledError) -> model.GatewayError:
    return _closing("408 Request Timeout", "upload_stalled", exc)


@to_gateway_error.register
def _(exc: http.UploadLateError) -> model.GatewayError:
    return _closing("408 Request Timeout", "upload_late", exc)


@to_gateway_error.register
def _(exc: http.UploadRefusedError) -> model.GatewayError:
    error = model.refusal("uploads_full", exc.message, http.RETRY_S)
    error.is_closing = True
    return error


def _closing(
    status: str, reason: str, exc: http.UploadError
) -> model.GatewayError:
    return model.GatewayError(
        status, reason, exc.message, exc.remedy, is_closing=True
    )


class BudgetLog:
    """Logs that the budget for bodies refuses some or gives them up."""

    __slots__ = ("_budget", "_events", "_logged", "_logged_at")

    def __init__(self, budget: http.UploadBudget, events: log.EventLog):
        self._budget = budget
        self._events = events
        self._logged = (0, 0)
        self._logged_at = -math.inf

    def update(self, now: float) -> None:
        """Logs the numbers since the last line, at most every 10 s."""
        budget = self._budget
        counts = (budget.refused, budget.stalled)
        if counts == self._logged or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._events.state_change(
            "uploads refused",
            now,
            refused=counts[0] - self._logged[0],
            stalled=counts[1] - self._logged[1],
            held_bytes=budget.held,
            limit_bytes=budget.limit,
        )
        self._logged, self._logged_at = counts, now
