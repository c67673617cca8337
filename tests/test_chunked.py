"""Tests of bodies in chunks, read by both sides of an entry VM."""

import http.client
import io
import random
import types

from eventlet import wsgi
import testtools

from savoryspar.backends import strict
from savoryspar.http import chunks

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MALFORMED = (b"+1\r\nx\r\n", b"1\r\nxy\r\n", b"\r\n", b"1;\0\r\nx\r\n")


class Pieces(io.RawIOBase):
    """Bytes that arrive in pieces."""

    def __init__(self, pieces):
        self._pieces = [*pieces]

    def readable(self):
        return True

    def readinto(self, buffer):
        if not self._pieces:
            return 0
        piece = self._pieces.pop(0)
        self._pieces[:0] = [piece[len(buffer) :]] * (len(piece) > len(buffer))
        size = min(len(piece), len(buffer))
        buffer[:size] = piece[:size]
        return size


def split(rng, data, largest):
    """Returns data in pieces of random sizes."""
    pieces = []
    while data:
        size = rng.randint(1, largest)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def read_answer(pieces):
    """Returns the body of an answer, as a client of a server reads it."""
    reader = io.BufferedReader(Pieces(pieces))
    sock = types.SimpleNamespace(makefile=lambda mode: reader)
    resp = strict.StrictResponse(sock, method="GET")
    resp.begin()
    return [*iter(lambda: resp.read1(8192), b"")]


def read_request(pieces):
    """Returns the body of a request, as the server of callers reads it."""
    reader = io.BufferedReader(Pieces(pieces))
    body = wsgi.Input(reader, None, None, chunked_input=True)
    return chunks.new_chunked_input(body).read(1 << 20)


def encode(rng, parts):
    """Returns the parts in chunks, some with an extension."""
    lines = [b"%x", b"%X", b"0%x", b"%x;a=b", b"%x ; a"]
    return b"".join(
        rng.choice(lines) % len(part) + b"\r\n" + part + b"\r\n"
        for part in parts
    )


class ChunkedBodyTest(testtools.TestCase):
    def test_body_is_the_same_however_it_is_divided(self):
        """Guards against bytes lost where chunks, reads and buffers meet."""
        rng = random.Random(1)
        for _ in range(100):
            body = rng.randbytes(rng.randint(1, 12000))
            parts = split(rng, body, rng.choice((1, 3, 50, 9000)))
            data = (
                encode(rng, parts) + b"0\r\n" + rng.choice((b"", b"A: b\r\n"))
            )
            data += b"\r\n"
            largest = rng.choice((7, 500, 9000, 70000))
            answer = read_answer([HEAD, *split(rng, data, largest)])
            self.assertEqual(body, b"".join(answer))
            self.assertEqual(body, read_request(split(rng, data, largest)))

    def test_small_chunks_are_read_together(self):
        """Guards against work for each chunk of one byte."""
        data = b"1\r\nx\r\n" * 10000 + b"0\r\n\r\n"
        parts = read_answer([HEAD, data])
        self.assertEqual(10000, sum(map(len, parts)))
        self.assertLess(len(parts), 50)

    def test_malformed_chunks_after_sound_ones_are_rejected(self):
        """Guards against framing that is not checked in a buffer."""
        for text in MALFORMED:
            data = b"1\r\nx\r\n" * 5 + text + b"0\r\n\r\n"
            self.assertRaises(
                strict.MalformedAnswerError, read_answer, [HEAD, data]
            )
        for text in MALFORMED[:3]:
            data = b"1\r\nx\r\n" * 5 + text + b"0\r\n\r\n"
            self.assertRaises(wsgi.ChunkReadError, read_request, [data])

    def test_body_that_ends_early_is_rejected(self):
        """Guards against a truncated body that is taken for complete."""
        data = b"1\r\nx\r\n2;a\r\nxy\r\n0\r\n\r\n"
        for size in range(len(data)):
            self.assertRaises(
                http.client.HTTPException, read_answer, [HEAD, data[:size]]
            )
            self.assertRaises(wsgi.ChunkReadError, read_request, [data[:size]])
