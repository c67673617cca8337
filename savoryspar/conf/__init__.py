"""Settings, read from an INI file and environment variables."""

from savoryspar.conf.exceptions import SettingError
from savoryspar.conf.loader import (
    GATEWAY_SECTIONS,
    default_section,
    load_settings,
)
from savoryspar.conf.schema import SETTINGS, Section, Settings
from savoryspar.conf.setting import Setting
