"""Settings of the section ``[idempotency]``."""

from savoryspar.conf import setting

SETTINGS: tuple[setting.Setting, ...] = ()
