"""Reads a revision from the configuration service, as a delta or in full."""

from savoryspar import discovery
from savoryspar.sheet import delta, exceptions, holder, keys, model, offload


def read_sheet(
    client: discovery.ConfigClient, current: model.Sheet | None
) -> model.Sheet | None:
    """Reads the newest revision.

    Args:
        client: The configuration service.
        current: The sheet in force, or None; its direct successor is read as a
            delta.

    Returns:
        The newest sheet, or None if the service has an older revision than the
        one in force, or the same content.

    Raises:
        PlatformError: The service is down or its rate limit is exceeded.
        SheetError: A key cannot be decoded.
        ExceptionGroup: Contains one ``SheetError`` per error in the sheet.
    """
    manifest = keys.decode_manifest(client.get(keys.MANIFEST_KEY))
    if current and manifest.revision < current.revision:
        return None
    if (
        current
        and manifest.revision == current.revision
        and manifest.digest == current.digest
    ):
        return None
    if (
        current
        and manifest.previous == current.revision
        and delta.delta_digest(current, manifest.changes) == manifest.digest
    ):
        return delta.apply_delta(
            current, manifest.changes, manifest.revision, manifest.digest
        )
    rows = _read_rows(client, manifest, current.rows if current else {})
    if current is None:
        return offload.run(
            len(rows), keys.new_sheet, rows, manifest.revision, manifest.digest
        )
    changes = offload.run(len(rows), delta.changes_between, current.rows, rows)
    return delta.apply_delta(
        current,
        changes,
        manifest.revision,
        manifest.digest,
    )


def _read_rows(
    client: discovery.ConfigClient, manifest: keys.Manifest, known: model.Rows
) -> model.Rows:
    """Reads the buckets that differ and copies the others from known rows."""
    known_digests = offload.run(len(known), keys.bucket_digests, known)
    differing = {
        number
        for number in known_digests.keys() | manifest.buckets.keys()
        if known_digests.get(number) != manifest.buckets.get(number)
    }
    rows = {
        row_id: fields
        for row_id, fields in known.items()
        if keys.bucket_of(row_id) not in differing
    }
    for number in sorted(differing):
        rows.update(keys.decode_rows(client.get(keys.bucket_key(number))))
    return rows


def refresh(
    client: discovery.ConfigClient,
    sheets: holder.SheetHolder,
    revision: int,
    now: float,
) -> None:
    """Reads the newest sheet and puts it in force, or records its errors.

    Args:
        client: The configuration service.
        sheets: Holder of the sheet in force.
        revision: Revision that the service announced; recorded on an error.
        now: Monotonic time in seconds.

    Raises:
        PlatformError: The service is down or its rate limit is exceeded.
    """
    try:
        newest = read_sheet(client, sheets.current)
    except exceptions.SheetError as exc:
        sheets.refuse(revision, ExceptionGroup("sheet", [exc]))
        return
    except ExceptionGroup as group:
        sheets.refuse(revision, group)
        return
    if newest is not None:
        sheets.offer(newest, "service", now)
