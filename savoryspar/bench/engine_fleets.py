"""Fleets of engines behind entry processes, and load at a fixed rate."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent import futures
import json
import time
from typing import Any

import urllib3

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

KEY = "key-calle-libre"
POOL = "jurado-lm"
PIPELINE = "draft"
SHEET = deployments.GESTO.sheet_text() + (
    f"pipeline,{PIPELINE},work,archive\n"
    f"pipeline,{PIPELINE},stages,generate={POOL}/jurado-7b\n"
)
"""The sheet of ``gesto`` with a pipeline of a single generation stage."""
READY_TIMEOUT_S = 10.0
WARM_UP_PROMPT = "warm up"


class Answer:
    """The answer to one request.

    Attributes:
        entry: Name of the entry process that the request was sent to.
        status: HTTP status.
        document: Decoded JSON body.
    """

    __slots__ = ("document", "entry", "status")

    def __init__(self, entry: str, status: int, document: dict[str, Any]):
        self.entry = entry
        self.status = status
        self.document = document


class EngineFleet(fleet_lib.Fleet):
    """Entry processes and engines of one pool.

    Attributes:
        entries, engines: The processes in the order in which they started.
        regions: Region of each entry process and engine, by name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[fleet_lib.Process] = []
        self.engines: list[fleet_lib.Process] = []
        self.regions: dict[str, str] = {}

    def start_all(
        self,
        entry_regions: Sequence[str],
        engines: int,
        options: Sequence[str] = (),
        settings: Mapping[str, object] = {},
    ) -> None:
        """Starts the fleet and waits until every entry process reaches engines.

        Args:
            entry_regions: Region of each entry process; engines are spread
                over the same regions.
            engines: Number of engines.
            options: Command-line options of the engine stand-in.
            settings: Settings of the section ``[routing]``.
        """
        self.start_platform()
        self.publish_sheet(SHEET, revision=1)
        for number in range(engines):
            region = entry_regions[number % len(entry_regions)]
            name = f"engine-{number}"
            zone = f"{region}-a"
            self.regions[name] = region
            self.engines.append(
                self.start_backend("engine", name, POOL, region, zone, *options)
            )
        for number, region in enumerate(entry_regions):
            name = f"entry-{number}"
            self.regions[name] = region
            self.entries.append(
                self.start_entry(
                    name,
                    region,
                    f"{region}-a",
                    {
                        "routing": settings,
                        "log": {"decision_sample_percent": 0},
                    },
                )
            )
        self.publish_vms()
        self.wait_ready(*(entry.name for entry in self.entries))
        for entry in self.entries:
            self._wait_serving(entry)

    def _wait_serving(self, entry: fleet_lib.Process) -> None:
        deadline_at = time.monotonic() + READY_TIMEOUT_S
        while self.send_prompt(entry, WARM_UP_PROMPT, 1).status != 200:
            if time.monotonic() > deadline_at:
                raise TimeoutError(
                    f"{entry.name} got no answer from its engines in time"
                )
            time.sleep(0.1)

    def send_prompt(
        self, entry: fleet_lib.Process, prompt: str, max_tokens: int
    ) -> Answer:
        """Sends a prompt and waits for the complete answer."""
        body = {
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
        }
        resp = self.http.request(
            "POST",
            f"{entry.url}/v1/pipelines/{PIPELINE}",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {KEY}"},
            timeout=urllib3.Timeout(20.0),
        )
        return Answer(entry.name, resp.status, json.loads(resp.data))

    def live_engines(self) -> list[fleet_lib.Process]:
        """Returns the engines whose processes are running."""
        return [e for e in self.engines if e.popen.poll() is None]

    def run_records(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the recorded runs of each live engine, by engine name."""
        return {
            engine.name: self.get_json(engine, "/book")["runs"]
            for engine in self.live_engines()
        }


def send_all(
    jobs: Iterable[Callable[[], Any]], rate_per_s: float, workers: int
) -> list[Any]:
    """Starts jobs at a fixed rate and returns their results in order.

    A job starts late if all worker threads are busy.
    """
    start_at = time.monotonic()
    with futures.ThreadPoolExecutor(workers) as executor:
        started = []
        for number, job in enumerate(jobs):
            due_at = start_at + number / rate_per_s
            time.sleep(max(0.0, due_at - time.monotonic()))
            started.append(executor.submit(job))
        return [future.result() for future in started]
