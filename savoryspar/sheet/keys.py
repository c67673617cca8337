"""Keys of a sheet in the configuration service: manifest and row buckets."""

from collections.abc import Iterable, Mapping
import hashlib
import json
import sys

from savoryspar import decoding
from savoryspar.sheet import exceptions, model, validate

MANIFEST_KEY = "manifest"
BUCKET_COUNT = 256
MAX_CHANGES_BYTES = 900_000
"""Stays below the limit of the service, 1 MB per value."""

MAX_VALUE_BYTES = 8 << 20
"""Limit for a value that is decoded."""
DIGEST_MODULUS = 2**256
_MAX_INTERNED_LENGTH = 16
"""Values up to this length repeat in many rows, so they are interned."""


class Manifest:
    """Digests of one revision and its changes to the previous one.

    Attributes:
        revision: Number of this revision.
        previous: Revision that the changes apply to.
        digest: Content digest after the changes, in hexadecimal.
        changes: Changed rows by row ID; None removes the row.
        buckets: Digest of each non-empty bucket, by bucket number.
    """

    __slots__ = ("buckets", "changes", "digest", "previous", "revision")

    def __init__(
        self,
        revision: int,
        previous: int,
        digest: str,
        changes: Mapping[tuple[str, str], Mapping[str, str] | None],
        buckets: Mapping[int, int],
    ):
        self.revision = revision
        self.previous = previous
        self.digest = digest
        self.changes = changes
        self.buckets = buckets


def row_digest(
    row_id: tuple[str, str], fields: Mapping[str, str] | None
) -> int:
    """Returns the digest of a row, or 0 if the row is absent."""
    if fields is None:
        return 0
    text = json.dumps([*row_id, sorted(fields.items())])
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def content_digest(rows: model.Rows) -> str:
    """Returns the sum of the digests of all rows, in hexadecimal.

    A sum can be updated row by row, so a delta is checked without hashing
    the unchanged rows.
    """
    total = sum(row_digest(row_id, fields) for row_id, fields in rows.items())
    return f"{total % DIGEST_MODULUS:064x}"


def bucket_digests(rows: model.Rows) -> dict[int, int]:
    """Returns the 64-bit digest of each non-empty bucket."""
    digests: dict[int, int] = {}
    for row_id, fields in rows.items():
        number = bucket_of(row_id)
        digest_sum = digests.get(number, 0) + row_digest(row_id, fields)
        digests[number] = digest_sum % 2**64
    return digests


def bucket_of(row_id: tuple[str, str]) -> int:
    """Returns the number of the bucket that holds the row."""
    return hashlib.sha256("/".join(row_id).encode()).digest()[0]


def bucket_key(number: int) -> str:
    """Returns the key of a bucket in the configuration service."""
    return f"bucket/{number:02x}"


def render_keys(
    rows: model.Rows, revision: int, previous: int, previous_rows: model.Rows
) -> dict[str, str]:
    """Returns the keys and values that an operator publishes for a revision.

    Args:
        rows: Rows of the revision.
        revision: Revision number.
        previous: Number of the previous revision, 0 if there is none.
        previous_rows: Rows of the previous revision; may be empty.
    """
    changes = [
        [*row_id, rows.get(row_id)]
        for row_id in sorted({*rows, *previous_rows})
        if rows.get(row_id) != previous_rows.get(row_id)
    ]
    has_base = previous and previous_rows
    if not has_base or len(json.dumps(changes)) > MAX_CHANGES_BYTES:
        # Without a previous revision, or if the changes exceed the value
        # limit of the service, readers use the buckets, which stay below it.
        previous, changes = 0, []
    manifest = {
        "revision": revision,
        "previous": previous,
        "digest": content_digest(rows),
        "changes": changes,
        "buckets": {
            f"{number:02x}": f"{digest:016x}"
            for number, digest in sorted(bucket_digests(rows).items())
        },
    }
    buckets: dict[int, list] = {}
    for row_id, fields in sorted(rows.items()):
        buckets.setdefault(bucket_of(row_id), []).append([*row_id, fields])
    rendered = {
        bucket_key(number): json.dumps(
            {"revision": revision, "rows": buckets.get(number, [])}
        )
        for number in range(BUCKET_COUNT)
    }
    rendered[MANIFEST_KEY] = json.dumps(manifest)
    return rendered


def decode_manifest(text: str) -> Manifest:
    """Decodes a manifest.

    Raises:
        SheetError: The text is not a valid manifest.
    """
    try:
        data = decoding.decode_json(text.encode(), MAX_VALUE_BYTES)
        with decoding.reading("a field"):
            return Manifest(
                revision=decoding.integer(data["revision"], 0),
                previous=decoding.integer(data["previous"], 0),
                digest=str(data["digest"]),
                changes=dict(_decode_entries(data["changes"])),
                buckets={
                    int(number, 16): int(digest, 16)
                    for number, digest in data["buckets"].items()
                },
            )
    except ValueError as exc:
        raise _decode_error("manifest", exc) from exc


def decode_rows(text: str) -> dict[tuple[str, str], dict[str, str]]:
    """Decodes the rows of a bucket.

    Raises:
        SheetError: The text is not a valid bucket.
    """
    try:
        data = decoding.decode_json(text.encode(), MAX_VALUE_BYTES)
        with decoding.reading("a row"):
            return dict(_decode_entries(data["rows"]))
    except ValueError as exc:
        raise _decode_error("bucket", exc) from exc


def _decode_entries(
    rows: Iterable[list],
) -> Iterable[tuple[tuple[str, str], dict[str, str] | None]]:
    return (
        (
            (sys.intern(table), name),
            fields
            and {sys.intern(f): _intern_short(v) for f, v in fields.items()},
        )
        for table, name, fields in rows
    )


def _intern_short(text: str) -> str:
    return sys.intern(text) if len(text) <= _MAX_INTERNED_LENGTH else text


def _decode_error(kind: str, exc: Exception) -> exceptions.SheetError:
    return exceptions.SheetError(
        "sheet.E013",
        0,
        "-",
        f"the {kind} cannot be decoded: {exc!r}",
        "publish the keys again with 'savoryspar sheet export'",
    )


def apply_changes(
    rows: model.Rows,
    changes: Mapping[tuple[str, str], Mapping[str, str] | None],
) -> dict[tuple[str, str], Mapping[str, str]]:
    """Returns a copy of the rows with the changes applied."""
    merged = dict(rows)
    for row_id, fields in changes.items():
        if fields:
            merged[row_id] = fields
        else:
            merged.pop(row_id, None)
    return merged


def new_sheet(rows: model.Rows, revision: int, digest: str) -> model.Sheet:
    """Builds a sheet from decoded rows after verifying their digest.

    Raises:
        ExceptionGroup: Contains one ``SheetError`` per error.
    """
    actual = content_digest(rows)
    if actual != digest:
        raise ExceptionGroup(
            "sheet",
            [
                exceptions.SheetError(
                    "sheet.E014",
                    0,
                    "-",
                    f"the rows of revision {revision} have the digest"
                    f" {actual[:12]}, but its manifest gives {digest[:12]}",
                    "wait until the service returns all keys of one revision,"
                    " or publish the keys again",
                )
            ],
        )
    return validate.build_sheet(rows, revision, digest, {})
