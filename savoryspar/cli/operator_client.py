"""HTTP client of the operators' port of an entry process."""

from typing import Any

import urllib3

from savoryspar import errors

TIMEOUT_S = 5.0


class OperatorError(errors.SavorysparError):
    """The operators' port did not answer, or answered with an error."""


def call(method: str, url: str, path: str) -> dict[str, Any]:
    """Calls an endpoint and returns the JSON document of its response.

    Raises:
        OperatorError: The call failed, or the response is an error.
    """
    try:
        resp = urllib3.request(
            method, url.rstrip("/") + path, timeout=TIMEOUT_S, retries=False
        )
        if resp.status >= 400:
            raise OperatorError(
                f"{url} answered with HTTP status {resp.status}",
                "use the operators' port that the entry process logs at start",
            )
        return resp.json()
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise OperatorError(
            f"{url} is unreachable: {exc}",
            "use the operators' port that the entry process logs at start",
        ) from exc
