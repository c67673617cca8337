"""Finds which requests, or shared parts of prompts, crash backend servers.

The package decides; it opens no connections and reads no clock.
"""

from savoryspar.blame.lane import TrialLane, new_trial_lane
from savoryspar.blame.model import (
    MAX_PARTS,
    CrashReport,
    Finding,
    Verdict,
    Work,
    new_work,
)
from savoryspar.blame.table import (
    CrashTable,
    new_crash_table,
)
