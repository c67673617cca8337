"""Builds the next sheet from the former one and a delta.

Only changed rows are read again: a delta of one row of a sheet with 36,000
workspaces would otherwise block the process for as long as a whole sheet.
"""

from collections.abc import Mapping

from savoryspar.sheet import keys, model, validate

Changes = Mapping[tuple[str, str], Mapping[str, str] | None]
"""Changed rows by (table, name); None removes the row."""

BIG_TABLE = "workspace"
"""The only table that grows with the number of customers."""


def update_sheet(
    base: model.Sheet, changes: Changes, revision: int, digest: str
) -> model.Sheet:
    """Returns the sheet after the changes, checked against its digest.

    Args:
        base: The sheet that the changes apply to.
        changes: Changed rows.
        revision: Revision of the result.
        digest: Content digest of the result.

    Raises:
        ExceptionGroup: Of the ``SheetError`` of each fault, the same as when
            the whole sheet is built.
    """
    rows = keys.apply_changes(base.rows, changes)
    if keys.updated_digest(base, changes) != digest:
        return keys.new_sheet(rows, revision, digest)
    try:
        return _build(base, rows, changes, revision, digest)
    except ExceptionGroup:
        # The whole sheet is built again, so that faults read alike
        # everywhere.
        return keys.new_sheet(rows, revision, digest)


def _build(
    base: model.Sheet,
    rows: model.Rows,
    changes: Changes,
    revision: int,
    digest: str,
) -> model.Sheet:
    small = {
        item: fields for item, fields in rows.items() if item[0] != BIG_TABLE
    }
    changed = {
        item: fields for item, fields in changes.items() if item[0] == BIG_TABLE
    }
    present = {item: fields for item, fields in changed.items() if fields}
    partial = validate.build_sheet({**small, **present}, revision, digest, {})
    workspaces = dict(base.workspaces)
    by_key = dict(base.workspace_by_key)
    for _, name in changed:
        former = workspaces.pop(name, None)
        for key_digest in former.key_digests if former else ():
            by_key.pop(key_digest, None)
    for name, workspace in partial.workspaces.items():
        if any(by_key.get(key, name) != name for key in workspace.key_digests):
            raise ExceptionGroup("sheet", [ValueError("shared key digest")])
        workspaces[name] = workspace
        by_key.update(dict.fromkeys(workspace.key_digests, name))
    return model.Sheet(
        revision=revision,
        digest=digest,
        rows=rows,
        ranks=partial.ranks,
        workspaces=workspaces,
        pools=partial.pools,
        models=partial.models,
        works=partial.works,
        pipelines=partial.pipelines,
        workspace_by_key=by_key,
    )
