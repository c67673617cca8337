"""The endpoint of the metrics listener that answers ``savoryspar where``."""

from collections.abc import Callable, Iterable
import json
from typing import Any

import eventlet

from savoryspar import backends, platform
from savoryspar.gateway import app, explanation, model

PATH = "/where"
READ_TIMEOUT_S = 2.0
"""Time for the body of a question, which fits into one packet or a few."""


class WhereEndpoint:
    """Reads a question, and answers with a JSON document.

    The question holds a key, so it is neither logged nor part of a URL.
    """

    __slots__ = ("_clock", "_explainer")

    def __init__(
        self, explainer: explanation.Explainer, clock: Callable[[], float]
    ):
        self._explainer = explainer
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: app.StartResponse
    ) -> Iterable[bytes]:
        """Answers one question (PEP 3333)."""
        try:
            req = platform.decode_question(_read_question(environ))
            answer = self._explainer.explain(req, self._clock())
            status = "200 OK"
        except backends.BadRequestError as exc:
            status, answer = "400 Bad Request", {"error": str(exc)}
        except model.GatewayError as exc:
            status, answer = exc.status, {"error": str(exc)}
        start_response(
            status,
            [("Content-Type", "application/json"), ("Connection", "close")],
        )
        return [json.dumps(answer).encode()]


def _read_question(environ: dict[str, Any]) -> bytes:
    """Returns the body of a question.

    Raises:
        GatewayError: The method is not POST, or the body has no length, is
            too long, or does not arrive in time.
    """
    if environ["REQUEST_METHOD"] != "POST":
        raise _error("405 Method Not Allowed", "questions are sent with POST")
    text = environ.get("CONTENT_LENGTH") or ""
    if not (text.isascii() and text.isdigit()):
        raise _error("411 Length Required", "the question has no length")
    length = int(text)
    if length > platform.MAX_QUESTION_BYTES:
        raise _error(
            "413 Content Too Large",
            f"the limit is {platform.MAX_QUESTION_BYTES} bytes",
        )
    data = None
    with eventlet.Timeout(READ_TIMEOUT_S, False):
        data = environ["wsgi.input"].read(length)
    if data is None or len(data) < length:
        raise _error("408 Request Timeout", "the question is not complete")
    return data


def _error(status: str, message: str) -> model.GatewayError:
    return model.GatewayError(
        status, "bad_question", message, "use `savoryspar where`"
    )


def new_where_endpoint(
    explainer: explanation.Explainer, clock: Callable[[], float]
) -> WhereEndpoint:
    """Returns the endpoint.

    Args:
        explainer: Answers the questions.
        clock: Monotonic time in seconds.
    """
    return WhereEndpoint(explainer, clock)
