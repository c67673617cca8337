"""Records which faults were in effect when, for the checker of a soak."""

from collections.abc import Callable, Collection, Iterator
import contextlib
import enum
import math

CONTACT_S = 4.0
"""Time without a disturbance after which a VM is in touch."""


class Effect(enum.Enum):
    """What a fault may do to the VM or the service that it affects."""

    DOWN = enum.auto()
    """The process is killed, not started yet, or frozen."""
    STOPPING = enum.auto()
    """From SIGTERM until the next process listens."""
    STORE = enum.auto()
    """The store does not serve the VM."""
    SILENT_STORE = enum.auto()
    """The store answers neither reads nor watches of the VM, while it serves
    the others."""
    SLOW = enum.auto()
    """The VM gets a part of the time of a processor."""
    LINK = enum.auto()
    """Connections to servers of a service are slow, broken or refused."""
    ENDED = enum.auto()
    """Servers of a service end connections in the middle of answers, as they do
    at the end of an answer."""


OUT_OF_TOUCH = (Effect.DOWN, Effect.STOPPING, Effect.STORE, Effect.SLOW)


class Disturbance:
    """One effect, from ``since`` to ``until``, in seconds of the soak.

    Attributes:
        subject: Name of the VM or of the service; empty for all.
    """

    __slots__ = ("effect", "since", "subject", "until")

    def __init__(self, effect: Effect, subject: str, since: float):
        self.effect = effect
        self.subject = subject
        self.since = since
        self.until = math.inf


class Disturbances:
    """All disturbances of a soak.

    Args:
        vms: Names of all VMs.
        now: Returns the seconds since the start of the soak.
    """

    def __init__(self, vms: Collection[str], now: Callable[[], float]):
        self._vms = vms
        self._now = now
        self._all: list[Disturbance] = []

    @contextlib.contextmanager
    def during(self, effect: Effect, subject: str = "") -> Iterator[None]:
        """Records an effect that lasts as long as the context."""
        disturbance = Disturbance(effect, subject, self._now())
        self._all.append(disturbance)
        try:
            yield
        finally:
            disturbance.until = self._now()

    def overlap(
        self,
        effects: Collection[Effect],
        subject: str,
        since: float,
        until: float,
    ) -> bool:
        """Returns whether an effect on the subject overlaps a time span."""
        return any(
            d.effect in effects
            and d.subject in ("", subject)
            and d.since <= until
            and since <= d.until
            for d in self._all
        )

    def overlap_any(
        self, effects: Collection[Effect], since: float, until: float
    ) -> bool:
        """Returns whether an effect on any VM overlaps a time span."""
        return any(self.overlap(effects, vm, since, until) for vm in self._vms)

    def is_in_touch(self, vm: str, since: float, until: float) -> bool:
        """Returns whether the VM is in touch during a time span.

        A VM that the store does not answer is, as long as a peer is in touch.
        """
        since -= CONTACT_S
        if self.overlap(OUT_OF_TOUCH, vm, since, until):
            return False
        return not self.overlap([Effect.SILENT_STORE], vm, since, until) or any(
            not self.overlap(
                [*OUT_OF_TOUCH, Effect.SILENT_STORE], peer, since, until
            )
            for peer in self._vms
            if peer != vm
        )
