"""The list of all settings, and classes for the values of one process."""

from collections.abc import Mapping
import itertools
from typing import Any

from savoryspar.conf import setting
from savoryspar.conf.sections import (
    entry,
    gateway,
    http,
    idempotency,
    log,
    membership,
    placement,
    platform,
    routing,
    scheduling,
)


class Section:
    """The values of one INI section, accessible as attributes."""

    __slots__ = ("_values",)

    def __init__(self, values: Mapping[str, Any]):
        object.__setattr__(self, "_values", dict(values))

    def __getattr__(self, key: str) -> Any:
        try:
            return self._values[key]
        except KeyError:
            raise AttributeError(key) from None


class Settings:
    """All sections, accessible as attributes: ``cfg.entry.listen_port``."""

    __slots__ = ("_sections",)

    def __init__(self, sections: Mapping[str, Section]):
        object.__setattr__(self, "_sections", dict(sections))

    def __getattr__(self, name: str) -> Section:
        try:
            return self._sections[name]
        except KeyError:
            raise AttributeError(name) from None


SETTINGS: tuple[setting.Setting, ...] = tuple(
    itertools.chain.from_iterable(
        module.SETTINGS
        for module in (
            entry,
            http,
            platform,
            log,
            scheduling,
            routing,
            membership,
            idempotency,
            placement,
            gateway,
        )
    )
)
