"""A TCP proxy that injects faults between two processes.

``POST /control`` on a separate port sets the faults, so that they can be
changed while the proxy refuses connections. A cut delays bytes as packet loss
does: TCP retransmits them, so they arrive after the cut.
"""

from collections.abc import Callable, Mapping
import contextlib
import random
import re
import socket
import struct
import time
from typing import Any

import eventlet
from eventlet import event, queue
import greenlet

from savoryspar.standins import wsgi

RECEIVE_BYTES = 65536
MAX_QUEUED_CHUNKS = 256
DIRECTIONS = ("up", "down")
"""Up is from the client to the target, down is back."""
CUTS = {"none": (), "up": ("up",), "down": ("down",), "both": DIRECTIONS}
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets the connection."""
MAX_RESET_BYTES = 4096
"""Upper limit of the bytes that a client sends before a random reset."""
ABORT_DELAY_S = 0.02
"""Delay of the reset of a connection after the part of an answer that passes;
a reset discards what the client has not read yet."""
HEAD_BYTES = 250
HEAD_SHARE = 0.5
"""Share of the early ends that lie in the first bytes of a chunk of data."""
MAX_COPY_DELAY_S = 0.3
CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: (\d+)\r\n", re.IGNORECASE)


class Faults:
    """The faults in effect.

    Attributes:
        delay_ms: Delay of each chunk of data.
        jitter_ms: Maximum random time added to the delay.
        cut: Direction in which data is held back: none, up, down or both.
        refuse: Whether new connections are refused.
        reset_percent: Percentage of new connections that are reset after a
            random number of bytes.
        reorder_ms: Maximum random delay before a new connection is opened to
            the target, which changes the order of connections.
        end_percent: Percentage of the target's chunks of data in which the
            connection ends at a random byte.
        abort_percent: Percentage of the target's chunks of data in which the
            connection is reset at a random byte.
        copy_percent: Percentage of the target's answers that are sent a second
            time, late. Only answers with a length that arrive as one chunk are.
    """

    __slots__ = (
        "abort_percent",
        "copy_percent",
        "cut",
        "delay_ms",
        "end_percent",
        "jitter_ms",
        "refuse",
        "reorder_ms",
        "reset_percent",
    )

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.cut = "none"
        self.refuse = False
        self.reset_percent = 0.0
        self.reorder_ms = 0.0
        self.end_percent = 0.0
        self.abort_percent = 0.0
        self.copy_percent = 0.0

    def change(self, document: Mapping[str, Any]) -> None:
        """Sets the given faults; the others stay.

        Raises:
            ValueError: A fault does not exist, or its value is not usable.
        """
        unknown = set(document) - set(self.__slots__)
        if unknown:
            raise ValueError(
                f"unknown faults {sorted(unknown)}; use {[*self.__slots__]}"
            )
        if document.get("cut", "none") not in CUTS:
            raise ValueError(
                f"cut {document['cut']!r} does not exist; use {[*CUTS]}"
            )
        for name, value in document.items():
            setattr(self, name, value)

    def to_document(self) -> dict[str, Any]:
        """Returns the faults as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


