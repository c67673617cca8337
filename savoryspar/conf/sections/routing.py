"""Settings of the section ``[routing]``."""

from savoryspar.conf import setting

SETTINGS: tuple[setting.Setting, ...] = ()
