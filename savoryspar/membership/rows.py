"""Encoding of the configuration rows that peers exchange."""

from collections.abc import Iterable, Mapping

import cbor2

from savoryspar import sheet

MAX_REPLY_BYTES = 400_000

EncodedRows = list[list]
"""Rows as ``[table, name, fields]``; null fields remove the row."""


class BucketIndex:
    """The rows of a sheet by bucket, and the digest of each bucket.

    Attributes:
        revision: Revision of the sheet.
        digests: Digest of each non-empty bucket by its number.
    """

    __slots__ = ("_rows", "digests", "revision")

    def __init__(self, current: sheet.Sheet):
        self.revision = current.revision
        self.digests = sheet.bucket_digests(current.rows)
        self._rows: dict[int, EncodedRows] = {}
        for item, fields in current.rows.items():
            number = sheet.bucket_of(item)
            row = [*item, dict(fields)]
            self._rows.setdefault(number, []).append(row)

    def reply(self, digests: Mapping[int, int], first: int) -> dict:
        """Returns the differing buckets from ``first``, up to the size limit.

        The first differing bucket is included whatever its size.
        """
        changes: EncodedRows = []
        replaced: list[int] = []
        size = 0
        for number in range(first, sheet.BUCKET_COUNT):
            if self.digests.get(number) == digests.get(number):
                continue
            rows = self._rows.get(number, [])
            size += len(cbor2.dumps(rows))
            if replaced and size > MAX_REPLY_BYTES:
                return _buckets(changes, replaced, number)
            replaced.append(number)
            changes += rows
        return _buckets(changes, replaced, sheet.BUCKET_COUNT)


def _buckets(
    changes: EncodedRows, replaced: list[int], next_bucket: int
) -> dict:
    return {
        "kind": "buckets",
        "changes": changes,
        "replaced": replaced,
        "next": next_bucket,
    }


def encode_changes(changes: sheet.Changes) -> EncodedRows:
    """Returns the changes in their encoding for peers."""
    return [
        [*item, dict(fields) if fields else None]
        for item, fields in changes.items()
    ]


def decode_changes(encoded: Iterable[list]) -> dict:
    """Decodes changes; raises ``ValueError`` or ``TypeError`` if invalid."""
    return {(table, name): fields for table, name, fields in encoded}
