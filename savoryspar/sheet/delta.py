"""Builds the next sheet from the one in force and the changed rows.

A whole build at 36,000 workspaces takes most of a second, in which the process
serves nobody. A delta validates only the workspaces that changed; the other
tables are small and are always built whole.
"""

from collections.abc import Mapping

from savoryspar.sheet import keys, model, validate

WORKSPACE = "workspace"

Changes = Mapping[tuple[str, str], Mapping[str, str] | None]
"""Changed rows by (table, name); None removes the row."""


def changes_between(old: model.Rows, new: model.Rows) -> Changes:
    """Returns the changes that turn the old rows into the new ones."""
    changed = {
        item: fields for item, fields in new.items() if old.get(item) != fields
    }
    return changed | dict.fromkeys(old.keys() - new.keys())


def delta_digest(current: model.Sheet, changes: Changes) -> str:
    """Returns the content digest after the changes, in hexadecimal."""
    total = int(current.digest, 16) + sum(
        # A row without fields is no row, as in apply_changes.
        keys.row_digest(item, fields or None)
        - keys.row_digest(item, current.rows.get(item))
        for item, fields in changes.items()
    )
    return f"{total % keys.DIGEST_MODULUS:064x}"


def apply_delta(
    current: model.Sheet, changes: Changes, revision: int, digest: str
) -> model.Sheet:
    """Builds the sheet that the changes make of the one in force.

    Args:
        current: The sheet in force.
        changes: Changed rows.
        revision: Revision of the new sheet.
        digest: Content digest that the new sheet must have.

    Raises:
        ExceptionGroup: Of the ``SheetError`` of each fault, the same as a
            whole build of the new rows gives.
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
        by_key = _merge_keys(current, changed, workspaces)
        rest = validate.build_sheet(_rest(rows), revision, digest, {})
    except (ExceptionGroup, _InvalidError):
        # Refusals are rare; the whole build reports them alike everywhere.
        return validate.build_sheet(rows, revision, digest, {})
    return model.Sheet(
        revision,
        digest,
        rows,
        rest.ranks,
        workspaces,
        rest.pools,
        rest.models,
        rest.works,
        rest.pipelines,
        by_key,
    )


class _InvalidError(Exception):
    """A changed workspace is not valid."""


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
    values, faults = validate.convert_fields(WORKSPACE, name, fields, {})
    if faults:
        raise _InvalidError
    return model.Workspace(name=name, **values)


def _merge_keys(
    current: model.Sheet,
    changed: Mapping[str, Mapping[str, str] | None],
    workspaces: Mapping[str, model.Workspace],
) -> dict[str, str]:
    by_key = dict(current.workspace_by_key)
    for name in changed.keys() & current.workspaces.keys():
        for digest in current.workspaces[name].key_digests:
            del by_key[digest]
    for name in changed.keys() & workspaces.keys():
        for digest in workspaces[name].key_digests:
            if by_key.setdefault(digest, name) != name:
                raise _InvalidError
    return by_key


def _rest(rows: model.Rows) -> model.Rows:
    return {
        item: fields for item, fields in rows.items() if item[0] != WORKSPACE
    }
