"""One request of a caller and the means to answer it."""

import json
from typing import Any

from savoryspar.http import problems


class Exchange:
    """One request and the means to answer it."""

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

    def answer_json(
        self, document: dict[str, Any], status: str = "200 OK"
    ) -> list[bytes]:
        """Answers with a JSON document."""
        self.start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("X-Request-Id", self.request_id),
            ],
        )
        return [json.dumps(document).encode()]
