"""What the order service needs of the links between processes."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from savoryspar import errors

Handler = Callable[[str, dict[str, Any]], dict[str, Any] | None]


class Links(Protocol):
    """Messages between processes, as section 12 of the design defines them."""

    def request(
        self,
        incarnation: str,
        kind: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Sends a request to one peer and returns its reply.

        Raises:
            SavorysparError: No reply; its attribute ``has_sent`` is False only
                when no byte of the request left this process.
        """

    def handle(self, kind: str, handler: Handler) -> None:
        """Serves requests and broadcasts of a kind."""

    def broadcast(self, kind: str, body: dict[str, Any]) -> None:
        """Tells a fact to all members."""

    def is_live(self, incarnation: str, now: float) -> bool:
        """Tells whether the peer was heard of recently."""

    def peers(self, now: float) -> Sequence[str]:
        """Returns live incarnations that are not leaving, the nearest first."""


class NoLinksError(errors.SavorysparError):
    """This process has no peers."""

    has_sent = False


class NoLinks:
    """The links of a process that runs alone."""

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
            "ask again when the process has joined its peers",
        )

    def handle(self, kind: str, handler: Handler) -> None:
        """Does nothing: no request ever comes."""

    def broadcast(self, kind: str, body: dict[str, Any]) -> None:
        """Does nothing: there is nobody to tell."""

    def is_live(self, incarnation: str, now: float) -> bool:
        """Returns False."""
        return False

    def peers(self, now: float) -> Sequence[str]:
        """Returns no peer."""
        return ()
