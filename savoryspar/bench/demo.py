"""The demo: sends requests and orders to both example deployments."""

from collections.abc import Callable
import itertools
import json

import urllib3

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

REQUESTS_PER_PIPELINE = 6
BACKENDS_SHARE = 0.34


class Sample:
    """Requests that the demo sends to one pipeline.

    Attributes:
        pipeline: Pipeline to call.
        rank: Rank of the requests.
        body: JSON body; the number of the request is added to it.
        is_chat: Whether the pipeline is called by streamed chat requests.
        is_order: Whether each request must run exactly once.
    """

    __slots__ = ("body", "is_chat", "is_order", "pipeline", "rank")

    def __init__(
        self,
        pipeline: str,
        rank: str,
        body: dict,
        is_chat: bool = False,
        is_order: bool = False,
    ):
        self.pipeline = pipeline
        self.rank = rank
        self.body = body
        self.is_chat = is_chat
        self.is_order = is_order


SAMPLES = {
    "gesto": (
        Sample(
            "jury-summary",
            "standard",
            {"text": "Guion: La plaza vacia. Notas: ensayo del martes."},
            is_chat=True,
        ),
        Sample(
            "registration", "urgent", {"troupe": "Calle Libre"}, is_order=True
        ),
        Sample("status-check", "urgent", {"entry": "CL-17"}),
    ),
    "bokbinderi": (
        Sample(
            "jam-recovery",
            "urgent",
            {"text": "Thread breaks at signature 7."},
            is_chat=True,
        ),
        Sample("sewing-order", "urgent", {"notebooks": 400}, is_order=True),
        Sample("stock-check", "standard", {"thread": "linen 18/3"}),
    ),
}
WORKSPACES = {"gesto": "calle-libre", "bokbinderi": "thread-shop"}


def run_demo(write: Callable[[str], None]) -> bool:
    """Runs the demo and writes a table of the results.

    Args:
        write: Writes one line of the table.

    Returns:
        Whether every request was answered and every order ran exactly once.
    """
    write(f"{'deployment':12} {'pipeline':14} {'rank':9} {'answered':9} runs")
    results = [
        _run_deployment(deployment, write)
        for deployment in (deployments.GESTO, deployments.BOKBINDERI)
    ]
    return all(results)


def _run_deployment(
    deployment: deployments.Deployment, write: Callable[[str], None]
) -> bool:
    with fleet_lib.Fleet() as fleet:
        entries = deployments.start(
            deployment, fleet, backends_share=BACKENDS_SHARE
        )
        succeeded = True
        for sample in SAMPLES[deployment.name]:
            answered = _send_all(deployment, fleet, entries, sample)
            runs = (
                _read_order_runs(deployment, fleet) if sample.is_order else []
            )
            succeeded &= answered == REQUESTS_PER_PIPELINE
            if sample.is_order:
                succeeded &= sorted(runs) == [*range(REQUESTS_PER_PIPELINE)]
            write(
                f"{deployment.name:12} {sample.pipeline:14} {sample.rank:9}"
                f" {answered}/{REQUESTS_PER_PIPELINE:<7}"
                f" {len(runs) if sample.is_order else '-'}"
            )
        return succeeded


def _send_all(
    deployment: deployments.Deployment,
    fleet: fleet_lib.Fleet,
    entries: list[fleet_lib.Process],
    sample: Sample,
) -> int:
    key = f"key-{WORKSPACES[deployment.name]}"
    return sum(
        _send(fleet.http, entry, sample, key, number)
        for number, entry in zip(
            range(REQUESTS_PER_PIPELINE), itertools.cycle(entries)
        )
    )


def _get_ticket(
    http: urllib3.PoolManager,
    entry: fleet_lib.Process,
    sample: Sample,
    headers: dict[str, str],
) -> str:
    resp = http.request(
        "POST",
        f"{entry.url}/v1/tickets",
        body=json.dumps({"pipeline": sample.pipeline}).encode(),
        headers=headers,
    )
    return json.loads(resp.data)["ticket"]


def _send(
    http: urllib3.PoolManager,
    entry: fleet_lib.Process,
    sample: Sample,
    key: str,
    number: int,
) -> bool:
    headers = {"Authorization": f"Bearer {key}"}
    if sample.is_order:
        headers["Order-Ticket"] = _get_ticket(http, entry, sample, headers)
    if sample.is_chat:
        body = {
            "model": sample.pipeline,
            "stream": True,
            "max_tokens": 16,
            "messages": [
                {"role": "user", "content": f"{sample.body} {number}"}
            ],
        }
        url = f"{entry.url}/v1/chat/completions"
    else:
        body = {**sample.body, "number": number}
        url = f"{entry.url}/v1/pipelines/{sample.pipeline}"
    resp = http.request(
        "POST", url, body=json.dumps(body).encode(), headers=headers
    )
    if sample.is_chat:
        return b"data: [DONE]" in resp.data
    return resp.status == 200


def _read_order_runs(
    deployment: deployments.Deployment, fleet: fleet_lib.Fleet
) -> list[int]:
    return [
        run["input"]["number"]
        for name, process in fleet.processes.items()
        if name.startswith(deployment.order_pool)
        for run in fleet.get_json(process, "/book")["runs"]
    ]
