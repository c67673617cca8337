"""Schedules stages by rank, fair share and deadline, with admission control."""

from savoryspar.scheduling.exceptions import AdmissionError
from savoryspar.scheduling.model import Job, RemainingStage
from savoryspar.scheduling.scheduler import Grant, Scheduler, new_scheduler
