"""Sends the orders of the plan to the engines that this process is for."""

from collections.abc import Callable, Iterable, Mapping
import hashlib
from typing import Any, Protocol

from savoryspar import backends, log, sheet
from savoryspar.placement import (
    client as client_lib,
)
from savoryspar.placement import (
    exceptions,
    fencing,
    model,
    planner,
)
from savoryspar.placement import options as options_lib

READ_SPACING_S = 0.1
"""Shortest mean time between two reads of engines.

One read takes 0.6 ms of CPU, so reads take at most 0.6% of a core.
"""


class Clocks(Protocol):
    """Readings of both clocks, in seconds."""

    monotonic_s: float
    wall_s: float


class Peers(Protocol):
    """What the dispatcher needs of the membership."""

    def view(self, now: float, wall_now: float) -> Any:
        """Returns the view: ``own``, ``members`` and ``is_confirmed``."""

    def publish_number(self, number: int) -> None:
        """Tells the zone's peers the highest fencing number seen."""

    def peer_numbers(self, now: float) -> Iterable[int]:
        """Returns the numbers that the zone's peers told."""


def sender_of(engine: str, incarnations: Iterable[str]) -> str:
    """Returns who sends the orders of an engine (rendezvous hashing)."""
    return max(
        incarnations,
        key=lambda name: hashlib.sha256(f"{engine}/{name}".encode()).digest(),
    )


class Dispatcher:
    """Sends orders to engines of the own zone.

    Attributes:
        fencing: The fencing numbers.
        min_interval_s: Shortest time between two plans for the engines read.
    """

    __slots__ = (
        "_client",
        "_clocks",
        "_current_sheet",
        "_decisions",
        "_logger",
        "_options",
        "_peers",
        "_servers",
        "fencing",
        "min_interval_s",
    )

    def __init__(
        self,
        peers: Peers,
        current_sheet: Callable[[], sheet.Sheet | None],
        client: client_lib.EngineClient,
        decisions: log.DecisionLog,
        options: options_lib.Options,
        read_clocks: Callable[[], Clocks],
    ):
        self._peers = peers
        self._current_sheet = current_sheet
        self._client = client
        self._decisions = decisions
        self._options = options
        self._clocks = read_clocks
        self._servers: tuple[backends.Server, ...] = ()
        self._logger = log.new_logger("placement")
        self.fencing = fencing.FencingClock()
        self.min_interval_s = 0.0

    def set_servers(self, servers: Iterable[backends.Server]) -> None:
        """Takes the live backend servers of all zones."""
        self._servers = tuple(servers)

    def tick(self) -> None:
        """Plans once and sends the orders of the own engines."""
        current = self._current_sheet()
        if current is None:
            return
        clocks = self._clocks()
        view = self._peers.view(clocks.monotonic_s, clocks.wall_s)
        engines = self._engines(current)
        in_zone = {s.name: s for s in engines if s.zone == view.own.zone}
        if not any(self._is_sender(name, view) for name in in_zone):
            return
        # Drawn before the engines are read: the orders of a process that
        # pauses from here on are older than those of whoever replaces it.
        number = self.fencing.next_number(clocks.wall_s)
        self.min_interval_s = READ_SPACING_S * len(in_zone)
        states = self._read(in_zone.values(), clocks.monotonic_s)
        self._observe(states, clocks.monotonic_s)
        if self.fencing.highest > number:
            number = self.fencing.next_number(clocks.wall_s)
        self._peers.publish_number(number)
        zones = len({server.zone for server in engines})
        for action in planner.plan(
            current, states, zones, self._options, clocks.monotonic_s
        ):
            if self._is_sender(action.engine, view):
                self._send(current, in_zone, action, number)

    def _engines(self, current: sheet.Sheet) -> list[backends.Server]:
        return [
            server
            for server in self._servers
            if server.pool in current.pools
            and current.pools[server.pool].kind == "engine"
            and "orders" in current.pools[server.pool].supports
        ]

    def _is_sender(self, engine: str, view: Any) -> bool:
        names = [view.own.incarnation] if not view.own.is_leaving else []
        names += [
            member.incarnation
            for member in view.members
            if member.zone == view.own.zone and not member.is_leaving
        ]
        return bool(names) and sender_of(engine, names) == view.own.incarnation

    def _read(
        self, servers: Iterable[backends.Server], now: float
    ) -> list[model.EngineState]:
        states = []
        for server in servers:
            try:
                states.append(self._client.read(server, now))
            except exceptions.OrderFailedError as exc:
                self._logger.warning(f"Engine not read. {exc}")
        return states

    def _observe(self, states: list[model.EngineState], now: float) -> None:
        for state in states:
            self.fencing.observe(state.fencing_number)
        for number in self._peers.peer_numbers(now):
            self.fencing.observe(number)

    def _send(
        self,
        current: sheet.Sheet,
        servers: Mapping[str, backends.Server],
        action: model.Load | model.Unload,
        number: int,
    ) -> None:
        rank = planner.model_rank(current, action.model)
        self._decisions.record(
            log.Decision(
                "placement",
                f"placement-{number}",
                f"{type(action).__name__.lower()}:{action.model}",
                sheet.RANKS[rank] if rank < len(sheet.RANKS) else "-",
                "-",
                len(servers),
                action.engine,
                action.reason,
            )
        )
        try:
            self._client.send(
                servers[action.engine],
                action,
                number,
                lambda: self.check_sender(action),
            )
        except exceptions.OrderFailedError as exc:
            self.fencing.observe(exc.fencing_number)
            self._logger.warning(f"Order not taken. number={number} {exc}")
        except exceptions.StaleSenderError as exc:
            self._logger.warning(f"Order not sent. number={number} {exc}")

    def check_sender(self, action: Any) -> None:
        """Checks, right before the first byte, that the order may be sent.

        Raises:
            StaleSenderError: Another process may be the engine's sender.
        """
        if not model.needs_confirmed_view(action):
            return
        clocks = self._clocks()
        view = self._peers.view(clocks.monotonic_s, clocks.wall_s)
        if view.is_confirmed and self._is_sender(action.engine, view):
            return
        raise exceptions.StaleSenderError(
            f"the view of engine {action.engine}'s zone is not confirmed",
            "nothing to do; the next plan decides with a new view",
        )


def new_dispatcher(
    peers: Peers,
    current_sheet: Callable[[], sheet.Sheet | None],
    client: client_lib.EngineClient,
    decisions: log.DecisionLog,
    options: options_lib.Options,
    read_clocks: Callable[[], Clocks],
) -> Dispatcher:
    """Returns a dispatcher without engines."""
    return Dispatcher(
        peers, current_sheet, client, decisions, options, read_clocks
    )
