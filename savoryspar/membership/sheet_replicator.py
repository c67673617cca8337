"""Distribution of the sheet between peers; the highest revision wins."""

import collections
from collections.abc import Callable, Mapping
from typing import Any

import cbor2
import eventlet

from savoryspar import decoding, log, sheet
from savoryspar.membership import exceptions, rows, service

MAX_DELTAS = 64
"""Number of deltas kept for peers that missed some."""

MAX_DELTA_BYTES = 32_768
"""Larger deltas are announced without their rows, which peers request."""

REQUEST_TIMEOUT_S = 5.0
FETCH_PATIENCE_S = 0.5
"""Time after which a fetch begins from another peer too."""
MAX_FETCHES = 3
"""Fetches at the same time, each from another peer."""
DIGEST_PREFIX_BYTES = 8
"""Length of the digest prefix in heartbeats."""

REFUSED_RETRY_S = 10.0
"""Time before a rejected sheet is fetched from peers again."""

REQUEST = "sheet_request"


class Delta:
    """Changes of one accepted revision.

    Attributes:
        previous: Revision to which the changes apply.
        changes: Changed rows.
    """

    __slots__ = ("changes", "previous")

    def __init__(self, previous: int, changes: sheet.Changes):
        self.previous = previous
        self.changes = changes


