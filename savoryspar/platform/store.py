"""Client of the platform's metadata store, with reads and watches."""

import base64
from collections.abc import Callable, Iterator
import contextlib
import http.client
import itertools
import json
from typing import Any
from urllib import parse

import urllib3
from urllib3 import connection

from savoryspar import backends, fleet

CONNECT_TIMEOUT_S = 1.0
"""A running store accepts connections within some milliseconds."""
READ_TIMEOUT_S = 2.0
"""Timeout for calls other than watches; answers usually take 4 ms."""
WATCH_MARGIN_S = 2.0
"""Added to the wait of a watch for the timeout of its connection."""
MAX_ANSWER_BYTES = 8 << 20
"""Size limit; a page has about 1 MB, and a value of 1 MB takes 1.4 MB."""
MAX_PAGES = 400
"""Limit for the pages of one list, with about 500 items each."""
USER_TIMEOUT_MS = 2500
"""TCP timeout for data that the store does not acknowledge."""


class Item:
    """A key with its value, or its removal.

    Attributes:
        key: The key.
        value: The value, None if the key was removed.
        revision: Store revision of the change.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int):
        self.key = key
        self.value = value
        self.revision = revision


class Snapshot:
    """Items of the store as of a revision."""

    __slots__ = ("items", "revision")

    def __init__(self, items: list[Item], revision: int):
        self.items = items
        self.revision = revision


class StoreClient:
    """Reads and watches a store over a single connection.

    Attributes:
        calls: Calls made since the client was created.
    """

    __slots__ = ("_address", "_clock", "_conn", "calls")

    def __init__(self, address: str, clock: Callable[[], float]):
        self._address = address
        self._clock = clock
        self._conn: connection.HTTPConnection | None = None
        self.calls = 0

    def get(self, key: str) -> Snapshot:
        """Reads one key; the snapshot is empty if the key does not exist.

        Raises:
            StoreError: The store is down, or rejected the call.
        """
        status, body = self._call(
            "/-/kv-key", {"key": key}, READ_TIMEOUT_S, (200, 404)
        )
        with _decoding("an item"):
            if status == 404:
                return Snapshot([], int(body.get("as-of", 0)))
            return Snapshot([_item(body)], int(body["as-of"]))

    def read_all(self, prefix: str) -> Snapshot:
        """Reads all keys with the prefix, page by page.

        The revision is that of the first page, so that a watch after it
        returns every change made while the other pages were read.

        Raises:
            StoreError: As for ``get``.
        """
        with _decoding("a list"):
            pages = [*self._pages(prefix)]
            return Snapshot(
                [_item(item) for page in pages for item in page["entries"]],
                int(pages[0]["as-of"]),
            )

    def watch(self, prefix: str, after: int, wait_s: float) -> Snapshot:
        """Waits for changes after a revision and returns them in order.

        Raises:
            HistoryGoneError: The store no longer has the changes.
            StoreError: As for ``get``.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        _, body = self._call(
            "/-/kv-watch", query, wait_s + WATCH_MARGIN_S, (200,)
        )
        with _decoding("a watch"):
            return Snapshot(
                [_item(event) for event in body["events"]], int(body["as-of"])
            )

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _pages(self, prefix: str) -> Iterator[dict[str, Any]]:
        query: dict[str, Any] = {"prefix": prefix}
        for _ in itertools.repeat(None, MAX_PAGES):
            _, page = self._call("/-/kv-range", query, READ_TIMEOUT_S, (200,))
            yield page
            if not page["truncated"] or not page["entries"]:
                return
            query = {"prefix": prefix, "after": page["entries"][-1]["key"]}
        raise fleet.StoreError(
            f"the list under {prefix} has more than {MAX_PAGES} pages",
            "check the store",
        )

    def _call(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        expected: tuple[int, ...],
    ) -> tuple[int, dict[str, Any]]:
        self.calls += 1
        target = f"{path}?{parse.urlencode(query)}"
        try:
            status, data = self._exchange(target, timeout_s)
            if status == 410:
                raise fleet.HistoryGoneError(
                    f"the store no longer has the changes of {target}",
                    "read all keys again",
                )
            if status not in expected:
                raise fleet.StoreError(
                    f"the store answered {status} to {path}",
                    "wait before the next call",
                )
            return status, json.loads(data)
        except (
            OSError,
            ValueError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as exc:
            self.close()
            raise fleet.StoreError(
                f"the store did not answer {path}: {exc!r}",
                "the last known state stays in force; check the store",
            ) from exc

    def _exchange(self, target: str, timeout_s: float) -> tuple[int, bytes]:
        if self._conn is None:
            self._conn = backends.open_connection(
                self._address,
                backends.keepalive_options(USER_TIMEOUT_MS),
                CONNECT_TIMEOUT_S,
            )
        self._conn.timeout = timeout_s
        self._conn.sock.set_limits(
            self._clock, self._clock() + timeout_s, MAX_ANSWER_BYTES
        )
        self._conn.request("GET", target, preload_content=True)
        resp = self._conn.getresponse()
        if resp.headers.get("Connection", "").lower() == "close":
            self.close()
        return resp.status, resp.data


@contextlib.contextmanager
def _decoding(subject: str) -> Iterator[None]:
    """Turns errors from a malformed answer into ``StoreError``."""
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise fleet.StoreError(
            f"the store's answer for {subject} cannot be decoded: {exc!r:.200}",
            "the last known state stays in force; check the store",
        ) from exc


def _item(body: dict[str, Any]) -> Item:
    if body.get("deleted"):
        return Item(body["key"], None, int(body["revision"]))
    value = base64.b64decode(body["value"])
    return Item(body["key"], value, int(body["revision"]))


def new_store_client(address: str, clock: Callable[[], float]) -> StoreClient:
    """Returns a client that connects at its first call.

    Args:
        address: ``IP:port`` of the store.
        clock: Monotonic time in seconds.
    """
    return StoreClient(address, clock)
