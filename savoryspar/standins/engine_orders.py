"""Orders endpoint of the engine stand-in: loads and unloads models."""

import time
from typing import Any

import eventlet
import urllib3

from savoryspar.standins import wsgi

PATHS = ("/models", "/orders", "/orders/control")
LOAD_AGE_RETENTION_S = 3600.0
WEIGHTS_TIMEOUT_S = 5.0


class EngineOrders:
    """Models and orders of one engine.

    ``POST /orders/control`` sets ``is_fenced``, ``slots``, ``load_s``,
    ``weights_url``, ``models`` (immediately ready) and ``demand`` by model.
    """

    __slots__ = (
        "_load_starts",
        "demand",
        "fencing_number",
        "is_fenced",
        "load_s",
        "models",
        "received_orders",
        "role",
        "slots",
        "weights_url",
    )

    def __init__(self) -> None:
        self.is_fenced = True
        self.slots = 2
        self.load_s = 0.1
        self.weights_url = ""
        self.fencing_number = 0
        self.role = "any"
        self.models: dict[str, tuple[str, float]] = {}
        self.demand: dict[str, float] = {}
        self.received_orders: list[dict[str, Any]] = []
        self._load_starts: list[float] = []

    def handle(self, exchange: wsgi.Exchange) -> Any:
        """Answers one request."""
        if exchange.path == "/models":
            return exchange.answer(self._report(time.monotonic()))
        body = exchange.read_json()
        if exchange.path == "/orders/control":
            return self._control(exchange, body)
        return self._order(exchange, body)

    def _control(self, exchange: wsgi.Exchange, body: dict[str, Any]) -> Any:
        for name in ("is_fenced", "slots", "load_s", "weights_url", "demand"):
            if name in body:
                setattr(self, name, body[name])
        if "models" in body:
            # Ready since time 0, so that no dwell time prevents unloading.
            self.models = dict.fromkeys(body["models"], ("ready", 0.0))
        return exchange.answer({"book": self.received_orders})

    def _report(self, now: float) -> dict[str, Any]:
        starts = self._load_starts
        return {
            "slots": self.slots,
            "role": self.role,
            "fencing_number": self.fencing_number if self.is_fenced else 0,
            "load_ages_s": [
                now - at for at in starts if now - at < LOAD_AGE_RETENTION_S
            ],
            "models": [
                {
                    "name": name,
                    "state": state,
                    "age_s": now - since,
                    "demand": self.demand.get(name, 0.0),
                }
                for name, (state, since) in self.models.items()
            ],
        }

    def _order(self, exchange: wsgi.Exchange, body: dict[str, Any]) -> Any:
        number = int(body["fencing_number"])
        is_stale = self.is_fenced and number <= self.fencing_number
        self.received_orders.append(
            {**body, "at": time.time(), "is_accepted": not is_stale}
        )
        if is_stale:
            return exchange.answer(
                {"fencing_number": self.fencing_number}, "409 Conflict"
            )
        self.fencing_number = max(self.fencing_number, number)
        if body["order"] == "load":
            return self._load(exchange, body["model"])
        if body["order"] == "unload":
            self.models.pop(body["model"], None)
        else:
            self.role = body["role"]
        return exchange.answer({}, "202 Accepted")

    def _load(self, exchange: wsgi.Exchange, name: str) -> Any:
        state, _ = self.models.get(name, ("failed", 0.0))
        if state == "failed":
            if name not in self.models and len(self.models) >= self.slots:
                return exchange.answer({}, "507 Insufficient Storage")
            self.models[name] = ("loading", time.monotonic())
            self._load_starts.append(time.monotonic())
            eventlet.spawn(self._fetch_weights, name)
        return exchange.answer({}, "202 Accepted")

    def _fetch_weights(self, name: str) -> None:
        state = "ready"
        if self.weights_url:
            try:
                resp = urllib3.request(
                    "GET",
                    f"{self.weights_url}/v1/weights/{name}",
                    timeout=WEIGHTS_TIMEOUT_S,
                    retries=False,
                )
                state = "ready" if resp.status == 200 else "failed"
            except urllib3.exceptions.HTTPError:
                state = "failed"
        eventlet.sleep(self.load_s)
        if name in self.models:
            self.models[name] = (state, time.monotonic())


_by_engine: dict[str, EngineOrders] = {}


def get_engine_orders(engine: str) -> EngineOrders:
    """Returns the orders endpoint of an engine, created at first use."""
    return _by_engine.setdefault(engine, EngineOrders())