class FaultProxy:
    """Forwards connections to a target and injects faults.

    Attributes:
        connections: Number of connections accepted so far.
        passed_bytes: Bytes forwarded so far, in both directions.
    """

    __slots__ = (
        "_acceptor",
        "_address",
        "_base_delay_s",
        "_changed",
        "_faults",
        "_links",
        "_listener",
        "_rng",
        "_target",
        "connections",
        "passed_bytes",
    )

    def __init__(
        self,
        target: tuple[str, int],
        seed: int,
        port: int,
        host: str = "127.0.0.1",
        base_delay_s: Callable[[str, str], float] = lambda *_: 0.0,
    ):
        """Creates a proxy that listens.

        Args:
            target: Address to which connections are forwarded.
            seed: Determines the faults.
            port: Port to listen at, 0 for any.
            host: IP address to listen at.
            base_delay_s: Returns the delay that data always has, given the IP
                addresses of a client and of the proxy.
        """
        self._target = target
        self._base_delay_s = base_delay_s
        self._rng = random.Random(seed)
        self._faults = Faults()
        self._changed = event.Event()
        self._links: set[Link] = set()
        self.connections = 0
        self.passed_bytes = 0
        self._address = (host, port)
        self._listener: Any = None
        self._acceptor: Any = None
        self._open_listener()
        self._address = self._listener.getsockname()

    @property
    def port(self) -> int:
        """Port whose connections are forwarded to the target."""
        return self._address[1]

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request to the control port."""
        if exchange.path != "/control":
            return exchange.answer({"error": "no such path"}, "404 Not Found")
        document = exchange.read_json()
        is_reset = document.pop("reset", False)
        try:
            self.change(document, is_reset)
        except ValueError as exc:
            return exchange.answer({"error": str(exc)}, "400 Bad Request")
        return exchange.answer(
            {
                **self._faults.to_document(),
                "connections": self.connections,
                "passed_bytes": self.passed_bytes,
            }
        )

    def change(self, faults: Mapping[str, Any], is_reset: bool = False) -> None:
        """Sets the given faults; the others stay.

        Args:
            faults: Values by attribute of ``Faults``.
            is_reset: Whether open connections are reset.

        Raises:
            ValueError: A fault does not exist, or its value is not usable.
        """
        self._faults.change(faults)
        if self._faults.refuse and self._listener:
            # Killing a green thread lets others run, which may change faults.
            listener, self._listener = self._listener, None
            self._acceptor.kill()
            listener.close()
        elif not self._faults.refuse and not self._listener:
            self._open_listener()
        if is_reset:
            for link in [*self._links]:
                link.reset()
        changed, self._changed = self._changed, event.Event()
        changed.send(None)

    def _open_listener(self) -> None:
        self._listener = eventlet.listen(self._address, backlog=1024)
        self._acceptor = eventlet.spawn(self._accept, self._listener)

    def _accept(self, listener: Any) -> None:
        while True:
            sock, _ = listener.accept()
            self.connections += 1
            # Random numbers are generated here, in the order of arrival, so
            # that a seed reproduces the faults.
            wait_s = self._rng.random() * self._faults.reorder_ms / 1000.0
            is_reset = self._rng.random() * 100.0 < self._faults.reset_percent
            limit = self._rng.randrange(MAX_RESET_BYTES) if is_reset else -1
            eventlet.spawn(self._connect, sock, wait_s, limit)

    def _connect(self, sock: Any, wait_s: float, limit: int) -> None:
        eventlet.sleep(wait_s)
        self.wait_until_connected("up")
        try:
            base_delay_s = self._base_delay_s(
                sock.getpeername()[0], self._address[0]
            )
            target = eventlet.connect(self._target)
        except OSError:
            sock.close()
            return
        link = Link(self, sock, target, base_delay_s)
        self._links.add(link)
        link.run(limit)
        self._links.discard(link)

    def wait_until_connected(self, direction: str) -> None:
        """Waits until data may pass in the direction."""
        while direction in CUTS[self._faults.cut]:
            self._changed.wait()

    def delay_s(self) -> float:
        """Returns the delay of the next chunk of data, in seconds."""
        jitter_ms = self._rng.random() * self._faults.jitter_ms
        return (self._faults.delay_ms + jitter_ms) / 1000.0

    def end_at(self, size: int) -> tuple[int, bool] | None:
        """Returns where in a chunk of data the connection ends.

        Returns:
            Number of bytes that pass, and whether a reset follows them; None
            if the connection does not end.
        """
        faults = self._faults
        percent = faults.end_percent + faults.abort_percent
        if not percent or self._rng.random() * 100.0 >= percent:
            return None
        is_reset = self._rng.random() * percent < faults.abort_percent
        if self._rng.random() < HEAD_SHARE:
            size = min(size, HEAD_BYTES)
        return self._rng.randrange(size), is_reset

    def copy_delay_s(self, data: bytes) -> float | None:
        """Returns the delay of a second copy of an answer, None for none."""
        percent = self._faults.copy_percent
        if not percent or not is_whole_answer(data):
            return None
        if self._rng.random() * 100.0 >= percent:
            return None
        return self._rng.random() * MAX_COPY_DELAY_S


class Link:
    """One proxied connection."""

    __slots__ = ("_base_delay_s", "_client", "_proxy", "_target", "_threads")

    def __init__(
        self,
        proxy: FaultProxy,
        client: Any,
        target: Any,
        base_delay_s: float = 0.0,
    ):
        self._proxy = proxy
        self._base_delay_s = base_delay_s
        self._client = client
        self._target = target
        self._threads: list[Any] = []

    def run(self, limit: int) -> None:
        """Forwards bytes until both directions have ended.

        Args:
            limit: Bytes from the client after which the connection is reset;
                -1 for never.
        """
        for source, sink, direction, reset_after in (
            (self._client, self._target, "up", limit),
            (self._target, self._client, "down", -1),
        ):
            chunks: queue.LightQueue = queue.LightQueue(MAX_QUEUED_CHUNKS)
            self._threads += [
                eventlet.spawn(
                    self._read, chunks, source, direction, reset_after
                ),
                eventlet.spawn(self._write, chunks, sink, direction),
            ]
        for thread in self._threads:
            with contextlib.suppress(greenlet.GreenletExit):
                thread.wait()
        self._client.close()
        self._target.close()

    def reset(self) -> None:
        """Resets the connection on both sides."""
        for sock in (self._client, self._target):
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
        # A socket must not be closed while a green thread waits for it;
        # ``run`` closes both after the last one has ended.
        for thread in self._threads:
            if thread is not eventlet.getcurrent():
                thread.kill()

    def _read(
        self, chunks: queue.LightQueue, source: Any, direction: str, limit: int
    ) -> None:
        passed = 0
        try:
            while data := source.recv(RECEIVE_BYTES):
                passed += len(data)
                if 0 <= limit < passed:
                    self.reset()
                    return
                due_at = time.monotonic() + self._delay_s()
                if direction == "down":
                    end = self._proxy.end_at(len(data))
                    if end:
                        self._end_early(chunks, due_at, data, *end)
                        return
                chunks.put((due_at, data))
                if direction == "down":
                    copy_delay_s = self._proxy.copy_delay_s(data)
                    if copy_delay_s is not None:
                        chunks.put((due_at + copy_delay_s, data))
        except OSError:
            # A connection that fails on one side is reset on the other too.
            self._proxy.wait_until_connected(direction)
            self.reset()
            return
        chunks.put((time.monotonic() + self._delay_s(), b""))

    def _delay_s(self) -> float:
        return self._base_delay_s + self._proxy.delay_s()

    def _end_early(
        self,
        chunks: queue.LightQueue,
        due_at: float,
        data: bytes,
        size: int,
        is_reset: bool,
    ) -> None:
        if size:
            chunks.put((due_at, data[:size]))
        if is_reset:
            eventlet.sleep(due_at - time.monotonic() + ABORT_DELAY_S)
            self.reset()
        else:
            chunks.put((due_at, b""))

    def _write(
        self, chunks: queue.LightQueue, sink: Any, direction: str
    ) -> None:
        data = b"-"
        while data:
            due_at, data = chunks.get()
            eventlet.sleep(max(0.0, due_at - time.monotonic()))
            self._proxy.wait_until_connected(direction)
            try:
                if data:
                    self._proxy.passed_bytes += len(data)
                    sink.sendall(data)
                else:
                    sink.shutdown(socket.SHUT_WR)
            except OSError:
                # Resets the other side too, so that it detects the failure.
                self.reset()
                return


def is_whole_answer(data: bytes) -> bool:
    """Returns whether the data is one HTTP answer with a length, whole."""
    head, _, body = data.partition(b"\r\n\r\n")
    found = CONTENT_LENGTH.search(head + b"\r\n")
    return (
        head.startswith(b"HTTP/1.")
        and found is not None
        and len(body) == int(found[1])
    )


def new_fault_proxy(target: str, seed: int, port: int) -> FaultProxy:
    """Returns a proxy to ``IP:port`` that already listens."""
    host, _, target_port = target.rpartition(":")
    return FaultProxy((host, int(target_port)), seed, port)
