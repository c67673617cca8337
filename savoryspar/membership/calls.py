"""Requests to one peer, broadcasts to all, and the handlers of both."""

import collections
from collections.abc import Callable
import itertools
from typing import Any

import eventlet
from eventlet import event

from savoryspar import log
from savoryspar.membership import exceptions, links

MAX_SEEN = 8192
MAX_RUNNING = 256
NO_REPLY = 0
"""Number of a request whose sender waits for nothing."""

Handler = Callable[[str, Any], Any]
"""Serves the body of a request or broadcast of a sender."""


class Calls:
    """Waiting requests, handlers by kind, and broadcasts seen.

    Attributes:
        late_replies: Replies that came after their request was given up.
    """

    __slots__ = (
        "_counter",
        "_handlers",
        "_logger",
        "_own",
        "_pool",
        "_seen",
        "_waiting",
        "late_replies",
    )

    def __init__(self, own: str):
        self._own = own
        self._counter = itertools.count(1)
        self._handlers: dict[str, Handler] = {}
        self._waiting: dict[int, tuple[links.Link, event.Event]] = {}
        self._seen: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._pool = eventlet.GreenPool(MAX_RUNNING)
        self._logger = log.new_logger("membership")
        self.late_replies = 0

    def handle(self, kind: str, handler: Handler) -> None:
        """Serves requests and broadcasts of a kind."""
        self._handlers[kind] = handler

    def request(
        self, link: links.Link, kind: str, body: Any, timeout_s: float
    ) -> Any:
        """Sends a request and waits for its reply.

        Raises:
            PeerUnreachableError: There was no reply in time.
        """
        number = next(self._counter)
        waiting = event.Event()
        self._waiting[number] = (link, waiting)
        item = link.post("request", [number, kind, body])
        if item is None:
            del self._waiting[number]
            raise _unreachable(link, "does not read its link", False)
        reply = None
        try:
            with eventlet.Timeout(timeout_s, False):
                reply = waiting.wait()
        finally:
            self._waiting.pop(number, None)
            item.is_cancelled = True
        if reply is None:
            raise _unreachable(
                link, f"gave no reply to {kind}", item.has_started
            )
        error, answer = reply
        if error:
            raise _unreachable(link, f"failed at {kind}: {error}", True)
        return answer

    def send_message(self, link: links.Link, kind: str, body: Any) -> bool:
        """Sends a request that is served without a reply.

        Returns:
            Whether the link took it.
        """
        return link.post("request", [NO_REPLY, kind, body]) is not None

    def take_reply(self, body: list) -> None:
        """Hands a reply to the request that waits for it."""
        number, error, answer = body
        _, waiting = self._waiting.pop(number, (None, None))
        if waiting is None:
            self.late_replies += 1
        else:
            waiting.send((error, answer))

    def drop_link(self, link: links.Link) -> None:
        """Gives up the requests that wait on a closed link."""
        for number, (other, waiting) in list(self._waiting.items()):
            if other is link:
                del self._waiting[number]
                waiting.send(None)

    def serve(self, link: links.Link, body: list) -> None:
        """Runs the handler of a request in a green thread."""
        number, kind, content = body
        self._pool.spawn_n(self._serve, link, number, kind, content)

    def _serve(
        self, link: links.Link, number: int, kind: str, content: Any
    ) -> None:
        answer, error = None, ""
        handler = self._handlers.get(kind)
        if handler is None:
            known = ", ".join(sorted(self._handlers))
            error = f"there is no request {kind!r:.40}; use one of {known}"
        else:
            try:
                answer = handler(link.peer.incarnation, content)
            except Exception as exc:
                error = f"{type(exc).__name__}: {exc}"
                self._logger.error(f"Request failed. kind={kind} {error}")
        if number != NO_REPLY:
            link.post("reply", [number, error, answer])

    def new_broadcast(self, kind: str, content: Any) -> list:
        """Returns the body of a new broadcast."""
        number = next(self._counter)
        self._mark((self._own, number))
        return [self._own, number, kind, content]

    def take_broadcast(self, body: list) -> bool:
        """Serves a broadcast unless it was seen; tells whether it was new."""
        origin, number, kind, content = body
        if (origin, number) in self._seen:
            return False
        self._mark((origin, number))
        handler = self._handlers.get(kind)
        if handler is not None:
            self._pool.spawn_n(self._run, handler, origin, kind, content)
        return True

    def _run(
        self, handler: Handler, origin: str, kind: str, content: Any
    ) -> None:
        try:
            handler(origin, content)
        except Exception as exc:
            self._logger.error(f"Broadcast failed. kind={kind} {exc!r}")

    def _mark(self, item: tuple[str, int]) -> None:
        self._seen[item] = None
        while len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)


def _unreachable(
    link: links.Link, what: str, has_sent: bool
) -> exceptions.PeerUnreachableError:
    return exceptions.PeerUnreachableError(
        f"peer {link.peer.incarnation} at {link.peer.address} {what}",
        "see its log and the link between the two zones",
        has_sent,
    )
