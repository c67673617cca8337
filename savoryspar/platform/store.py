"""Client of the platform's metadata store, with reads and watches."""

import base64
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
import contextlib
import http.client
import itertools
from typing import Any
from urllib import parse

import urllib3
from urllib3 import connection

from savoryspar import backends, decoding, fleet
from savoryspar.platform import headers

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
MAX_KEY_BYTES = 200
MAX_ERA = (1 << 32) - 1
"""Largest number of times that a store may have been restored."""
USER_TIMEOUT_MS = 2500
"""TCP timeout for data that the store does not acknowledge."""


class Item:
    """A key with its value, or its removal.

    Attributes:
        key: The key, in which characters that cannot be encoded are replaced.
        value: The value, None if the key was removed.
        revision: Store revision of the change.
        fault: Why the key or the value cannot be decoded, empty if they can;
            the value of such an item is empty.
    """

    __slots__ = ("fault", "key", "revision", "value")

    def __init__(
        self, key: str, value: bytes | None, revision: int, fault: str = ""
    ):
        self.key = key
        self.value = value
        self.revision = revision
        self.fault = fault


class Fault:
    """An item of a page that has no key or no valid revision.

    Attributes:
        shown: Beginning of the item, for the log.
        cause: What is malformed.
    """

    __slots__ = ("cause", "shown")

    def __init__(self, shown: str, cause: str):
        self.shown = shown
        self.cause = cause


class Snapshot:
    """Items of the store as of a revision.

    Attributes:
        items: Items with a key and a valid revision.
        revision: Revision of the store up to which no change is missing.
        last_revision: Revision as of which the last page was read; some later
            changes are included.
        faults: The other items, which are skipped.
        era: Number of times that the store came back from a copy, as it tells
            it; 0 if it does not. Revisions of two eras cannot be compared.
    """

    __slots__ = ("era", "faults", "items", "last_revision", "revision")

    def __init__(
        self,
        items: list[Item],
        revision: int,
        faults: Sequence[Fault] = (),
        last_revision: int = 0,
        era: int = 0,
    ):
        self.items = items
        self.revision = revision
        self.last_revision = max(revision, last_revision)
        self.faults = faults
        self.era = era


class _Answer:
    """Decoded answer of the store.

    Attributes:
        status: HTTP status code.
        body: JSON object.
        era: As for ``Snapshot``.
    """

    __slots__ = ("body", "era", "status")

    def __init__(self, status: int, body: dict[str, Any], era: int):
        self.status = status
        self.body = body
        self.era = era


