"""Keys of the configuration service: a manifest and buckets of rows."""

from collections.abc import Iterable, Mapping
import hashlib
import json
import sys

from savoryspar.sheet import exceptions, model, validate

MANIFEST_KEY = "manifest"
BUCKET_COUNT = 256
MAX_CHANGES_BYTES = 900_000
"""The service stores values up to 1 MB."""

DIGEST_MODULUS = 2**256
_SHARED_LENGTH = 16
"""Texts up to this length repeat in many rows, so they are kept once."""


class Manifest:
    """What one revision changed.

    Attributes:
        revision: Number of this revision.
        previous: Revision that the changes apply to.
        digest: Content digest after the changes, in hexadecimal.
        changes: Changed rows by (table, name); None removes the row.
        buckets: Digest of each bucket that is not empty, by its number.
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


def row_digest(item: tuple[str, str], fields: Mapping[str, str] | None) -> int:
    """Returns the digest of a row; a missing row counts as zero."""
    if fields is None:
        return 0
    text = json.dumps([*item, sorted(fields.items())])
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")


def content_digest(rows: model.Rows) -> str:
    """Returns the sum of the digests of all rows, in hexadecimal.

    A sum can be updated row by row, so a delta is checked without the rest.
    """
    total = sum(row_digest(item, fields) for item, fields in rows.items())
    return f"{total % DIGEST_MODULUS:064x}"


def bucket_digests(rows: model.Rows) -> dict[int, int]:
    """Returns the digest of each bucket that is not empty, of 64 bits."""
    digests: dict[int, int] = {}
    for item, fields in rows.items():
        number = bucket_of(item)
        total = digests.get(number, 0) + row_digest(item, fields)
        digests[number] = total % 2**64
    return digests


def bucket_of(item: tuple[str, str]) -> int:
    """Returns the number of the bucket that holds the row."""
    return hashlib.sha256("/".join(item).encode()).digest()[0]


def bucket_key(number: int) -> str:
    """Returns the key of a bucket."""
    return f"bucket/{number:02x}"


def render_keys(
    rows: model.Rows, revision: int, previous: int, previous_rows: model.Rows
) -> dict[str, str]:
    """Returns the keys that an operator publishes for a revision."""
    changes = [
        [*item, rows.get(item)]
        for item in sorted({*rows, *previous_rows})
        if rows.get(item) != previous_rows.get(item)
    ]
    has_base = previous and previous_rows
    if not has_base or len(json.dumps(changes)) > MAX_CHANGES_BYTES:
        # Without a predecessor, or above the service's limit for a value,
        # readers fall back to the buckets, which stay below the limit.
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
    for item, fields in sorted(rows.items()):
        buckets.setdefault(bucket_of(item), []).append([*item, fields])
    rendered = {
        bucket_key(number): json.dumps(
            {"revision": revision, "rows": buckets.get(number, [])}
        )
        for number in range(BUCKET_COUNT)
    }
    rendered[MANIFEST_KEY] = json.dumps(manifest)
    return rendered


def decode_manifest(text: str) -> Manifest:
    """Decodes the manifest.

    Raises:
        SheetError: The text is not a manifest.
    """
    try:
        data = json.loads(text)
        return Manifest(
            revision=int(data["revision"]),
            previous=int(data["previous"]),
            digest=str(data["digest"]),
            changes=dict(_items(data["changes"])),
            buckets={
                int(number, 16): int(digest, 16)
                for number, digest in data["buckets"].items()
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise _not_decodable("manifest", exc) from exc


def decode_rows(text: str) -> dict[tuple[str, str], dict[str, str]]:
    """Decodes a bucket; raises ``SheetError`` when it is not one."""
    try:
        return dict(_items(json.loads(text)["rows"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise _not_decodable("bucket", exc) from exc


def _items(
    rows: Iterable[list],
) -> Iterable[tuple[tuple[str, str], dict[str, str] | None]]:
    return (
        (
            (sys.intern(table), name),
            fields and {sys.intern(f): _shared(v) for f, v in fields.items()},
        )
        for table, name, fields in rows
    )


def _shared(text: str) -> str:
    return sys.intern(text) if len(text) <= _SHARED_LENGTH else text


def _not_decodable(kind: str, exc: Exception) -> exceptions.SheetError:
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
    """Returns the rows after the changes."""
    merged = dict(rows)
    for item, fields in changes.items():
        if fields:
            merged[item] = fields
        else:
            merged.pop(item, None)
    return merged


def new_sheet(rows: model.Rows, revision: int, digest: str) -> model.Sheet:
    """Builds a sheet from decoded rows after checking their digest.

    Raises:
        ExceptionGroup: Of the ``SheetError`` of each fault.
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
                    f"revision {revision} has the digest {actual[:12]}, its"
                    f" manifest says {digest[:12]}",
                    "wait for the service to answer with one revision, or"
                    " publish the keys again",
                )
            ],
        )
    return validate.build_sheet(rows, revision, digest, {})
