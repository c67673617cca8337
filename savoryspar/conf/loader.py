"""Loading of settings from an INI file and environment variables."""

from collections.abc import Collection, Iterable, Mapping
import configparser
import difflib
from typing import Any

from savoryspar.conf import exceptions, schema, setting

ENVIRONMENT_PREFIX = "SAVORYSPAR_"
GATEWAY_SECTIONS = frozenset({"gateway", "membership", "log"})
"""Sections that ``savoryspar serve`` reads, on the users' platform."""
ENTRY_SECTIONS = frozenset(
    item.section for item in schema.SETTINGS if item.section != "gateway"
)
"""Sections that ``savoryspar entry`` reads."""


def load_settings(
    path: str,
    environ: Mapping[str, str],
    sections: Collection[str] = ENTRY_SECTIONS,
) -> schema.Settings:
    """Loads the settings of one process.

    Args:
        path: Path of the INI file.
        environ: Environment; variables ``SAVORYSPAR_SECTION_KEY`` override the
            file.
        sections: Sections that the process reads.

    Returns:
        The settings with converted values.

    Raises:
        ExceptionGroup: Contains one ``SettingError`` for each fault found.
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
                    "pass the path of a readable INI file with --config",
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
    """Converts the texts of settings, given by (section, key).

    Raises:
        ExceptionGroup: Contains one ``SettingError`` for each fault found.
    """
    setting_errors = list(_unknown_setting_errors(texts))
    values: dict[str, dict[str, Any]] = {}
    for item in schema.SETTINGS:
        if item.section not in sections:
            continue
        section = values.setdefault(item.section, {})
        try:
            section[item.key] = _convert(item, texts, environ)
        except exceptions.SettingError as exc:
            setting_errors.append(exc)
    if setting_errors:
        raise ExceptionGroup("settings", setting_errors)
    return schema.Settings(
        {name: schema.Section(items) for name, items in values.items()}
    )


def default_section(name: str, /, **changes: str) -> schema.Section:
    """Returns a section with default values, for use without a settings file.

    Args:
        name: Name of the section.
        **changes: Texts that replace defaults, by key.

    Raises:
        ValueError: A text is not valid for its setting.
    """
    return schema.Section(
        {
            item.key: item.convert(changes.get(item.key, item.default))
            for item in schema.SETTINGS
            if item.section == name
        }
    )


def environment_name(item: setting.Setting) -> str:
    """Returns the name of the environment variable for the setting."""
    return f"{ENVIRONMENT_PREFIX}{item.section}_{item.key}".upper()


def _convert(
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
            f"setting {name} has the invalid value {value!r}",
            f"set it to {exc}",
        ) from exc


def _unknown_setting_errors(
    texts: Iterable[tuple[str, str]],
) -> Iterable[exceptions.SettingError]:
    known = [(item.section, item.key) for item in schema.SETTINGS]
    known_names = [f"[{section}] {key}" for section, key in known]
    for section, key in texts:
        if (section, key) in known:
            continue
        name = f"[{section}] {key}"
        nearest = difflib.get_close_matches(name, known_names, n=1, cutoff=0.0)
        yield exceptions.SettingError(
            "conf.E002",
            f"setting {name} does not exist",
            f"remove it; the setting with the closest name is {nearest[0]}",
        )
