"""Tests of streams through an entry process, with a scripted engine."""

import queue
import random
import socket
import time

import testtools

from savoryspar.backends import framing
from savoryspar.bench import deployments, flows, load_client, tally
from savoryspar.bench import fleet as fleet_lib
from tests.http import scripted_engine

WORK = tally.WorkClass("calle-libre", "archive-digest", "bulk", 8000)
TOKENS = 24
STREAMS = 120
REQUESTS = 150
BAD_SIZES = (b"zz", b"-5", b"+5", b"0x5", b"", b"ffffff", b"1 0")


def split_randomly(rng, data):
    """Returns the data split at random offsets."""
    cuts = sorted(rng.sample(range(len(data)), rng.randrange(1, 9)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, None], strict=True)]


def with_framing_error(rng, raw):
    """Returns the stream with one error in its chunked framing."""
    at = raw.index(b"\r\n", rng.randrange(len(raw) // 2))
    kind = rng.randrange(4)
    if kind == 0:
        return raw[:at]
    if kind == 1:
        return raw[:at] + raw[at + rng.randrange(1, 3) :]
    if kind == 2:
        return raw[:at] + rng.choice(BAD_SIZES) + b"\r\n" + raw[at + 2 :]
    return raw[: at + 2] + b"0\r\n\r\n"


class StreamTest(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = fleet_lib.Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.entry = deployments.start(
            deployments.GESTO, cls.fleet, entries=1, backends_share=0.1
        )[0]

    def start_engine(self, script):
        engine = scripted_engine.ScriptedEngine(script)
        self.addCleanup(engine.close)
        scripted_engine.publish(self.fleet, "jurado-lm", engine.address, 4)
        # The entry process reads the VM list several times a second.
        time.sleep(0.5)

    def open(self, tokens, number=1):
        conn = load_client.connect(self.entry.address, 10.0, time.monotonic)
        self.addCleanup(conn.close)
        flow = flows.chat_flow(WORK, 1.0, max_tokens=tokens)
        conn.send(flow.render(number))
        return conn

    def test_tokens_are_relayed_without_buffering(self):
        """Guards against buffering, which delivers tokens in bursts."""
        gate = queue.Queue()

        def script(sock, body):
            for number in range(body["max_tokens"]):
                sock.sendall(
                    framing.chunk(scripted_engine.event(f"w{number} "))
                )
                gate.get(timeout=10)
            sock.sendall(framing.chunk(framing.DONE_EVENT) + b"0\r\n\r\n")
            return True

        self.start_engine(script)
        sock = self.open(6)._sock
        seen = b""
        for number in range(6):
            # The engine sends the next token only after gate.put().
            while b"w%d " % number not in seen:
                data = sock.recv(65536)
                self.assertTrue(data)
                seen += data
            self.assertNotIn(b"w%d " % (number + 1), seen)
            gate.put(None)
        while b"[DONE]" not in seen:
            seen += sock.recv(65536)

    def test_malformed_streams_are_resumed_or_broken(self):
        """Guards against a wrong answer after malformed engine framing."""
        rng = random.Random(11)

        def script(sock, body):
            words = [f"w{n} " for n in range(body["max_tokens"])]
            events = b"".join(
                map(scripted_engine.event, words[body.get("resume_from", 0) :])
            )
            payload = events + framing.DONE_EVENT
            raw = b"".join(map(framing.chunk, split_randomly(rng, payload)))
            has_framing_error = rng.random() < 0.5
            raw = (
                with_framing_error(rng, raw)
                if has_framing_error
                else raw + b"0\r\n\r\n"
            )
            for piece in split_randomly(rng, raw):
                sock.sendall(piece)
            return not has_framing_error

        self.start_engine(script)
        expected = "".join(f"w{n} " for n in range(TOKENS))
        completed = 0
        for number in range(STREAMS):
            # Each request has its own number: equal requests would be rejected
            # as one that crashes engines.
            answer = self.open(TOKENS, number).receive()
            if answer.is_whole:
                completed += 1
                self.assertEqual(expected, answer.text())
            elif answer.is_stream:
                self.assertEqual("partial", answer.run_state)
                text = answer.text()
                self.assertTrue(expected.startswith(text), text)
            else:
                self.assertIn(answer.run_state, ("unknown", "not_run"))
        self.assertGreater(completed, STREAMS // 2)

    def test_malformed_requests_do_not_stop_the_entry(self):
        """A malformed request must not affect other callers."""
        rng = random.Random(12)
        good = flows.chat_flow(WORK, 1.0, max_tokens=2).render(1)
        address = self.entry.address.split(":")
        for _ in range(REQUESTS):
            raw = bytearray(good)
            for _ in range(rng.randrange(1, 6)):
                at = rng.randrange(len(raw))
                raw[at : at + rng.randrange(3)] = rng.randbytes(
                    rng.randrange(4)
                )
            with socket.create_connection(address, 10.0) as sock:
                sock.sendall(raw)
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65536):
                    pass
        resp = self.fleet.http.request("GET", f"{self.entry.url}/healthz")
        self.assertEqual(200, resp.status)
