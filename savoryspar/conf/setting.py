"""The description of one setting."""

from collections.abc import Callable
from typing import Any


class Setting:
    """One setting of the INI file.

    Attributes:
        section: Name of the INI section.
        key: Name of the key; a unit ends it (``_s``, ``_ms``, ``_bytes``).
        convert: Turns the text of the file into a value; raises ``ValueError``.
        default: Value when the key is absent; None means that it is required.
        description: One line for the reference page.
    """

    __slots__ = ("convert", "default", "description", "key", "section")

    def __init__(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        default: str | None,
        description: str,
    ):
        self.section = section
        self.key = key
        self.convert = convert
        self.default = default
        self.description = description
