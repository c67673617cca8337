"""Problem documents (RFC 9457)."""

from collections.abc import Callable, Iterable, Mapping
import json
import math

from savoryspar import pipelines

StartResponse = Callable[[str, list[tuple[str, str]]], object]

TYPE_PREFIX = "urn:savoryspar:problem:"
TITLES = {
    "backend_failed": "A backend server failed",
    "bad_request": "The request is not valid",
    "body_too_large": "The body is too large",
    "deadline": "The deadline has passed",
    "draining": "The entry VM is leaving",
    "length_required": "The length is missing",
    "no_backend_server": "No backend server can take the request",
    "not_found": "There is no such resource",
    "order_unknown": "It is not known whether the order ran",
    "overloaded": "The request cannot be served in time",
    "internal": "The request failed",
    "refused_fingerprint": "The request crashed backend servers",
    "result_evicted": "The order ran, its result is no longer kept",
    "slow_caller": "The request came too slowly",
    "ticket_expired": "The ticket has expired",
    "ticket_mismatch": "The ticket is not for this order",
    "ticket_required": "The request needs a ticket",
    "ticket_unused": "The order has not run",
    "unauthorized": "The API key is not known",
}
REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def new_problem(
    kind: str,
    status: int,
    message: str,
    remedy: str,
    run_state: pipelines.RunState = pipelines.RunState.NOT_RUN,
    retry_after_s: float | None = None,
) -> pipelines.RunError:
    """Returns an error for a response with a problem document."""
    return pipelines.RunError(
        kind, status, message, remedy, run_state, retry_after_s
    )


def document(exc: pipelines.RunError, request_id: str) -> dict[str, object]:
    """Returns the members of the problem document.

    The member ``error`` repeats the message in the format of OpenAI errors, for
    OpenAI clients.
    """
    return {
        "type": TYPE_PREFIX + exc.kind,
        "title": TITLES[exc.kind],
        "status": exc.status,
        "detail": str(exc),
        "run_state": exc.run_state.value,
        "request_id": request_id,
        "error": {"message": str(exc), "type": exc.kind, "code": exc.kind},
    }


def respond(
    start_response: StartResponse,
    exc: pipelines.RunError,
    request_id: str,
    extra_headers: Iterable[tuple[str, str]] = (),
    extra_members: Mapping[str, object] = {},
) -> list[bytes]:
    """Responds with a problem document.

    Args:
        start_response: The WSGI response callback.
        exc: The problem.
        request_id: ID of the request.
        extra_headers: Further header fields.
        extra_members: Further members of the problem document.
    """
    headers = [("Content-Type", "application/problem+json"), *extra_headers]
    if exc.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(exc.retry_after_s))))
    start_response(f"{exc.status} {REASONS[exc.status]}", headers)
    return [json.dumps({**document(exc, request_id), **extra_members}).encode()]
