"""Management of the links to peers: accepts, opens and closes them."""

import collections
from collections.abc import Callable, Iterable
import socket
import time

import eventlet
from eventlet import event

from savoryspar import decoding, log, tasks
from savoryspar.membership import (
    exceptions,
    links,
    model,
    opening,
    tls,
    traffic,
)

RETRY_S = 1.0
DIAL_FALLBACK_S = 1.0
"""Delay before the side that normally waits for a link dials it itself."""

IDLE_TIMEOUT_S = 5.0
MAX_DIALING = 2
"""Maximum number of links opened at a time.

Without a limit, 200 members that started together never reached a stable
set of links.
"""

BACKLOG = 256
LOG_INTERVAL_S = 5.0


class Connector:
    """The links of one process, at most one to each incarnation.

    Attributes:
        address: ``IP:port`` at which peers reach this process.
        links: Open links by incarnation.
        refused_at: When a connection was last refused, by peer address.
        refusals: Number of rejected frames and handshakes by reason.
        counts: Messages and bytes on all links by kind.
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
        "_run",
        "_sock",
        "_tried_at",
        "address",
        "counts",
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
        self.counts = traffic.new_traffic()
        self._closed: collections.Counter[str] = collections.Counter()

    def start(
        self,
        own: Callable[[], model.Record],
        run: Callable[[links.Link], None],
    ) -> None:
        """Starts accepting links from peers.

        Args:
            own: Returns the record of this process.
            run: Reads a new link until it closes.
        """
        self._own = own
        self._run = run
        tasks.spawn_task("peer accepts", self._listen)

    def stop(self) -> None:
        """Stops listening and closes every link."""
        self._is_stopped = True
        self._sock.close()
        for link in list(self.links.values()):
            link.close()

    def open_addresses(self) -> set[str]:
        """Returns the own address and those of linked or dialled peers."""
        linked = {link.peer.address for link in self.links.values()}
        return linked | set(self._dialing) | {self.address}

    def is_dial_limit_reached(self) -> bool:
        """Returns whether ``MAX_DIALING`` links are being opened."""
        return len(self._dialing) >= MAX_DIALING

    def dial(self, address: str, now: float) -> None:
        """Opens a link in the background, at most once per ``RETRY_S``."""
        if address in self._dialing or self._is_stopped:
            return
        if now - self._tried_at.get(address, float("-inf")) >= RETRY_S:
            self._dialing[address] = event.Event()
            self._tried_at[address] = now
            eventlet.spawn(self._dial, address)

    def get(self, peer: model.Record, timeout_s: float) -> links.Link | None:
        """Returns the link to a peer, opened if necessary; None on failure."""
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
        """Returns the total bytes and segments of open and closed links."""
        infos = [link.tcp_info() for link in self.links.values()]
        totals: collections.Counter[str] = collections.Counter(self._closed)
        for info in infos:
            totals.update(links.decode_tcp_info(info))
        return dict(totals)

    def record_refusal(self, exc: Exception, source: str) -> None:
        """Counts a rejected frame or handshake and logs the remedy."""
        reason = getattr(exc, "reason", None)
        if not isinstance(exc, exceptions.FrameError):
            reason = "handshake"
        self.refusals[reason] += 1
        now = time.monotonic()
        last = self._logged_at.get(reason, float("-inf"))
        if now - last >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            self._logger.warning(
                f"Frame or handshake rejected. reason={reason} peer={source}"
                f" count={self.refusals[reason]} {_remedy(exc)}"
            )

    def close_idle(self, link_targets: Iterable[str], now: float) -> None:
        """Closes idle links that this process opened to non-targets."""
        needed = set(link_targets)
        for incarnation, link in list(self.links.items()):
            if (
                link.is_outgoing
                and incarnation not in needed
                and now - link.used_at > IDLE_TIMEOUT_S
            ):
                link.close()

    def _listen(self) -> None:
        while not self._is_stopped:
            try:
                sock, source = self._sock.accept()
            except OSError:
                if self._is_stopped:
                    return
                # The process may be out of file descriptors; keep listening.
                eventlet.sleep(RETRY_S)
                continue
            eventlet.spawn(self._accept, sock, f"{source[0]}:{source[1]}")

    def _accept(self, sock: socket.socket, source: str) -> None:
        try:
            context = self._contexts.server() if self._contexts else None
            link = opening.accept(
                sock, context, self._own, self._max_frame_bytes
            )
        except Exception as exc:
            self.record_refusal(exc, source)
            return
        self._serve(link)

    def _dial(self, address: str) -> None:
        link = None
        try:
            context = self._contexts.client() if self._contexts else None
            link = opening.dial(
                address, context, self._own(), self._max_frame_bytes
            )
        except ConnectionRefusedError:
            self.refused_at[address] = time.monotonic()
        except TimeoutError:
            pass
        except Exception as exc:
            # Otherwise the address would count as being dialled for ever.
            self.record_refusal(exc, address)
        if link:
            self.refused_at.pop(address, None)
            self._add(link)
        else:
            self.counts.failed += 1
        self._dialing.pop(address).send(None)
        if link:
            self._read(link)

    def _serve(self, link: links.Link) -> None:
        self._add(link)
        self._read(link)

    def _add(self, link: links.Link) -> None:
        incarnation = link.peer.incarnation
        link.traffic = self.counts
        self.counts.opened += 1
        if self._is_stopped or incarnation == self._own().incarnation:
            link.close()
            return
        known = self.links.get(incarnation)
        if known is None or known.is_closed:
            self.links[incarnation] = link
            return
        # Of two links, both sides keep the one that the lower incarnation
        # opened.
        is_own_preferred = self._own().incarnation < incarnation
        if (
            known.is_outgoing == is_own_preferred
            and link.is_outgoing != is_own_preferred
        ):
            link.close()
        else:
            self.links[incarnation] = link
            known.close()

    def _read(self, link: links.Link) -> None:
        try:
            if not link.is_closed:
                self._run(link)
        except Exception as exc:
            # The link is closed and opened again.
            self._logger.error(
                f"Link failed. peer={link.peer.name} {decoding.describe(exc)}"
            )
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
        " of one CA and the same [membership] tls setting"
    )
