"""Interface of the order service to the links between processes."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from savoryspar import errors

Handler = Callable[[str, dict[str, Any]], dict[str, Any] | None]


class Links(Protocol):
    """Messages between processes (section 12 of the design document)."""

    def request(
        self,
        incarnation: str,
        kind: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Sends a request to one peer and returns its reply.

        Raises:
            SavorysparError: There was no reply; its attribute ``has_sent`` is
                False only if no byte of the request was sent.
        """

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of requests and broadcasts of a kind."""

    def broadcast(self, kind: str, body: dict[str, Any]) -> None:
        """Sends a message to all members."""

    def is_live(self, incarnation: str, now: float) -> bool:
        """Returns whether the membership considers the peer live."""

    def peers(self, now: float) -> Sequence[str]:
        """Returns the live incarnations not shutting down, nearest first."""


class NoLinksError(errors.SavorysparError):
    """This process has no peers."""

    has_sent = False


class NoLinks:
    """The links of a process without peers."""

    __slots__ = ()

    def request(
        self,
        incarnation: str,
        kind: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Raises ``NoLinksError``."""
        raise NoLinksError(
            f"there is no link to incarnation {incarnation}",
            "retry when the process has joined its peers",
        )

    def handle(self, kind: str, handler: Handler) -> None:
        """Does nothing, as there are no requests."""

    def broadcast(self, kind: str, body: dict[str, Any]) -> None:
        """Does nothing, as there are no members."""

    def is_live(self, incarnation: str, now: float) -> bool:
        """Returns False."""
        return False

    def peers(self, now: float) -> Sequence[str]:
        """Returns an empty sequence."""
        return ()
