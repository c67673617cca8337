"""A request of a caller together with its WSGI response callback."""

import json
from typing import Any

from savoryspar.http import problems


class Exchange:
    """One request and its response callback.

    Attributes:
        environ: The WSGI environment.
        start_response: The WSGI response callback.
        request_id: ID of the request, sent back in ``X-Request-Id``.
        path: Path of the request.
    """

    __slots__ = ("environ", "path", "request_id", "start_response")

    def __init__(
        self,
        environ: dict[str, Any],
        start_response: problems.StartResponse,
        request_id: str,
    ):
        self.environ = environ
        self.start_response = start_response
        self.request_id = request_id
        self.path = environ.get("PATH_INFO", "")

    def respond_json(
        self, document: dict[str, Any], status: str = "200 OK"
    ) -> list[bytes]:
        """Starts the response and returns the JSON document as its body."""
        self.start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("X-Request-Id", self.request_id),
            ],
        )
        return [json.dumps(document).encode()]
