"""A small HTTP/1.1 server and client for stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
import contextlib

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 421: "Misdirected"}
Fields = Sequence[tuple[str, str]]


class Request:
    """A request that a stand-in received."""

    def __init__(self, method: str, target: str, fields: list[tuple[str, str]]):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = b""

    def get(self, name: str) -> str:
        """Returns a header field, empty if it is absent."""
        return next(
            (v for n, v in self.fields if n.lower() == name.lower()), ""
        )


class Answer:
    """An answer with a length, or in the chunks of ``parts``."""

    def __init__(
        self,
        status: int,
        fields: Fields = (),
        body: bytes = b"",
        parts: AsyncIterator[bytes] | None = None,
    ):
        self.status = status
        self.fields = [*fields]
        self.body = body
        self.parts = parts


Handler = Callable[[Request], Awaitable[Answer]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[list[str], list[tuple[str, str]]] | None:
    """Reads the first line and the fields of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = [
        (name, value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:])
    ]
    return lines[0].split(" ", 2), fields


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yields the data of chunks up to the last one.

    Raises:
        IncompleteReadError: The body ends before its last chunk.
    """
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request with its body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    (method, target, _), fields = head
    req = Request(method, target, fields)
    if req.get("Transfer-Encoding"):
        req.body = b"".join([part async for part in read_chunks(reader)])
    else:
        req.body = await reader.readexactly(int(req.get("Content-Length") or 0))
    return req


async def write_answer(writer: asyncio.StreamWriter, answer: Answer) -> None:
    """Writes an answer."""
    framing = ("Content-Length", str(len(answer.body)))
    if answer.parts is not None:
        framing = ("Transfer-Encoding", "chunked")
    lines = [f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Other')}"]
    lines += [f"{n}: {v}" for n, v in [*answer.fields, framing]]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + answer.body)
    if answer.parts is not None:
        async for part in answer.parts:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve(handler: Handler, host: str) -> tuple[asyncio.Server, str]:
    """Starts a server on a free port; returns it and its address."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The peer may close its connection at any time, and the end of the
        # script cancels what still waits.
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (req := await read_request(reader)) is not None:
                await write_answer(writer, await handler(req))
        writer.close()

    server = await asyncio.start_server(run, host, 0, backlog=1024)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


class Received:
    """What a client received for one request.

    Attributes:
        status: Status code, 0 without an answer.
        fields: Header fields by lower-case name.
        body: Body as far as it was received.
        is_complete: Whether the answer ended as it should.
        error: Why there is no complete answer.
    """

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


async def send(
    address: str,
    method: str,
    target: str,
    fields: Fields,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Received:
    """Sends a request on a connection of its own and reads the answer."""
    received = Received()
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(address, method, target, fields, body, received)
    except (OSError, EOFError, asyncio.LimitOverrunError, ValueError) as exc:
        received.error = f"{type(exc).__name__}: {exc}"
    return received


async def _exchange(
    address: str,
    method: str,
    target: str,
    fields: Fields,
    body: bytes,
    received: Received,
) -> None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise EOFError("the connection was closed without an answer")
        words, items = head
        received.status = int(words[1])
        received.fields = {name.lower(): value for name, value in items}
        if "transfer-encoding" in received.fields:
            async for part in read_chunks(reader):
                received.body += part
        else:
            received.body = await reader.readexactly(
                int(received.fields.get("content-length", 0))
            )
        received.is_complete = True
    finally:
        writer.close()
