"""Requests to one peer, broadcasts to all peers, and their handlers."""

import collections
from collections.abc import Callable
import itertools
from typing import Any

import eventlet
from eventlet import event

from savoryspar import decoding, log
from savoryspar.membership import exceptions, links

MAX_SEEN_BROADCASTS = 8192
MAX_RUNNING_HANDLERS = 256
"""Handlers of one kind that run at the same time."""
MAX_QUEUED_REQUESTS = 4096
"""Requests of one kind that wait for a handler; more are refused."""
NO_REPLY = 0
"""Request number of a one-way message, which gets no reply."""

Handler = Callable[[str, Any], Any]
"""Called with the sender's incarnation and the body; returns the reply."""


class HandlerQueue:
    """Runs the handlers of one kind in green threads, in order.

    Submitting never waits, as it is done by the thread that reads a link: all
    other messages of the peer would wait too.
    """

    __slots__ = ("_queue", "_running")

    def __init__(self) -> None:
        self._queue: collections.deque[tuple[Callable[..., None], tuple]] = (
            collections.deque()
        )
        self._running = 0

    def submit(self, handler: Callable[..., None], *args: Any) -> bool:
        """Runs a handler once fewer than ``MAX_RUNNING_HANDLERS`` run.

        Returns:
            Whether it was accepted; False if too many wait.
        """
        if self._running < MAX_RUNNING_HANDLERS:
            self._running += 1
            eventlet.spawn_n(self._run, handler, args)
        elif len(self._queue) < MAX_QUEUED_REQUESTS:
            self._queue.append((handler, args))
        else:
            return False
        return True

    def _run(self, handler: Callable[..., None], args: tuple) -> None:
        try:
            handler(*args)
            while self._queue:
                handler, args = self._queue.popleft()
                handler(*args)
        finally:
            self._running -= 1


class Calls:
    """Pending requests, handlers by kind, and seen broadcasts.

    Attributes:
        late_replies: Number of replies that arrived after their request had
            timed out or failed, or on another link.
    """

    __slots__ = (
        "_counter",
        "_handlers",
        "_logger",
        "_own",
        "_queues",
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
        self._queues: collections.defaultdict[Handler | None, HandlerQueue] = (
            collections.defaultdict(HandlerQueue)
        )
        self._logger = log.new_logger("membership")
        self.late_replies = 0

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler of requests and broadcasts of a kind."""
        self._handlers[kind] = handler

    def request(
        self, link: links.Link, kind: str, body: Any, timeout_s: float
    ) -> Any:
        """Sends a request and waits for its reply.

        Raises:
            PeerUnreachableError: No reply arrived in time, or the peer's
                handler failed.
        """
        number = next(self._counter)
        waiting = event.Event()
        self._waiting[number] = (link, waiting)
        item = link.post("request", [number, kind, body])
        if item is None:
            del self._waiting[number]
            raise _unreachable(
                link, "does not read its link fast enough", False
            )
        reply = None
        try:
            with eventlet.Timeout(timeout_s, False):
                reply = waiting.wait()
        finally:
            self._waiting.pop(number, None)
            item.is_cancelled = True
        if reply is None:
            raise _unreachable(
                link, f"did not reply to {kind}", item.has_started
            )
        error, answer = reply
        if error:
            raise _unreachable(link, f"failed to handle {kind}: {error}", True)
        return answer

    def send_message(self, link: links.Link, kind: str, body: Any) -> bool:
        """Sends a one-way message.

        Returns:
            Whether the link accepted it.
        """
        return link.post("request", [NO_REPLY, kind, body]) is not None

    def handle_reply(self, link: links.Link, body: list) -> None:
        """Passes a reply to the pending request that was sent on the link."""
        number, error, answer = body
        _check_types(number, error)
        other, waiting = self._waiting.get(number, (None, None))
        if waiting is None or other is not link:
            self.late_replies += 1
            return
        del self._waiting[number]
        waiting.send((error, answer))

    def fail_requests(self, link: links.Link) -> None:
        """Fails the pending requests of a closed link."""
        for number, (other, waiting) in list(self._waiting.items()):
            if other is link:
                del self._waiting[number]
                waiting.send(None)

    def serve(self, link: links.Link, body: list) -> None:
        """Runs the handler of a request in a green thread."""
        number, kind, content = body
        _check_types(number, kind)
        queue = self._queues[self._handlers.get(kind)]
        if not queue.submit(self._serve, link, number, kind, content):
            self._refuse(link, number, kind)

    def _refuse(self, link: links.Link, number: int, kind: str) -> None:
        error = f"too many requests of kind {kind!r:.40} wait"
        self._logger.error(f"Request refused. {error}")
        if number != NO_REPLY:
            link.post("reply", [number, error, None])

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
                error = decoding.describe(exc)
                self._logger.error(f"Request failed. kind={kind} {error}")
        if number != NO_REPLY:
            link.post("reply", [number, error, answer])

    def new_broadcast(self, kind: str, content: Any) -> list:
        """Returns the body of a new broadcast."""
        number = next(self._counter)
        self._mark_seen((self._own, number))
        return [self._own, number, kind, content]

    def handle_broadcast(self, body: list) -> bool:
        """Handles a broadcast if it is new and returns whether it was."""
        origin, number, kind, content = body
        _check_types(number, kind, origin)
        if (origin, number) in self._seen:
            return False
        self._mark_seen((origin, number))
        handler = self._handlers.get(kind)
        if handler is not None and not self._queues[handler].submit(
            self._run, handler, origin, kind, content
        ):
            self._logger.error(f"Broadcast not handled. kind={kind}")
        return True

    def _run(
        self, handler: Handler, origin: str, kind: str, content: Any
    ) -> None:
        try:
            handler(origin, content)
        except Exception as exc:
            self._logger.error(
                f"Broadcast failed. kind={kind} {decoding.describe(exc)}"
            )

    def _mark_seen(self, item: tuple[str, int]) -> None:
        self._seen[item] = None
        while len(self._seen) > MAX_SEEN_BROADCASTS:
            self._seen.popitem(last=False)


def _check_types(number: Any, *texts: Any) -> None:
    """Raises ``TypeError`` if the head of a message is malformed."""
    if type(number) is not int or not all(isinstance(t, str) for t in texts):
        raise TypeError(
            f"the number {number!r:.40} or one of {texts!r:.80} is malformed"
        )


def _unreachable(
    link: links.Link, problem: str, has_sent: bool
) -> exceptions.PeerUnreachableError:
    return exceptions.PeerUnreachableError(
        f"peer {link.peer.incarnation} at {link.peer.address} {problem}",
        "check the log of the peer and the network between the two zones",
        has_sent,
    )
