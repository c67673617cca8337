"""Stand-in for a backend server, which answers plain requests and streams."""

import asyncio
from collections.abc import AsyncIterator
import itertools
import time

from common_2 import record, store, wire

EVENTS = 8
EVENT_INTERVAL_S = 0.03


class Engine:
    """One server; a case overrides ``run`` to make it misbehave.

    Attributes:
        address: Address of the server, known once it listens.
        runs: Requests that it ran.
    """

    def __init__(
        self, name: str, service: str, zone: str, notes: record.Record
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.runs = 0
        self.extra: list[tuple[str, str]] = []
        self._notes = notes
        self._seals = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None

    async def start(self, contents: store.Store) -> None:
        """Listens, and registers the server in the store."""
        self._server, self.address = await wire.serve(self.answer, "127.0.0.1")
        contents.write(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 64,
                "state": "ready",
                "seq": 1,
                "born": self._born,
            },
        )

    async def answer(self, req: wire.Request) -> wire.Answer:
        """Answers a request that is meant for this server."""
        attempt = req.get("Savoryspar-Attempt-Id")
        named = [("Savoryspar-Attempt-Id", attempt), *self.extra]
        expected = req.get("Savoryspar-Expect-Instance")
        if expected not in ("", self.name):
            return wire.Answer(421, [*named, ("Savoryspar-Not-Run", "1")])
        self.runs += 1
        self._notes.add("run", engine=self.name, attempt=attempt)
        seal = f"{self.name}.{next(self._seals)}"
        return await self.run(req, [*named, ("Savoryspar-Seal", seal)], attempt)

    async def run(
        self, req: wire.Request, fields: wire.Fields, attempt: str
    ) -> wire.Answer:
        """Runs a request: a stream if its path says so."""
        if req.target.startswith("/stream/"):
            fields = [*fields, ("Content-Type", "text/event-stream")]
            return wire.Answer(200, fields, parts=events(attempt))
        await asyncio.sleep(0.02)
        return wire.Answer(200, fields, plain_body(attempt))


def plain_body(attempt: str) -> bytes:
    """Returns the whole body of a plain answer."""
    return f"done {attempt}".encode()


def event(attempt: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


def stream_body(attempt: str) -> bytes:
    """Returns the whole body of a stream."""
    return b"".join(event(attempt, number) for number in range(EVENTS))


async def events(attempt: str) -> AsyncIterator[bytes]:
    """Yields the events of a stream as they are made."""
    for number in range(EVENTS):
        await asyncio.sleep(EVENT_INTERVAL_S)
        yield event(attempt, number)