class StoreClient:
    """Reads and watches a store over a single connection.

    Attributes:
        calls: Calls made since the client was created.
    """

    __slots__ = ("_address", "_clock", "_conn", "_era", "calls")

    def __init__(self, address: str, clock: Callable[[], float]):
        self._address = address
        self._clock = clock
        self._era = 0
        self._conn: connection.HTTPConnection | None = None
        self.calls = 0

    def get(self, key: str) -> Snapshot:
        """Reads one key; the snapshot is empty if the key does not exist.

        Raises:
            StoreError: The store is down, or rejected the call.
        """
        answer = self._call(
            "/-/kv-key", {"key": key}, READ_TIMEOUT_S, (200, 404)
        )
        body, era = answer.body, answer.era
        with _decoding("an item"):
            if answer.status == 404:
                return Snapshot([], _revision(body.get("as-of", 0)), era=era)
            return _snapshot([body], _revision(body["as-of"]), era=era)

    def read_all(self, prefix: str) -> Snapshot:
        """Reads all keys with the prefix, page by page.

        The revision is that of the first page, so that a watch after it
        returns every change made while the other pages were read.

        Raises:
            StoreError: As for ``get``; or the store was restored between two
                pages.
        """
        pages = [*self._pages(prefix)]
        first, last = pages[0], pages[-1]
        if first.era != last.era:
            raise fleet.StoreError(
                f"the store was restored during the list of {prefix}: era"
                f" {last.era}, {first.era} before",
                "read all keys again",
            )
        with _decoding("a list"):
            return _snapshot(
                itertools.chain.from_iterable(
                    page.body["entries"] for page in pages
                ),
                _revision(first.body["as-of"]),
                _revision(last.body["as-of"]),
                first.era,
            )

    def watch(self, prefix: str, after: int, wait_s: float) -> Snapshot:
        """Waits for changes after a revision and returns them in order.

        Raises:
            HistoryGoneError: The store no longer has the changes, or a change
                has no key or no valid revision, so that only a new list tells
                what has changed.
            StoreError: As for ``get``.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        answer = self._call(
            "/-/kv-watch", query, wait_s + WATCH_MARGIN_S, (200,)
        )
        with _decoding("a watch"):
            changes = _snapshot(
                answer.body["events"],
                _revision(answer.body["as-of"]),
                era=answer.era,
            )
        for fault in changes.faults:
            raise fleet.HistoryGoneError(
                f"a change {fault.shown} cannot be decoded: {fault.cause}",
                "read all keys again",
            )
        return changes

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _pages(self, prefix: str) -> Iterator[_Answer]:
        query: dict[str, Any] = {"prefix": prefix}
        for _ in itertools.repeat(None, MAX_PAGES):
            page = self._call("/-/kv-range", query, READ_TIMEOUT_S, (200,))
            yield page
            with _decoding("a list"):
                entries = page.body["entries"]
                if not page.body["truncated"] or not entries:
                    return
                after = _last_key(entries)
            if after in ("", query.get("after")):
                raise fleet.StoreError(
                    f"a page of the list under {prefix} ends where it begins,"
                    f" at {after!r:.80}",
                    "check the store",
                )
            query = {"prefix": prefix, "after": after}
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
    ) -> _Answer:
        self.calls += 1
        target = f"{path}?{parse.urlencode(query)}"
        try:
            status, data, era = self._exchange(target, timeout_s)
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
            body = decoding.decode_envelope(data, MAX_ANSWER_BYTES)
            # An answer that does not tell it has the era of the one before.
            if era:
                self._era = decoding.integer(int(era), 0, MAX_ERA)
            return _Answer(status, body, self._era)
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

    def _exchange(
        self, target: str, timeout_s: float
    ) -> tuple[int, bytes, str]:
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
        sock = self._conn.sock
        self._conn.request("GET", target)
        resp = http.client.HTTPConnection.getresponse(self._conn)
        data = backends.read_body(resp, sock)
        resp.close()
        if resp.will_close:
            self.close()
        return resp.status, data, resp.getheader(headers.STORE_ERA, "")


@contextlib.contextmanager
def _decoding(subject: str) -> Iterator[None]:
    """Turns errors from a malformed answer into ``StoreError``."""
    try:
        with decoding.reading(f"the store's answer for {subject}"):
            yield
    except decoding.DecodingError as exc:
        raise fleet.StoreError(
            str(exc),
            "the last known state stays in force; check the store",
        ) from exc


def _snapshot(
    bodies: Iterable[Any], revision: int, last_revision: int = 0, era: int = 0
) -> Snapshot:
    """Decodes the items of an answer, each by itself."""
    items: list[Item] = []
    faults: list[Fault] = []
    for body in bodies:
        try:
            items.append(_item(body))
        except decoding.DecodingError as exc:
            faults.append(Fault(f"{body!r:.80}", str(exc)))
    return Snapshot(items, revision, faults, last_revision, era)


def _item(body: Any) -> Item:
    """Decodes an item.

    Raises:
        DecodingError: It has no key or no valid revision.
    """
    try:
        return Item(_key(body), _value(body), _revision(body["revision"]))
    except decoding.ERRORS as exc:
        return _malformed_item(body, exc)


def _malformed_item(body: Any, exc: Exception) -> Item:
    with decoding.reading("an item"):
        shown = body["key"].encode(errors="replace").decode()
        revision = _revision(body["revision"])
    return Item(shown[:MAX_KEY_BYTES], b"", revision, decoding.describe(exc))


def _value(body: Mapping[str, Any]) -> bytes | None:
    if body.get("deleted"):
        return None
    return base64.b64decode(body["value"], validate=True)


def _key(body: Mapping[str, Any]) -> str:
    """Returns the key of an item.

    Raises:
        ValueError: It is too long, or has text that cannot be encoded.
    """
    size = len(body["key"].encode())
    if size > MAX_KEY_BYTES:
        raise decoding.DecodingError(f"the key has {size} bytes")
    return body["key"]


def _revision(value: Any) -> int:
    return decoding.integer(value, 0)


def _last_key(bodies: Sequence[Any]) -> str:
    """Returns the key after which the next page begins, empty if none."""
    for body in reversed(bodies):
        with contextlib.suppress(decoding.DecodingError):
            with decoding.reading("an item"):
                return _key(body)
    return ""


def new_store_client(address: str, clock: Callable[[], float]) -> StoreClient:
    """Returns a client that connects at its first call.

    Args:
        address: ``IP:port`` of the store.
        clock: Monotonic time in seconds.
    """
    return StoreClient(address, clock)
