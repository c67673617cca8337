"""A process that reads many token streams and measures token timing.

The process reads its task as JSON from standard input. It writes the line
``open`` after it has requested all streams, and a JSON line with counts and
histograms at the end.
"""

from collections.abc import Sequence
import json
import re
import select
import socket
import subprocess
import sys
import time
from typing import Any

from savoryspar.bench import load_client, tally

RECEIVE_BYTES = 65536
POLL_S = 0.2
OPEN_GAP_S = 0.002
_TOKEN = re.compile(rb'"content": "(\d+) ')


class Stream:
    """A stream and the times when its last token was sent and received."""

    __slots__ = ("received_ns", "sent_ns", "sock")

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.sent_ns = 0
        self.received_ns = 0


class StreamStats:
    """Token counts and timings measured by readers.

    Attributes:
        tokens: Tokens received after the warm-up.
        broken: Streams that ended early.
        gap: Time between two tokens of a stream at the caller.
        added: Gap at the caller minus gap at the engine, at least 0.
        delay: Time from sending a token to receiving it.
    """

    __slots__ = ("added", "broken", "delay", "gap", "tokens")

    def __init__(self) -> None:
        self.tokens = 0
        self.broken = 0
        self.gap = tally.Histogram()
        self.added = tally.Histogram()
        self.delay = tally.Histogram()

    def add(self, document: dict[str, Any]) -> None:
        """Adds the JSON object written by a reader process."""
        self.tokens += document["tokens"]
        self.broken += document["broken"]
        for name in ("gap", "added", "delay"):
            other = tally.decode_histogram(document[name])
            getattr(self, name).add(other)

    def to_document(self) -> dict[str, Any]:
        """Returns the counts and histograms as a JSON object."""
        document: dict[str, Any] = {
            "tokens": self.tokens,
            "broken": self.broken,
        }
        for name in ("gap", "added", "delay"):
            document[name] = getattr(self, name).to_text()
        return document


def read_streams(
    streams: Sequence[Stream], warm_up_s: float, duration_s: float
) -> StreamStats:
    """Reads all streams and returns the measurements after the warm-up."""
    poll = select.epoll()
    by_fileno = {stream.sock.fileno(): stream for stream in streams}
    for fileno in by_fileno:
        poll.register(fileno, select.EPOLLIN)
    samples: list[tuple[int, int, int]] = []
    stats = StreamStats()
    start_ns = time.monotonic_ns() + int(warm_up_s * 1e9)
    end_ns = start_ns + int(duration_s * 1e9)
    now_ns = 0
    while now_ns < end_ns:
        for fileno, _ in poll.poll(POLL_S):
            stream = by_fileno[fileno]
            data = stream.sock.recv(RECEIVE_BYTES)
            now_ns = time.monotonic_ns()
            if not data:
                poll.unregister(fileno)
                stats.broken += 1
            for sent in _TOKEN.findall(data):
                sent_ns = int(sent)
                if stream.received_ns > start_ns:
                    gap_ns = now_ns - stream.received_ns
                    added_ns = gap_ns - (sent_ns - stream.sent_ns)
                    samples.append((gap_ns, added_ns, now_ns - sent_ns))
                stream.sent_ns, stream.received_ns = sent_ns, now_ns
        now_ns = max(now_ns, time.monotonic_ns())
    # Recorded at the end, so that updating histograms delays no read.
    stats.tokens = len(samples)
    for gap_ns, added_ns, delay_ns in samples:
        stats.gap.record(gap_ns / 1e9)
        stats.added.record(added_ns / 1e9)
        stats.delay.record(delay_ns / 1e9)
    return stats


def main() -> None:
    """Opens the streams of the task and reads them."""
    task = json.load(sys.stdin)
    body = json.dumps(task["body"]).encode()
    request = load_client.render_request(
        "POST", "/v1/chat/completions", task["headers"], body
    )
    streams = []
    for number in range(task["streams"]):
        address = task["addresses"][number % len(task["addresses"])]
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        sock.sendall(request)
        streams.append(Stream(sock))
        time.sleep(OPEN_GAP_S)
    print("open", flush=True)
    stats = read_streams(streams, task["warm_up_s"], task["duration_s"])
    print(json.dumps(stats.to_document()), flush=True)


class Readers:
    """Reader processes; call ``wait_open`` and then ``finish``."""

    __slots__ = ("_workers",)

    def __init__(self, tasks: Sequence[dict[str, Any]]):
        self._workers = [_start_worker(task) for task in tasks]

    def wait_open(self) -> None:
        """Waits until every stream has been requested."""
        for worker in self._workers:
            worker.stdout.readline()

    def finish(self) -> StreamStats:
        """Waits for the processes and returns the sum of their measurements."""
        stats = StreamStats()
        for worker in self._workers:
            stats.add(json.loads(worker.stdout.readline()))
            worker.wait()
        return stats


def _start_worker(task: dict[str, Any]) -> subprocess.Popen:
    worker = subprocess.Popen(
        [sys.executable, "-m", "savoryspar.bench.stream_reader"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    worker.stdin.write(json.dumps(task).encode())
    worker.stdin.close()
    return worker


if __name__ == "__main__":
    main()
