"""What stands around the entry VMs: the store and the backend servers."""

import collections
from collections.abc import Iterator, Sequence
import random
import time
from typing import Any

import eventlet
from eventlet import event, wsgi

from savoryspar import fleet, platform
from savoryspar.platform import standin
from savoryspar.standins import fault_proxy

HISTORY = 400
"""Changes that the store keeps."""
STREAM_EVENTS = 12
EVENT_S = 0.04
ORDER_S = 0.02
REFUSED_SHARE = 0.02
"""Share of requests that a server refuses as full while there are faults."""
ZONES = ("z1", "z2")


class Store:
    """The platform's store, with faults.

    Attributes:
        revision: Number of the last change.
        is_down: Whether it answers nothing but 503.
        delay_s: Time before each answer.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.is_down = False
        self.delay_s = 0.0
        self._items: dict[str, platform.Item] = {}
        self._history: collections.deque[platform.Item] = collections.deque(
            maxlen=HISTORY
        )
        self._kept_after = 0
        self._changed = event.Event()
        sock = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        eventlet.spawn(wsgi.server, sock, self._answer, log_output=False)

    def _answer(self, environ: Any, start_response: Any) -> list[bytes]:
        eventlet.sleep(self.delay_s)
        if self.is_down:
            start_response("503 Service Unavailable", [])
            return [b"{}"]
        status, body = standin.serve_store(self, environ)
        start_response(status, [("Content-Type", "application/json")])
        return [body]

    def write(self, key: str, value: bytes | None) -> None:
        """Writes a key, or removes it."""
        self.revision += 1
        item = platform.Item(key, value, self.revision)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)
        changed, self._changed = self._changed, event.Event()
        changed.send(None)

    def forget_history(self) -> None:
        """Drops the changes so far; watches from before get no answer."""
        self._history.clear()
        self._kept_after = self.revision

    def read(self, prefix: str) -> Sequence[platform.Item]:
        """Returns the items whose keys begin with a prefix, ordered."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix)
        ]

    def wait(
        self, prefix: str, after: int, wait_s: float
    ) -> Sequence[platform.Item] | None:
        """Waits for changes; None if they are no longer kept."""
        ends_at = time.monotonic() + wait_s
        while after >= self._kept_after and not self.is_down:
            changes = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if changes or left_s <= 0.0:
                return changes
            with eventlet.Timeout(min(left_s, 0.5), False):
                self._changed.wait()
        return None


class RunRecords:
    """What backend servers did, for the judge.

    Attributes:
        runs: Runs of orders by attempt.
        sends: Requests of any kind that reached a server, by attempt.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.sends: collections.Counter[str] = collections.Counter()


class BackendServer:
    """One backend server behind a proxy that injects faults.

    Attributes:
        proxy: Everything that reaches the server passes it.
        entry: What the store tells of it.
        is_choosy: Whether it refuses a small share of the requests.
    """

    def __init__(
        self, name: str, service: str, run_records: RunRecords, seed: int
    ):
        self._run_records = run_records
        self._rng = random.Random(seed)
        self.is_choosy = True
        sock = eventlet.listen(("127.0.0.1", 0))
        eventlet.spawn(wsgi.server, sock, self._answer, log_output=False)
        self.proxy = fault_proxy.new_fault_proxy(
            f"127.0.0.1:{sock.getsockname()[1]}", seed, 0
        )
        self.entry = fleet.BackendEntry(
            name,
            service,
            f"127.0.0.1:{self.proxy.port}",
            ZONES[seed % len(ZONES)],
            8,
            False,
            int(time.time() * 1000),
            0,
        )

    def _answer(self, environ: Any, start_response: Any) -> Any:
        send = standin.Send(environ)
        if send.path in (platform.STAGE_RUN_PATH, platform.STAGE_FREE_PATH):
            body, made = standin.serve_stage_call(
                send.body, lambda *piece: "-".join(map(str, piece))
            )
            eventlet.sleep(0.03 + 0.002 * made)
            start_response("200 OK", [("Content-Type", "application/json")])
            return [body]
        if self.is_choosy and self._rng.random() < REFUSED_SHARE:
            start_response("503 Service Unavailable", standin.encode_not_run())
            return [b""]
        self._run_records.sends[send.attempt_id] += 1
        seal = standin.encode_seal(f"{self.entry.name}-{send.attempt_id}")
        if self.entry.service == "engines":
            kind = ("Content-Type", "text/event-stream")
            start_response("200 OK", [kind, *seal])
            return self._stream(send)
        if self.entry.service == "orders":
            self._run_records.runs[send.attempt_id] += 1
        eventlet.sleep(ORDER_S)
        start_response("200 OK", seal)
        return [f"{send.attempt_id}:{self.entry.name}".encode()]

    def _stream(self, send: standin.Send) -> Iterator[bytes]:
        for number in range(send.resume_after + 1, STREAM_EVENTS):
            eventlet.sleep(EVENT_S)
            yield f"id: {number}\ndata: {send.attempt_id}-{number}\n\n".encode()


def new_configuration(version: int) -> bytes:
    """Returns a configuration whose version callers can tell from a route."""
    kinds = fleet.RouteKind

    def route(
        name: str, kind: fleet.RouteKind, service: str, **others: Any
    ) -> fleet.Route:
        values = {
            "host": "soak.example",
            "prefix": f"/{name}/",
            "timeout_s": 6.0,
            "objective_s": 1.0,
            "gap_objective_s": 0.4,
            "rank": 1,
            "attempts": 2,
            "is_public": False,
            "is_resumable": False,
            "stages": (),
        } | others
        return fleet.Route(
            name=name, kind=kind, services=[(service, 1.0)], **values
        )

    resumable = {"is_resumable": True}
    staged = {"stages": [fleet.Stage("stages", (), 1000)]}
    pool = fleet.StagePool(1, 2, 8, 0.03, 0.002, 1e6, 4.0)
    return standin.encode_configuration(
        version,
        [
            route("order", kinds.ONCE, "orders"),
            route("lookup", kinds.IDEMPOTENT, "lookups"),
            route("chat", kinds.STREAM, "engines"),
            route("resume", kinds.STREAM, "engines", **resumable),
            route("staged", kinds.STREAM, "engines", **staged),
            route(f"v{version}", kinds.IDEMPOTENT, "lookups", is_public=True),
        ],
        [
            fleet.Service("orders", "", 64, None, None),
            fleet.Service("lookups", "", 64, None, None),
            fleet.Service(
                "engines", "", 64, None, fleet.EnginePool(8, 100_000)
            ),
            fleet.Service("stages", "", 64, pool, None),
        ],
        {"soak-key": fleet.Workspace("soak", None)},
    )
