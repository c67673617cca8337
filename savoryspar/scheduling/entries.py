"""Record of an admitted job, from admission to release."""

from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from savoryspar.scheduling import exceptions, model

if TYPE_CHECKING:
    from savoryspar.scheduling import fair


class Status(enum.Enum):
    """State of an admitted job."""

    WAITING = "waiting"
    GRANTED = "granted"
    DROPPED = "dropped"
    RELEASED = "released"


class Entry:
    """An admitted job, waiting or running.

    Attributes:
        job: The job.
        sequence: Arrival number in this process.
        status: State of the job.
        account: Account that is charged; None unless the policy is fair.
        charged: Units charged; the estimate at the grant, corrected while the
            job runs.
        used: Units reported as used.
        is_floor_grant: Whether a rank floor let the job pass more urgent work.
        granted_at: Monotonic time of the grant in seconds.
        error: Error to raise for a dropped job, or None.
        notify: Called without arguments when the job is granted or dropped.
    """

    __slots__ = (
        "account",
        "charged",
        "error",
        "granted_at",
        "is_floor_grant",
        "job",
        "notify",
        "sequence",
        "status",
        "used",
    )

    def __init__(
        self,
        job: model.Job,
        sequence: int,
        notify: Callable[[], None] | None = None,
    ):
        self.job = job
        self.sequence = sequence
        self.notify = notify
        self.status = Status.WAITING
        self.account: fair.Account | None = None
        self.charged = 0.0
        self.used = 0.0
        self.granted_at = 0.0
        self.is_floor_grant = False
        self.error: exceptions.AdmissionError | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the job is queued."""
        return self.status is Status.WAITING

    def end_wait(self, status: Status) -> None:
        """Sets the status of a job that left its queue and calls ``notify``."""
        self.status = status
        if self.notify is not None:
            self.notify()
