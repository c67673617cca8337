"""Settings of the section ``[placement]``."""

from savoryspar.conf import setting

SETTINGS: tuple[setting.Setting, ...] = ()
