"""Read-only client of the configuration service."""

import time

import eventlet
import urllib3

from savoryspar import backends, decoding
from savoryspar.discovery import budget, exceptions

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
MAX_WATCH_BYTES = 4096


class ConfigClient:
    """Reads keys and waits for new revisions."""

    __slots__ = ("_budget", "_pool", "_url")

    def __init__(
        self,
        url: str,
        pool: urllib3.PoolManager,
        call_budget: budget.CallBudget,
    ):
        self._url = url.rstrip("/")
        self._pool = pool
        self._budget = call_budget

    def get(self, key: str) -> str:
        """Returns the value of a key.

        Raises:
            PlatformError: The service is unavailable or limits the rate, or the
                key does not exist or has no text.
        """
        try:
            return self._fetch(f"/v1/keys/{key}", READ_TIMEOUT_S).decode()
        except UnicodeDecodeError as exc:
            raise exceptions.PlatformError(
                f"the value of {key} is not UTF-8: {exc}",
                "publish the key again",
            ) from exc

    def watch(self, after: int, timeout_s: float) -> int:
        """Waits for a revision above ``after`` and returns the newest revision.

        Args:
            after: Last revision known to the caller.
            timeout_s: Time after which the service answers without a newer
                revision.

        Raises:
            PlatformError: The service is unavailable or limits the rate, or its
                answer is invalid.
        """
        body = self._fetch(
            f"/v1/watch?after={after}&timeout_s={timeout_s:g}",
            timeout_s + WATCH_MARGIN_S,
        )
        try:
            with decoding.reading("the revision"):
                document = decoding.decode_json(body, MAX_WATCH_BYTES)
                return decoding.integer(document["revision"], 0)
        except decoding.DecodingError as exc:
            raise exceptions.PlatformError(
                f"the watch returned the invalid body {body[:80]!r}",
                "check [platform] config_url",
            ) from exc

    def _fetch(self, path: str, timeout_s: float) -> bytes:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        eventlet.sleep(self._budget.wait_s(time.monotonic()))
        started_at = time.monotonic()
        self._budget.spend(1.0, started_at)
        try:
            resp = self._pool.request(
                "GET", self._url + path, timeout=timeout, retries=False
            )
        except urllib3.exceptions.HTTPError as exc:
            raise exceptions.PlatformError(
                f"the configuration service does not answer: {exc}",
                "the last revision stays in force; check that the service runs",
            ) from exc
        finally:
            ended_at = time.monotonic()
            self._budget.spend(ended_at - started_at, ended_at)
        if resp.status != 200:
            raise exceptions.PlatformError(
                f"the configuration service answered {resp.status} to {path}",
                "reduce the read rate on 429, publish the key on 404",
            )
        return resp.data


def new_config_client(
    url: str, calls_per_s: float, burst_calls: float
) -> ConfigClient:
    """Returns a client with its own connections and call budget.

    Args:
        url: Base URL of the service.
        calls_per_s: Average rate of calls allowed.
        burst_calls: Maximum number of calls in a burst after idle time.
    """
    return ConfigClient(
        url,
        backends.new_strict_pool_manager(maxsize=4, block=False),
        budget.CallBudget(calls_per_s, burst_calls, time.monotonic()),
    )
