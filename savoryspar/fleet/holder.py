"""The active configuration; its version never decreases."""

from collections.abc import Mapping

from savoryspar import log
from savoryspar.fleet import model


class ConfigurationHolder:
    """Holds the newest configuration that this process has received.

    Attributes:
        current: The active configuration, None before the first one.
        document: Encoded form of ``current``, for peers.
        active_since: Monotonic time at which it became active.
    """

    __slots__ = ("_events", "active_since", "current", "document")

    def __init__(self, events: log.EventLog):
        self._events = events
        self.current: model.Configuration | None = None
        self.document = b""
        self.active_since = 0.0

    @property
    def version(self) -> int:
        """The active version, 0 before the first one."""
        return self.current.version if self.current else 0

    def activate_if_newer(
        self,
        candidate: model.Configuration,
        document: bytes,
        source: str,
        now: float,
        told: Mapping[str, object] | None = None,
    ) -> bool:
        """Activates a configuration if its version is higher.

        Args:
            candidate: The configuration.
            document: Its encoded form.
            source: Call that returned it, for the log.
            now: Monotonic time in seconds.
            told: What peers told of it before, for the log.

        Returns:
            Whether it was activated.
        """
        if candidate.version <= self.version:
            return False
        self._events.state_change(
            "configuration in force",
            now,
            version=candidate.version,
            before=self.version,
            source=source,
            routes=len(candidate.routes()),
            **(told or {}),
        )
        self.current = candidate
        self.document = document
        self.active_since = now
        return True


def new_holder(events: log.EventLog) -> ConfigurationHolder:
    """Returns a holder without a configuration."""
    return ConfigurationHolder(events)
