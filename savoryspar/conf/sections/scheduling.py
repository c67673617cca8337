"""Settings of the section ``[scheduling]``."""

from savoryspar.conf import setting

SETTINGS: tuple[setting.Setting, ...] = ()
