"""Open-loop load: arrivals follow a seeded plan and do not wait for answers.

Latency is measured from the intended start of a request, so that a late start
does not hide queueing delay. Requests run in green threads when the process is
monkey-patched and in plain threads otherwise.
"""

from collections.abc import Callable, Iterator, Sequence
import heapq
import itertools
import json
import random
import subprocess
import sys
import threading
import time

from savoryspar.bench import flows as flows_lib
from savoryspar.bench import load_client, tally

TIMEOUT_MARGIN_S = 3.0
"""Time past the deadline after which a request times out."""
REUSE_S = 4.0
"""Longest idle time of a reused connection, below the servers' time-out."""
MAX_IN_FLIGHT = 8000
START_DELAY_S = 0.05

OnAnswer = Callable[[flows_lib.Flow, int, load_client.Answer | None], None]
Pick = Callable[[], str]
IdleConnection = tuple[float, load_client.Connection]


class Load:
    """One load run in this process."""

    __slots__ = (
        "_idle",
        "_in_flight",
        "_lock",
        "_on_answer",
        "_pick",
        "_started_at",
        "report",
    )

    def __init__(
        self,
        pick: Pick,
        report: tally.Report,
        on_answer: OnAnswer | None,
        reuse_connections: bool,
    ):
        # Idle connections by address, each with the time of its last answer.
        self._idle: dict[str, list[IdleConnection]] | None = (
            {} if reuse_connections else None
        )
        self._pick = pick
        self._on_answer = on_answer
        self._lock = threading.Lock()
        self._in_flight = 0
        self._started_at = 0.0
        self.report = report

    def run(self, flows: Sequence[flows_lib.Flow], seed: int) -> None:
        """Sends all planned requests and waits for their answers."""
        cpu_s = time.process_time()
        self._started_at = time.monotonic() + START_DELAY_S
        for number, (at, index) in enumerate(
            plan(flows, self.report.duration_s, seed)
        ):
            wait_s = self._started_at + at - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self._start(flows[index], number, self._started_at + at)
        wall_s = max(time.monotonic() - self._started_at, START_DELAY_S)
        self.report.cpu_share = (time.process_time() - cpu_s) / wall_s
        while self._in_flight:
            time.sleep(0.005)

    def _start(
        self, flow: flows_lib.Flow, number: int, intended_at: float
    ) -> None:
        with self._lock:
            counts = self.report.tally(flow.work)
            counts.sent += 1
            if self._in_flight >= MAX_IN_FLIGHT:
                counts.late_starts += 1
                counts.failed += 1
                return
            self._in_flight += 1
        threading.Thread(
            target=self._exchange, args=(flow, number, intended_at), daemon=True
        ).start()

    def _exchange(
        self, flow: flows_lib.Flow, number: int, intended_at: float
    ) -> None:
        started_at = time.monotonic()
        answer = None
        try:
            answer = self._send(self._pick(), flow, number)
        except (OSError, ValueError, KeyError, load_client.AnswerError):
            pass
        ended_at = time.monotonic()
        with self._lock:
            self._in_flight -= 1
            counts = self.report.tally(flow.work)
            if started_at - intended_at > tally.LATE_START_S:
                counts.late_starts += 1
            _count(counts, flow, answer, intended_at, ended_at)
            if self._on_answer:
                self._on_answer(flow, number, answer)

    def _send(
        self, address: str, flow: flows_lib.Flow, number: int
    ) -> load_client.Answer:
        timeout_s = flow.work.deadline_ms / 1000.0 + TIMEOUT_MARGIN_S
        conn = self._pop_idle(address) or load_client.connect(
            address, timeout_s, time.monotonic
        )
        try:
            conn.send(flow.render(number))
            answer = conn.receive()
        except BaseException:
            conn.close()
            raise
        if self._idle is None or not conn.is_reusable:
            conn.close()
        else:
            idle = self._idle.setdefault(address, [])
            idle.append((time.monotonic(), conn))
        return answer

    def _pop_idle(self, address: str) -> load_client.Connection | None:
        if self._idle is None:
            return None
        idle = self._idle.get(address, [])
        while idle:
            idle_since, conn = idle.pop()
            if time.monotonic() - idle_since < REUSE_S:
                return conn
            conn.close()
        return None


def plan(
    flows: Sequence[flows_lib.Flow], duration_s: float, seed: int
) -> Iterator[tuple[float, int]]:
    """Yields the arrivals of all flows in order of time.

    Each arrival is a tuple (seconds from the start, index of the flow).
    """
    return heapq.merge(
        *(
            zip(
                flow.arrivals(duration_s, random.Random(f"{seed}/{index}")),
                itertools.repeat(index),
            )
            for index, flow in enumerate(flows)
        )
    )


def run(
    flows: Sequence[flows_lib.Flow],
    addresses: Sequence[str],
    duration_s: float,
    seed: int,
    processes: int = 0,
    on_answer: OnAnswer | None = None,
    pick: Pick | None = None,
    reuse_connections: bool = False,
) -> tally.Report:
    """Runs load and returns its report.

    Args:
        flows: Flows of requests to send.
        addresses: Entry processes as ``IP:port``, used in turn.
        duration_s: How long requests arrive.
        seed: Seed of the arrivals.
        processes: Number of load processes; 0 runs the load in this process.
        on_answer: Called with the flow, the number of the request and its
            answer, which is None for a failed request; only without load
            processes.
        pick: Returns the address for a request and replaces ``addresses``;
            only without load processes.
        reuse_connections: Whether connections are kept alive and reused, as
            a balancer does; only without load processes.
    """
    if processes:
        return _run_processes(flows, addresses, duration_s, seed, processes)
    turns = itertools.cycle(addresses)
    load = Load(
        pick or (lambda: next(turns)),
        tally.Report(duration_s),
        on_answer,
        reuse_connections,
    )
    load.run(flows, seed)
    return load.report


def _count(
    counts: tally.Tally,
    flow: flows_lib.Flow,
    answer: load_client.Answer | None,
    intended_at: float,
    ended_at: float,
) -> None:
    if answer is None:
        counts.failed += 1
        return
    # The last event of a complete stream is [DONE], and the one before it
    # ends the text; neither holds a token.
    times = answer.event_times[:-2]
    if times:
        counts.tokens += len(times)
        counts.first_token.record(times[0] - intended_at)
        for earlier, later in itertools.pairwise(times):
            counts.gap.record(later - earlier)
    if not answer.is_whole:
        state = answer.run_state or "none"
        counts.refused[state] = counts.refused.get(state, 0) + 1
        return
    counts.whole += 1
    counts.latency.record(ended_at - intended_at)
    if ended_at - intended_at <= flow.work.deadline_ms / 1000.0:
        counts.on_time += 1


def _run_processes(
    flows: Sequence[flows_lib.Flow],
    addresses: Sequence[str],
    duration_s: float,
    seed: int,
    processes: int,
) -> tally.Report:
    workers = []
    for number in range(processes):
        document = {
            "flows": [flow.to_document(1.0 / processes) for flow in flows],
            "addresses": [*addresses],
            "duration_s": duration_s,
            "seed": seed * 1000 + number,
        }
        worker = subprocess.Popen(
            [sys.executable, "-m", "savoryspar.bench.load_worker"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        worker.stdin.write(json.dumps(document).encode())
        worker.stdin.close()
        workers.append(worker)
    reports = []
    for worker in workers:
        document = json.loads(worker.stdout.read())
        worker.wait()
        reports.append(tally.decode_report(document))
    return tally.merge_reports(reports)
