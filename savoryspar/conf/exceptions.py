"""Errors in the settings."""

from savoryspar import errors


class SettingError(errors.SavorysparError):
    """A setting is unknown, missing or invalid.

    Attributes:
        check_id: Stable ID of the check that failed, for example ``conf.E001``.
    """

    def __init__(self, check_id: str, message: str, remedy: str):
        super().__init__(message, remedy)
        self.check_id = check_id
