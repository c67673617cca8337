"""Errors in a sheet."""

from savoryspar import errors


class SheetError(errors.SavorysparError):
    """One fault of a sheet.

    Attributes:
        check_id: Stable ID of the rule, for example ``sheet.E003``.
        row: Row number in the CSV file, from 1; 0 for a fault not in a row.
        column: Name of the column, or ``-``.
    """

    def __init__(
        self, check_id: str, row: int, column: str, message: str, remedy: str
    ):
        super().__init__(f"row {row}, column {column}: {message}", remedy)
        self.check_id = check_id
        self.row = row
        self.column = column


class RevisionConflictError(errors.SavorysparError):
    """Two different contents carry one revision."""

    def __init__(self, revision: int, in_force: str, offered: str):
        super().__init__(
            f"revision {revision} exists with digests {in_force[:12]} and"
            f" {offered[:12]}",
            "publish the wanted content under a higher revision",
        )
        self.revision = revision
