"""The configuration in force; it never goes back."""

from savoryspar import log
from savoryspar.fleet import model


class ConfigurationHolder:
    """Holds the highest version that this process has seen.

    Attributes:
        current: The configuration in force, None before the first one.
        document: The document it was decoded from, to pass on to peers.
    """

    __slots__ = ("_events", "current", "document", "in_force_since")

    def __init__(self, events: log.EventLog):
        self._events = events
        self.current: model.Configuration | None = None
        self.document = b""
        self.in_force_since = 0.0

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one."""
        return self.current.version if self.current else 0

    def offer(
        self,
        candidate: model.Configuration,
        document: bytes,
        source: str,
        now: float,
    ) -> bool:
        """Puts a configuration in force unless it is older."""
        if candidate.version <= self.version:
            return False
        self._events.belief(
            "configuration in force",
            now,
            version=candidate.version,
            before=self.version,
            source=source,
            routes=len(candidate.routes()),
        )
        self.current = candidate
        self.document = document
        self.in_force_since = now
        return True


def new_holder(events: log.EventLog) -> ConfigurationHolder:
    """Returns a holder without a configuration."""
    return ConfigurationHolder(events)
