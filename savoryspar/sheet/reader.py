"""Reads a revision from the configuration service, by delta or whole."""

from savoryspar import discovery
from savoryspar.sheet import delta, exceptions, holder, keys, model, offload


def read_sheet(
    client: discovery.ConfigClient, current: model.Sheet | None
) -> model.Sheet | None:
    """Reads the newest revision.

    Args:
        client: The configuration service.
        current: The sheet in force; a direct successor is read as a delta.

    Returns:
        The newest sheet, or None when it is not above the one in force.

    Raises:
        PlatformError: The service is down or over its rate.
        SheetError: A key cannot be decoded.
        ExceptionGroup: Of the ``SheetError`` of each fault.
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
    """Reads the buckets that differ and takes the others from known rows."""
    own = offload.run(len(known), keys.bucket_digests, known)
    differing = {
        number
        for number in own.keys() | manifest.buckets.keys()
        if own.get(number) != manifest.buckets.get(number)
    }
    rows = {
        item: fields
        for item, fields in known.items()
        if keys.bucket_of(item) not in differing
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
    """Offers the newest sheet of the service to the holder.

    Args:
        client: The configuration service.
        sheets: The sheet in force.
        revision: Revision that the service announced, for the refusal.
        now: Monotonic time in seconds.

    Raises:
        PlatformError: The service is down or over its rate.
    """
    try:
        offered = read_sheet(client, sheets.current)
    except exceptions.SheetError as exc:
        sheets.refuse(revision, ExceptionGroup("sheet", [exc]))
        return
    except ExceptionGroup as group:
        sheets.refuse(revision, group)
        return
    if offered is not None:
        sheets.offer(offered, "service", now)
