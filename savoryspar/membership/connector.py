"""Keeps the links to peers: listens, opens, replaces and closes them."""

import collections
from collections.abc import Callable, Iterable
import socket
import time

import eventlet
from eventlet import event
from websockets.sync import server

from savoryspar import log
from savoryspar.membership import exceptions, links, model, opening, tls

RETRY_S = 1.0
LATE_DIAL_S = 1.0
"""Wait of the side that does not open a link, before it opens one."""

IDLE_S = 5.0
MAX_DIALING = 2
"""Links opened at a time; unlimited, 200 starting members never settled."""

BACKLOG = 256
LOG_INTERVAL_S = 5.0


class Connector:
    """The links of one process, at most one to each incarnation.

    Attributes:
        address: ``IP:port`` at which peers reach this process.
        links: Open links by incarnation.
        refused_at: When a peer address last refused a connection.
        refusals: Refused frames and handshakes by reason.
    """

    __slots__ = (
        "_closed",
        "_contexts",
        "_dialing",
        "_is_stopped",
        "_logged_at",
        "_logger",
        "_max_frame_bytes",
        "_own",
        "_owner",
        "_run",
        "_sock",
        "_tried_at",
        "address",
        "links",
        "refusals",
        "refused_at",
    )

    def __init__(
        self,
        listen: tuple[str, int],
        contexts: tls.Contexts | None,
        max_frame_bytes: int,
    ):
        self._contexts = contexts
        self._max_frame_bytes = max_frame_bytes
        self._sock = eventlet.listen(listen, backlog=BACKLOG)
        host, port = self._sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._owner = server.Server(self._sock, _unused)
        self._own: Callable[[], model.Record] | None = None
        self._run: Callable[[links.Link], None] | None = None
        self._dialing: dict[str, event.Event] = {}
        self._tried_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._is_stopped = False
        self._logger = log.new_logger("membership")
        self.links: dict[str, links.Link] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        self.refused_at: dict[str, float] = {}
        self._closed: collections.Counter[str] = collections.Counter()

    def start(
        self,
        own: Callable[[], model.Record],
        run: Callable[[links.Link], None],
    ) -> None:
        """Listens for peers.

        Args:
            own: Returns the own record.
            run: Reads a new link until it closes.
        """
        self._own = own
        self._run = run
        eventlet.spawn(self._listen)

    def stop(self) -> None:
        """Closes every link and listens no more."""
        self._is_stopped = True
        self._sock.close()
        for link in list(self.links.values()):
            link.close()

    def open_addresses(self) -> set[str]:
        """Returns the peer addresses that are linked or being dialled."""
        linked = {link.peer.address for link in self.links.values()}
        return linked | set(self._dialing) | {self.address}

    def is_dialing(self) -> bool:
        """Tells whether as many links as allowed are being opened."""
        return len(self._dialing) >= MAX_DIALING

    def dial(self, address: str, now: float) -> None:
        """Opens a link in the background, at most once a second."""
        if address in self._dialing or self._is_stopped:
            return
        if now - self._tried_at.get(address, float("-inf")) >= RETRY_S:
            self._dialing[address] = event.Event()
            self._tried_at[address] = now
            eventlet.spawn(self._dial, address)

    def get(self, peer: model.Record, timeout_s: float) -> links.Link | None:
        """Returns the link to a peer, opened if there is none."""
        link = self.links.get(peer.incarnation)
        if link and not link.is_closed:
            return link
        self._tried_at.pop(peer.address, None)
        self.dial(peer.address, time.monotonic())
        waiting = self._dialing.get(peer.address)
        if waiting is not None:
            with eventlet.Timeout(timeout_s, False):
                waiting.wait()
        return self.links.get(peer.incarnation)

    def traffic(self) -> dict[str, int]:
        """Returns the bytes and segments of all links so far."""
        infos = [link.tcp_info() for link in self.links.values()]
        totals: collections.Counter[str] = collections.Counter(self._closed)
        for info in infos:
            totals.update(links.decode_tcp_info(info))
        return dict(totals)

    def refuse(self, exc: Exception, source: str) -> None:
        """Counts a refused frame or handshake and logs the remedy."""
        reason = getattr(exc, "reason", None)
        if not isinstance(exc, exceptions.FrameError):
            reason = "handshake"
        self.refusals[reason] += 1
        now = time.monotonic()
        last = self._logged_at.get(reason, float("-inf"))
        if now - last >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            self._logger.warning(
                f"Refused. reason={reason} peer={source}"
                f" count={self.refusals[reason]} {_remedy(exc)}"
            )

    def reap(self, wanted: Iterable[str], now: float) -> None:
        """Closes idle links that this process opened and needs no more."""
        needed = set(wanted)
        for incarnation, link in list(self.links.items()):
            if (
                link.is_outgoing
                and incarnation not in needed
                and now - link.used_at > IDLE_S
            ):
                link.close()

    def _listen(self) -> None:
        while not self._is_stopped:
            try:
                sock, source = self._sock.accept()
            except OSError:
                if self._is_stopped:
                    return
                # The process ran out of descriptors; it must go on listening.
                eventlet.sleep(RETRY_S)
                continue
            eventlet.spawn(self._accept, sock, f"{source[0]}:{source[1]}")

    def _accept(self, sock: socket.socket, source: str) -> None:
        context = self._contexts.server() if self._contexts else None
        try:
            link = opening.accept(
                sock, context, self._own, self._owner, self._max_frame_bytes
            )
        except (exceptions.FrameError, *links.SOCKET_ERRORS) as exc:
            self.refuse(exc, source)
            return
        self._serve(link)

    def _dial(self, address: str) -> None:
        context = self._contexts.client() if self._contexts else None
        link = None
        try:
            link = opening.dial(
                address, context, self._own(), self._max_frame_bytes
            )
        except ConnectionRefusedError:
            self.refused_at[address] = time.monotonic()
        except TimeoutError:
            pass
        except (exceptions.FrameError, *links.SOCKET_ERRORS) as exc:
            self.refuse(exc, address)
        if link:
            self.refused_at.pop(address, None)
            self._add(link)
        self._dialing.pop(address).send(None)
        if link:
            self._read(link)

    def _serve(self, link: links.Link) -> None:
        self._add(link)
        self._read(link)

    def _add(self, link: links.Link) -> None:
        incarnation = link.peer.incarnation
        if self._is_stopped or incarnation == self._own().incarnation:
            link.close()
            return
        known = self.links.get(incarnation)
        if known is None or known.is_closed:
            self.links[incarnation] = link
            return
        # Both sides keep the link that the lower incarnation opened.
        is_ours = self._own().incarnation < incarnation
        if known.is_outgoing == is_ours and link.is_outgoing != is_ours:
            link.close()
        else:
            self.links[incarnation] = link
            known.close()

    def _read(self, link: links.Link) -> None:
        try:
            if not link.is_closed:
                self._run(link)
        finally:
            self._closed.update(links.decode_tcp_info(link.tcp_info()))
            link.abort()
            if self.links.get(link.peer.incarnation) is link:
                del self.links[link.peer.incarnation]


def _remedy(exc: Exception) -> str:
    if isinstance(exc, exceptions.FrameError):
        return str(exc)
    return (
        f"{type(exc).__name__}: {exc}; check that both peers have certificates"
        " of one CA and the same [membership] tls"
    )


def _unused(sock: socket.socket, address: object) -> None:
    raise NotImplementedError
