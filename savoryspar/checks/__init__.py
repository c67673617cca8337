"""Checks of the settings, run at start and by ``savoryspar check``."""

from savoryspar.checks import entry, log, platform
from savoryspar.checks.registry import (
    Check,
    CheckMessage,
    Level,
    all_checks,
    register,
    run_checks,
)
