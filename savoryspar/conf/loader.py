"""Reads the INI file, applies the environment and converts the values."""

from collections.abc import Collection, Iterable, Mapping
import configparser
import difflib
from typing import Any

from savoryspar.conf import exceptions, schema, setting

ENVIRONMENT_PREFIX = "SAVORYSPAR_"
GATEWAY_SECTIONS = frozenset({"gateway", "membership", "log"})
"""Sections of an entry VM on the users' platform."""
ENTRY_SECTIONS = frozenset(
    item.section for item in schema.SETTINGS if item.section != "gateway"
)
"""Sections of an entry VM behind the product's own interface."""


def load_settings(
    path: str,
    environ: Mapping[str, str],
    sections: Collection[str] = ENTRY_SECTIONS,
) -> schema.Settings:
    """Loads the settings of one process.

    Args:
        path: The INI file.
        environ: Variables ``SAVORYSPAR_SECTION_KEY`` override the file.
        sections: Sections that the process reads.

    Returns:
        The settings, converted.

    Raises:
        ExceptionGroup: Of one ``SettingError`` for each fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as exc:
        raise ExceptionGroup(
            "settings",
            [
                exceptions.SettingError(
                    "conf.E001",
                    f"settings file {path!r} cannot be read: {exc}",
                    "name a readable INI file with --config",
                )
            ],
        ) from exc
    texts = {
        (section, key): value
        for section in parser.sections()
        for key, value in parser.items(section)
    }
    return convert_settings(texts, environ, sections)


def convert_settings(
    texts: Mapping[tuple[str, str], str],
    environ: Mapping[str, str],
    sections: Collection[str] = ENTRY_SECTIONS,
) -> schema.Settings:
    """Converts texts by (section, key); raises as ``load_settings`` does."""
    faults = list(_unknown_keys(texts))
    values: dict[str, dict[str, Any]] = {}
    for item in schema.SETTINGS:
        if item.section not in sections:
            continue
        section = values.setdefault(item.section, {})
        try:
            section[item.key] = _value(item, texts, environ)
        except exceptions.SettingError as exc:
            faults.append(exc)
    if faults:
        raise ExceptionGroup("settings", faults)
    return schema.Settings(
        {name: schema.Section(items) for name, items in values.items()}
    )


def default_section(name: str, /, **changes: str) -> schema.Section:
    """Returns a section with its defaults, for parts that run alone.

    Args:
        name: Name of the section.
        **changes: Texts that replace defaults, by key.

    Raises:
        ValueError: A text is not a value of its setting.
    """
    return schema.Section(
        {
            item.key: item.convert(changes.get(item.key, item.default))
            for item in schema.SETTINGS
            if item.section == name
        }
    )


def environment_name(item: setting.Setting) -> str:
    """Returns the variable that overrides the setting."""
    return f"{ENVIRONMENT_PREFIX}{item.section}_{item.key}".upper()


def _value(
    item: setting.Setting,
    texts: Mapping[tuple[str, str], str],
    environ: Mapping[str, str],
) -> Any:
    value = environ.get(environment_name(item))
    if value is None:
        value = texts.get((item.section, item.key), item.default)
    name = f"[{item.section}] {item.key}"
    if value is None:
        raise exceptions.SettingError(
            "conf.E003",
            f"setting {name} is missing",
            f"add it to the settings file: {item.description}",
        )
    try:
        return item.convert(value)
    except ValueError as exc:
        raise exceptions.SettingError(
            "conf.E004",
            f"setting {name} has the value {value!r}",
            f"give it {exc}",
        ) from exc


def _unknown_keys(
    texts: Iterable[tuple[str, str]],
) -> Iterable[exceptions.SettingError]:
    known = [(item.section, item.key) for item in schema.SETTINGS]
    names = [f"[{section}] {key}" for section, key in known]
    for section, key in texts:
        if (section, key) in known:
            continue
        name = f"[{section}] {key}"
        nearest = difflib.get_close_matches(name, names, n=1, cutoff=0.0)
        yield exceptions.SettingError(
            "conf.E002",
            f"setting {name} does not exist",
            f"remove it or use the nearest known one, {nearest[0]}",
        )
