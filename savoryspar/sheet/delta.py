"""Builds the next sheet from the one in force and the changed rows.

A full build with 36,000 workspaces takes most of a second, during which the
process serves no requests. A delta validates only the workspaces that changed;
the other tables are small and are always built in full.
"""

from collections.abc import Mapping

from savoryspar.sheet import keys, model, validate

WORKSPACE = "workspace"

Changes = Mapping[tuple[str, str], Mapping[str, str] | None]
"""Changed rows by row ID, which is (table, name); None removes the row."""


def changes_between(old: model.Rows, new: model.Rows) -> Changes:
    """Returns the changes that turn the old rows into the new ones."""
    changed = {
        row_id: fields
        for row_id, fields in new.items()
        if old.get(row_id) != fields
    }
    return changed | dict.fromkeys(old.keys() - new.keys())


def delta_digest(current: model.Sheet, changes: Changes) -> str:
    """Returns the content digest after the changes, in hexadecimal."""
    total = int(current.digest, 16) + sum(
        # A row without fields counts as absent, as in apply_changes.
        keys.row_digest(row_id, fields or None)
        - keys.row_digest(row_id, current.rows.get(row_id))
        for row_id, fields in changes.items()
    )
    return f"{total % keys.DIGEST_MODULUS:064x}"


def apply_delta(
    current: model.Sheet, changes: Changes, revision: int, digest: str
) -> model.Sheet:
    """Applies the changes to the sheet in force and returns the new sheet.

    Args:
        current: The sheet in force.
        changes: Changed rows.
        revision: Revision of the new sheet.
        digest: Content digest that the new sheet must have.

    Raises:
        ExceptionGroup: Contains the same ``SheetError`` exceptions as a full
            build of the new rows raises.
    """
    rows = keys.apply_changes(current.rows, changes)
    if delta_digest(current, changes) != digest:
        return keys.new_sheet(rows, revision, digest)
    changed = {
        name: fields
        for (table, name), fields in changes.items()
        if table == WORKSPACE
    }
    try:
        workspaces = _merge_workspaces(current, changed)
        workspace_by_key = _merge_key_digests(current, changed, workspaces)
        small_tables = validate.build_sheet(
            _without_workspaces(rows), revision, digest, {}
        )
    except (ExceptionGroup, _InvalidWorkspaceError):
        # Invalid deltas are rare; a full build raises the same errors as in a
        # process that reads all rows.
        return validate.build_sheet(rows, revision, digest, {})
    return model.Sheet(
        revision,
        digest,
        rows,
        small_tables.ranks,
        workspaces,
        small_tables.pools,
        small_tables.models,
        small_tables.works,
        small_tables.pipelines,
        workspace_by_key,
    )


class _InvalidWorkspaceError(Exception):
    """A changed workspace is invalid or uses the API key of another one."""


def _merge_workspaces(
    current: model.Sheet, changed: Mapping[str, Mapping[str, str] | None]
) -> dict[str, model.Workspace]:
    merged = dict(current.workspaces)
    for name, fields in changed.items():
        merged.pop(name, None)
        if fields:
            merged[name] = _new_workspace(name, fields)
    return merged


def _new_workspace(name: str, fields: Mapping[str, str]) -> model.Workspace:
    values, errors = validate.convert_fields(WORKSPACE, name, fields, {})
    if errors:
        raise _InvalidWorkspaceError
    return model.Workspace(name=name, **values)


def _merge_key_digests(
    current: model.Sheet,
    changed: Mapping[str, Mapping[str, str] | None],
    workspaces: Mapping[str, model.Workspace],
) -> dict[str, str]:
    workspace_by_key = dict(current.workspace_by_key)
    for name in changed.keys() & current.workspaces.keys():
        for digest in current.workspaces[name].key_digests:
            del workspace_by_key[digest]
    for name in changed.keys() & workspaces.keys():
        for digest in workspaces[name].key_digests:
            if workspace_by_key.setdefault(digest, name) != name:
                raise _InvalidWorkspaceError
    return workspace_by_key


def _without_workspaces(rows: model.Rows) -> model.Rows:
    return {
        row_id: fields
        for row_id, fields in rows.items()
        if row_id[0] != WORKSPACE
    }
