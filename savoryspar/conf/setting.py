"""The description of one setting."""

from collections.abc import Callable
from typing import Any


class Setting:
    """One setting of the INI file.

    Attributes:
        section: Name of the INI section.
        key: Name of the key, with the unit as its suffix (``_s``, ``_ms``,
            ``_bytes``).
        convert: Converts the text to a value, or raises ``ValueError`` with a
            phrase that names what is accepted.
        default: Text that is used if the key is absent; None if the setting is
            required.
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
