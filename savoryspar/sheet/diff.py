"""Differences between two sheets."""

from savoryspar.sheet import model


class Change:
    """One changed field; ``old`` or ``new`` is None if it is absent there."""

    __slots__ = ("field", "name", "new", "old", "table")

    def __init__(
        self,
        table: str,
        name: str,
        field: str,
        old: str | None,
        new: str | None,
    ):
        self.table = table
        self.name = name
        self.field = field
        self.old = old
        self.new = new


def diff_rows(old: model.Rows, new: model.Rows) -> list[Change]:
    """Returns the changed fields, sorted by table, name and field."""
    return [
        Change(table, name, field, before.get(field), after.get(field))
        for table, name in sorted({*old, *new})
        for before in [old.get((table, name), {})]
        for after in [new.get((table, name), {})]
        for field in sorted({*before, *after})
        if before.get(field) != after.get(field)
    ]
