"""Errors in a sheet."""

from savoryspar import errors


class SheetError(errors.SavorysparError):
    """One validation error of a sheet.

    Attributes:
        check_id: Stable ID of the rule, for example ``sheet.E003``.
        row: Row number in the CSV file, from 1; 0 if the error has no row.
        column: Name of the CSV column, or ``-`` if the error has none.
    """

    def __init__(
        self, check_id: str, row: int, column: str, message: str, remedy: str
    ):
        super().__init__(f"row {row}, column {column}: {message}", remedy)
        self.check_id = check_id
        self.row = row
        self.column = column


class RevisionConflictError(errors.SavorysparError):
    """Two sheets with different contents have the same revision number."""

    def __init__(self, revision: int, current_digest: str, other_digest: str):
        super().__init__(
            f"revision {revision} exists with two digests,"
            f" {current_digest[:12]} and {other_digest[:12]}",
            "publish the correct content under a higher revision",
        )
        self.revision = revision
