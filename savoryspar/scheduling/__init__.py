"""Decides when a stage may run: ranks, fair shares, deadlines, admission."""

from savoryspar.scheduling.exceptions import AdmissionError
from savoryspar.scheduling.model import Job, RemainingStage
from savoryspar.scheduling.scheduler import Grant, Scheduler, new_scheduler
