"""A small fleet with one contended engine pool, and measures of its load."""

from collections.abc import Mapping, Sequence
import threading
import time

from savoryspar.bench import deployments, flows, load, load_client, tally
from savoryspar.bench import fleet as fleet_lib

ZONE = ("boras-hall", "boras-hall-a")
ENGINE_POOL = "savory-pool"
PIPELINE = "jam-recovery"
DEADLINE_MS = 4000
MAX_BATCH = 8
STEP_MS = 20
TOKENS = 20
CAPACITY_PER_S = MAX_BATCH / (STEP_MS / 1000.0 * TOKENS)
"""Requests per second that one engine can finish at most."""
WARM_UP_S = 3.0
PEAK_S = 2.0
BASELINE_SETTINGS = {"scheduling": {"policy": "fifo", "admission": "none"}}


def start(
    fleet: fleet_lib.Fleet,
    settings: Mapping[str, Mapping[str, object]],
    entries: int = 1,
) -> list[fleet_lib.Process]:
    """Starts one zone of ``bokbinderi`` and returns its entry processes."""
    fleet.start_platform()
    fleet.publish_sheet(deployments.BOKBINDERI.sheet_text(), revision=1)
    fleet.start_backend(
        "engine", "engine-0", ENGINE_POOL, *ZONE,
        "--step-ms", str(STEP_MS), "--max-batch", str(MAX_BATCH),
    )  # fmt: skip
    fleet.start_backend("pool", "runbook-0", "runbook", *ZONE)
    sections = {**settings, "log": {"decision_sample_percent": 0}}
    started = [
        fleet.start_entry(f"entry-{number}", *ZONE, sections)
        for number in range(entries)
    ]
    fleet.publish_vms()
    fleet.wait_ready(*(process.name for process in started))
    return started


def flow(workspace: str, rank: str, rate_per_s: float) -> flows.Flow:
    """Returns a flow of streamed requests with a rank in ``X-Rank``."""
    work = tally.WorkClass(workspace, PIPELINE, rank, DEADLINE_MS)
    return flows.chat_flow(
        work,
        rate_per_s,
        prompt=f"{workspace} {rank} {{number}}",
        max_tokens=TOKENS,
        headers={"X-Rank": rank},
    )


def peak_tokens_per_s(engine: fleet_lib.Process) -> float:
    """Returns the tokens per second of a full engine, called directly."""
    ends_at = time.monotonic() + PEAK_S
    times: list[float] = []
    body = {
        "model": "bind-7b",
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": "peak"}],
    }
    work = tally.WorkClass("peak", PIPELINE, "urgent", DEADLINE_MS)
    headers = {"X-Attempt-Id": "peak"}
    direct = flows.Flow(
        work, "/v1/chat/completions", "", body, 1.0, headers=headers
    )

    def send_requests() -> None:
        while time.monotonic() < ends_at:
            conn = load_client.connect(engine.address, 10.0, time.monotonic)
            conn.send(direct.render(0))
            times.extend(conn.receive().event_times[:-2])
            conn.close()

    threads = [threading.Thread(target=send_requests) for _ in range(MAX_BATCH)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    window = (ends_at - PEAK_S * 0.8, ends_at)
    counted = sum(window[0] <= at < window[1] for at in times)
    return counted / (window[1] - window[0])


class Run:
    """One load run that records the tokens of each answer.

    Attributes:
        report: Counts and latencies by class of work.
        is_on_time: Whether a request was answered on time, by request ID.
    """

    def __init__(self, duration_s: float, seed: int):
        self.report = tally.Report(duration_s)
        self.is_on_time: dict[str, bool] = {}
        self._duration_s = duration_s
        self._seed = seed
        self._started_at = 0.0
        self._planned: list[tuple[float, int]] = []
        self._tokens: dict[tuple[str, str, bool], list[float]] = {}

    def send(
        self, load_flows: Sequence[flows.Flow], addresses: Sequence[str]
    ) -> None:
        """Sends the flows and waits for all answers."""
        self._planned = [*load.plan(load_flows, self._duration_s, self._seed)]
        self._started_at = time.monotonic() + load.START_DELAY_S
        self.report = load.run(
            load_flows,
            addresses,
            self._duration_s,
            self._seed,
            on_answer=self._on_answer,
        )

    def tokens(self, rank: str = "", workspace: str = "") -> int:
        """Returns the number of tokens in answers on time, after the warm-up.

        Args:
            rank: Rank to match; empty matches all.
            workspace: Workspace to match; empty matches all.
        """
        return sum(
            self._count_in_window(times)
            for (name, answer_rank, is_on_time), times in self._tokens.items()
            if is_on_time
            and rank in ("", answer_rank)
            and workspace in ("", name)
        )

    def tokens_per_s(self) -> float:
        """Returns the tokens per second in answers on time."""
        return self.tokens() / (self._duration_s - WARM_UP_S)

    def wasted_percent(self, runs: Sequence[Mapping]) -> float:
        """Returns the percentage of work for requests that missed deadlines.

        Args:
            runs: Recorded runs of the first stage. Each run counts as one
                unit of work, as its cost in the sheet, and each token as
                another one.
        """
        missed = sum(
            len(times) for key, times in self._tokens.items() if not key[2]
        )
        total = sum(len(times) for times in self._tokens.values())
        missed += sum(
            not self.is_on_time.get(run["request_id"], False) for run in runs
        )
        return 100.0 * missed / max(1, total + len(runs))

    def _on_answer(
        self,
        load_flow: flows.Flow,
        number: int,
        answer: load_client.Answer | None,
    ) -> None:
        if answer is None:
            return
        intended_at = self._started_at + self._planned[number][0]
        latency_s = time.monotonic() - intended_at
        is_on_time = answer.is_whole and latency_s <= DEADLINE_MS / 1000.0
        self.is_on_time[answer.headers.get("x-request-id", "")] = is_on_time
        key = (load_flow.work.workspace, load_flow.work.rank, is_on_time)
        times = answer.event_times
        times = times[:-2] if answer.is_whole else times[:-1]
        self._tokens.setdefault(key, []).extend(times)

    def _count_in_window(self, times: Sequence[float]) -> int:
        first = self._started_at + WARM_UP_S
        last = self._started_at + self._duration_s
        return sum(first <= at < last for at in times)