class SheetReplicator:
    """Sends accepted revisions to peers and fetches missed ones from them."""

    __slots__ = (
        "_clock",
        "_fetching",
        "_history",
        "_index",
        "_last_accepted",
        "_logger",
        "_members",
        "_retry_at",
        "_sheets",
        "_source_peer",
    )

    def __init__(
        self,
        members: service.Membership,
        sheets: sheet.SheetHolder,
        clock: Callable[[], float],
    ):
        self._members = members
        self._sheets = sheets
        self._clock = clock
        self._history: collections.OrderedDict[int, Delta] = (
            collections.OrderedDict()
        )
        self._last_accepted: sheet.Sheet | None = sheets.current
        # When the fetches in progress began, by peer.
        self._fetching: dict[str, float] = {}
        self._source_peer = ""
        self._retry_at = float("-inf")
        self._index: rows.BucketIndex | None = None
        self._logger = log.new_logger("sheet")
        members.heartbeats.sheet_state = self._current_state
        members.heartbeats.on_sheet_state = self._handle_state
        members.reader.on_sheet_delta = self._handle_delta
        members.handle(REQUEST, self._serve)
        sheets.listen(self._propagate)

    def _current_state(self) -> tuple[int, bytes]:
        current = self._sheets.current
        if current is None:
            return 0, b""
        return current.revision, bytes.fromhex(current.digest)[
            :DIGEST_PREFIX_BYTES
        ]

    def _propagate(self, accepted: sheet.Sheet) -> None:
        """Stores the delta from the former sheet and sends it to peers."""
        former, self._last_accepted = self._last_accepted, accepted
        changes = sheet.changes_between(
            former.rows if former else {}, accepted.rows
        )
        previous = former.revision if former else 0
        self._history[accepted.revision] = Delta(previous, changes)
        while len(self._history) > MAX_DELTAS:
            self._history.popitem(last=False)
        encoded = rows.encode_changes(changes) if previous else None
        if encoded and len(cbor2.dumps(encoded)) > MAX_DELTA_BYTES:
            encoded = None
        self._members.flood_sheet_delta(
            [
                accepted.revision,
                previous,
                accepted.digest,
                encoded,
            ],
            self._source_peer,
        )

    def _handle_state(self, sender: str, revision: int, digest: bytes) -> None:
        if revision > self._sheets.revision:
            self._start_fetch(sender, revision)
        else:
            self._sheets.check_digest(revision, digest.hex())

    def _handle_delta(self, sender: str, body: Any) -> None:
        revision, previous, digest, encoded = body
        current = self._sheets.current
        if revision <= self._sheets.revision:
            self._sheets.check_digest(revision, digest)
            return
        if current is None or previous != current.revision or encoded is None:
            self._start_fetch(sender, revision)
            return
        changes = rows.decode_changes(encoded)
        if sheet.delta_digest(current, changes) != digest:
            self._start_fetch(sender, revision)
            return
        self._apply_rows(current, changes, revision, digest, sender)

    def _apply_rows(
        self,
        base: sheet.Sheet | None,
        changes: sheet.Changes,
        revision: int,
        digest: str,
        sender: str,
    ) -> None:
        """Builds a sheet from a peer's rows and submits it to the holder."""
        try:
            if base is None:
                candidate = sheet.run_offloaded(
                    len(changes),
                    sheet.new_sheet,
                    sheet.apply_changes({}, changes),
                    revision,
                    digest,
                )
            else:
                candidate = sheet.run_offloaded(
                    len(changes),
                    sheet.apply_delta,
                    base,
                    changes,
                    revision,
                    digest,
                )
        except ExceptionGroup as group:
            self._sheets.refuse(revision, group)
            self._retry_at = self._clock() + REFUSED_RETRY_S
            return
        self._source_peer = sender
        try:
            self._sheets.offer(candidate, f"peer {sender}", self._clock())
        finally:
            self._source_peer = ""

    def _start_fetch(self, sender: str, revision: int) -> None:
        # A peer that is not asked announces the revision in each heartbeat.
        now = self._clock()
        if (
            sender in self._fetching
            or len(self._fetching) >= MAX_FETCHES
            or now - max(self._fetching.values(), default=float("-inf"))
            < FETCH_PATIENCE_S
        ):
            return
        if revision == self._sheets.refused_revision and now < self._retry_at:
            return
        self._fetching[sender] = now
        eventlet.spawn(self._fetch, sender)

    def _fetch(self, sender: str) -> None:
        try:
            self._fetch_from(sender)
        except exceptions.PeerUnreachableError as exc:
            self._logger.warning(f"Sheet not fetched. {exc}")
        except Exception as exc:
            self._logger.error(
                f"Sheet not fetched. peer={sender} {decoding.describe(exc)}"
            )
        finally:
            del self._fetching[sender]

    def _fetch_from(self, sender: str) -> None:
        base = self._sheets.current
        reply = self._request(sender, [self._sheets.revision, None, 0])
        if reply["kind"] == "whole":
            digests = self._bucket_index(base).digests if base else {}
            reply = self._fetch_buckets(sender, digests)
            if reply is None:
                return
        if reply["kind"] == "none":
            return
        changes = rows.decode_changes(reply["changes"])
        removed = [
            item
            for item in (base.rows if base else {})
            if sheet.bucket_of(item) in set(reply.get("replaced", ()))
            and item not in changes
        ]
        changes.update(dict.fromkeys(removed))
        if self._sheets.current is base:
            self._apply_rows(
                base, changes, reply["revision"], reply["digest"], sender
            )

    def _fetch_buckets(
        self, sender: str, digests: Mapping[int, int]
    ) -> dict | None:
        """Fetches the differing buckets in parts of limited size.

        Returns:
            The combined reply, or None if the peer has no newer revision or
            its revision changed between two parts.
        """
        changes: rows.EncodedRows = []
        replaced: list[int] = []
        first, revision = 0, 0
        while first < sheet.BUCKET_COUNT:
            reply = self._request(
                sender, [self._sheets.revision, dict(digests), first]
            )
            if reply["kind"] == "none" or (
                revision and reply["revision"] != revision
            ):
                return None
            if reply["next"] <= first:
                raise ValueError(f"no bucket after {first} in the reply")
            revision, first = reply["revision"], reply["next"]
            changes += reply["changes"]
            replaced += reply["replaced"]
        return {**reply, "changes": changes, "replaced": replaced}

    def _request(self, sender: str, body: list) -> dict:
        return self._members.request(sender, REQUEST, body, REQUEST_TIMEOUT_S)

    def _serve(self, sender: str, body: list) -> dict:
        """Replies to a peer that missed deltas with a delta or its buckets."""
        del sender
        revision, digests, first = body
        current = self._sheets.current
        if current is None or current.revision <= revision:
            return {"kind": "none"}
        reply = {"revision": current.revision, "digest": current.digest}
        if digests is None:
            changes = self._changes_since(revision)
            if changes is None:
                return {**reply, "kind": "whole"}
            return {
                **reply,
                "kind": "delta",
                "changes": rows.encode_changes(changes),
            }
        return {**reply, **self._bucket_index(current).reply(digests, first)}

    def _bucket_index(self, current: sheet.Sheet) -> rows.BucketIndex:
        if self._index is None or self._index.revision != current.revision:
            self._index = sheet.run_offloaded(
                len(current.rows), rows.BucketIndex, current
            )
        return self._index

    def _changes_since(self, revision: int) -> sheet.Changes | None:
        """Returns the merged deltas since a revision.

        Returns None if a delta is no longer stored or the result exceeds
        ``rows.MAX_REPLY_BYTES``.
        """
        chain = []
        cursor = self._sheets.revision
        while cursor != revision:
            delta = self._history.get(cursor)
            if delta is None or delta.previous < revision:
                return None
            chain.append(delta.changes)
            cursor = delta.previous
        merged: dict = {}
        for changes in reversed(chain):
            merged.update(changes)
        size = len(cbor2.dumps(rows.encode_changes(merged)))
        return merged if size <= rows.MAX_REPLY_BYTES else None


def new_sheet_replicator(
    members: service.Membership,
    sheets: sheet.SheetHolder,
    clock: Callable[[], float],
) -> SheetReplicator:
    """Returns a replicator, registered with the members and the holder."""
    return SheetReplicator(members, sheets, clock)
