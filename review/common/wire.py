"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json

Handler = Callable[["Request", asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection stays open."""


class Request:
    """A request that a stand-in has read whole.

    Attributes:
        method, target: From the request line.
        fields: Header fields by lower-case name.
        body: The whole body.
    """

    __slots__ = ("body", "fields", "method", "target")

    def __init__(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def attempt(self) -> str:
        """ID of the consumer attempt, empty without one."""
        return self.fields.get("savoryspar-attempt-id", "")


class Reply:
    """What a consumer has received.

    Attributes:
        status: Status code; 0 if no complete head arrived.
        fields: Header fields by lower-case name.
        body: Bytes of the body that arrived.
        is_complete: Whether the body ended as its framing requires.
        error: Why it did not.
    """

    __slots__ = ("body", "error", "fields", "is_complete", "status")

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


def _parse_fields(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    return first, _parse_fields(rest)


async def _read_chunks(reader: asyncio.StreamReader, reply: Reply) -> None:
    while size := int((await reader.readline()).partition(b";")[0], 16):
        reply.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; None at the end of the connection."""
    try:
        first, fields = await _read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    method, target, _ = first.split(" ")
    part = Reply()
    if fields.get("transfer-encoding", "") == "chunked":
        await _read_chunks(reader, part)
    else:
        size = int(fields.get("content-length", "0"))
        part.body = await reader.readexactly(size)
    return Request(method, target, fields, part.body)


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serves connections until the server is closed."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while req := await read_request(reader):
                if not await handler(req, writer):
                    break
        writer.close()

    return await asyncio.start_server(run, host, port, backlog=1024)


def head(status: str, fields: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status: str, fields: dict[str, str], body: bytes) -> bytes:
    """Returns an answer with a length."""
    return head(status, {**fields, "Content-Length": str(len(body))}) + body


def answer_json(status: str, fields: dict[str, str], body: object) -> bytes:
    """Returns an answer with a JSON body."""
    fields = {**fields, "Content-Type": "application/json"}
    return answer(status, fields, json.dumps(body).encode())


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _exchange(
    address: tuple[str, int], data: bytes, reply: Reply
) -> None:
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address), 1.0
    )
    try:
        writer.write(data)
        await writer.drain()
        first, reply.fields = await _read_head(reader)
        if reply.fields.get("transfer-encoding", "") == "chunked":
            reply.status = int(first.split(" ")[1])
            await _read_chunks(reader, reply)
        else:
            size = int(reply.fields.get("content-length", "0"))
            reply.body = await reader.readexactly(size)
            reply.status = int(first.split(" ")[1])
        reply.is_complete = True
    finally:
        writer.close()


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Sends a request on a new connection and reads the whole answer."""
    reply = Reply()
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(address, data, reply)
    except (OSError, ValueError, EOFError, TimeoutError) as exc:
        reply.error = repr(exc)
    return reply
