"""Talks to the operators' port of an entry process."""

from typing import Any

import urllib3

from savoryspar import errors

TIMEOUT_S = 5.0


class OperatorError(errors.SavorysparError):
    """The entry process did not answer its operator."""


def call(method: str, url: str, path: str) -> dict[str, Any]:
    """Calls an endpoint and returns its JSON document.

    Raises:
        OperatorError: There is no answer, or it is an error.
    """
    try:
        resp = urllib3.request(
            method, url.rstrip("/") + path, timeout=TIMEOUT_S, retries=False
        )
        if resp.status >= 400:
            raise OperatorError(
                f"{url} answered {resp.status}",
                "name the operators' port, as the entry process logged it",
            )
        return resp.json()
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise OperatorError(
            f"{url} does not answer: {exc}",
            "name the operators' port, as the entry process logged it",
        ) from exc
