"""Flows of requests: one class of work at one rate."""

from collections.abc import Iterator
import json
import random
from typing import Any

from savoryspar.bench import load_client, tally

NUMBER_PLACEHOLDER = b"{number}"


class Flow:
    """Requests of one class of work at one rate.

    Attributes:
        work: Class of work under which the answers are counted.
        path: URL path that the requests are posted to.
        key: API key of the workspace.
        body: JSON body; ``{number}`` in it is replaced with the number
            of the request.
        rate_per_s: Mean arrivals per second.
        is_poisson: Whether arrivals are a Poisson process; otherwise they are
            evenly spaced.
        start_s, end_s: When arrivals begin and end, in seconds from the start
            of the run; an end of None is the end of the run.
        headers: Additional headers.
    """

    __slots__ = (
        "body",
        "end_s",
        "headers",
        "is_poisson",
        "key",
        "path",
        "rate_per_s",
        "start_s",
        "work",
    )

    def __init__(
        self,
        work: tally.WorkClass,
        path: str,
        key: str,
        body: dict[str, Any],
        rate_per_s: float,
        is_poisson: bool = True,
        start_s: float = 0.0,
        end_s: float | None = None,
        headers: dict[str, str] | None = None,
    ):
        self.work = work
        self.path = path
        self.key = key
        self.body = body
        self.rate_per_s = rate_per_s
        self.is_poisson = is_poisson
        self.start_s = start_s
        self.end_s = end_s
        self.headers = headers or {}

    def arrivals(
        self, duration_s: float, rng: random.Random
    ) -> Iterator[float]:
        """Yields the arrival times in seconds from the start of the run."""
        end_s = duration_s if self.end_s is None else self.end_s
        gap_s = 1.0 / self.rate_per_s
        at = self.start_s + rng.random() * gap_s
        while at < end_s:
            yield at
            at += rng.expovariate(self.rate_per_s) if self.is_poisson else gap_s

    def render(self, number: int) -> bytes:
        """Returns the request with the given number as HTTP bytes."""
        body = json.dumps(self.body).encode()
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
            **self.headers,
        }
        return load_client.render_request(
            "POST",
            self.path,
            headers,
            body.replace(NUMBER_PLACEHOLDER, str(number).encode()),
        )

    def to_document(self, rate_share: float) -> dict[str, Any]:
        """Returns the flow at a fraction of its rate as a JSON object."""
        document = {
            name: getattr(self, name)
            for name in self.__slots__
            if name != "work"
        }
        document["work"] = list(self.work.key)
        document["rate_per_s"] = self.rate_per_s * rate_share
        return document


def decode_flow(document: dict[str, Any]) -> Flow:
    """Decodes a flow encoded by ``Flow.to_document``."""
    return Flow(**{**document, "work": tally.WorkClass(*document["work"])})


def chat_flow(
    work: tally.WorkClass,
    rate_per_s: float,
    prompt: str = "Prompt {number}",
    max_tokens: int = 16,
    is_streamed: bool = True,
    **options: Any,
) -> Flow:
    """Returns a flow of chat requests; the key is ``key-WORKSPACE``."""
    body = {
        "model": work.pipeline,
        "stream": is_streamed,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    key = f"key-{work.workspace}"
    return Flow(work, "/v1/chat/completions", key, body, rate_per_s, **options)


def pipeline_flow(
    work: tally.WorkClass,
    rate_per_s: float,
    body: dict[str, Any] | None = None,
    **options: Any,
) -> Flow:
    """Returns a flow of pipeline requests; the key is ``key-WORKSPACE``."""
    return Flow(
        work,
        f"/v1/pipelines/{work.pipeline}",
        f"key-{work.workspace}",
        body or {"number": "{number}"},
        rate_per_s,
        **options,
    )
