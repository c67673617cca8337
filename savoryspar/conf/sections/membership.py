"""Settings of the section ``[membership]``."""

from savoryspar.conf import setting

SETTINGS: tuple[setting.Setting, ...] = ()
