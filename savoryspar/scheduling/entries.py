"""A job in a queue or in a slot, and how it got there."""

from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from savoryspar.scheduling import exceptions, model

if TYPE_CHECKING:
    from savoryspar.scheduling import fair


class Status(enum.Enum):
    """Where a job is."""

    WAITING = "waiting"
    GRANTED = "granted"
    DROPPED = "dropped"
    RELEASED = "released"


class Entry:
    """A job that was admitted.

    Attributes:
        job: The job.
        sequence: Order of arrival in this process.
        status: Where the job is.
        account: Account that is charged, under the fair policy.
        charged: Units charged so far, the estimate at least.
        used: Units reported as used.
        is_floor: Whether it was served before more urgent work that waited.
        granted_at: Monotonic time in seconds of the grant.
        error: Why the job was dropped, or None.
        notify: Called without arguments when the job is granted or dropped.
    """

    __slots__ = (
        "account",
        "charged",
        "error",
        "granted_at",
        "is_floor",
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
        self.is_floor = False
        self.error: exceptions.AdmissionError | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the job is in a queue."""
        return self.status is Status.WAITING

    def end_wait(self, status: Status) -> None:
        """Records that the job left its queue and tells the waiter."""
        self.status = status
        if self.notify is not None:
            self.notify()
