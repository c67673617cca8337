"""Sends planned actions to the engines assigned to this process."""

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
"""Minimum mean time between two reads of engines.

One read takes 0.6 ms of CPU, so reads take at most 0.6% of a core.
"""


class ClockTimes(Protocol):
    """One reading of the monotonic and the wall clock, in seconds."""

    monotonic_s: float
    wall_s: float


class Peers(Protocol):
    """Interface of the dispatcher to the membership."""

    def view(self, now: float, wall_now: float) -> Any:
        """Returns the view: ``own``, ``members`` and ``is_confirmed``."""

    def publish_fencing_number(self, number: int) -> None:
        """Sends the highest fencing number seen to the peers of the zone."""

    def peer_fencing_numbers(self, now: float) -> Iterable[int]:
        """Returns the fencing numbers published by the peers of the zone."""


def sender_of(engine: str, incarnations: Iterable[str]) -> str:
    """Returns which process sends an engine's actions (rendezvous hashing)."""
    return max(
        incarnations,
        key=lambda name: hashlib.sha256(f"{engine}/{name}".encode()).digest(),
    )


class Dispatcher:
    """Plans for the engines of its own zone and sends the actions.

    Attributes:
        fencing: Source of fencing numbers.
        min_interval_s: Minimum time between two plans, given the number of
            engines.
    """

    __slots__ = (
        "_client",
        "_current_sheet",
        "_decisions",
        "_logger",
        "_options",
        "_peers",
        "_read_clocks",
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
        read_clocks: Callable[[], ClockTimes],
    ):
        self._peers = peers
        self._current_sheet = current_sheet
        self._client = client
        self._decisions = decisions
        self._options = options
        self._read_clocks = read_clocks
        self._servers: tuple[backends.Server, ...] = ()
        self._logger = log.new_logger("placement")
        self.fencing = fencing.FencingClock()
        self.min_interval_s = 0.0

    def set_servers(self, servers: Iterable[backends.Server]) -> None:
        """Sets the live backend servers of all zones."""
        self._servers = tuple(servers)

    def tick(self) -> None:
        """Plans once and sends the actions for this process's engines."""
        current = self._current_sheet()
        if current is None:
            return
        now = self._read_clocks()
        view = self._peers.view(now.monotonic_s, now.wall_s)
        engines = self._engines(current)
        in_zone = {s.name: s for s in engines if s.zone == view.own.zone}
        if not any(self._is_sender(name, view) for name in in_zone):
            return
        # Obtained before the engines are read, so that if this process is
        # paused from here on, its replacement sends higher numbers.
        number = self.fencing.next_number(now.wall_s)
        self.min_interval_s = READ_SPACING_S * len(in_zone)
        states = self._read(in_zone.values(), now.monotonic_s)
        self._observe(states, now.monotonic_s)
        if self.fencing.highest > number:
            number = self.fencing.next_number(now.wall_s)
        self._peers.publish_fencing_number(number)
        zones = len({server.zone for server in engines})
        for action in planner.plan(
            current, states, zones, self._options, now.monotonic_s
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
            except exceptions.EngineRequestError as exc:
                self._logger.warning(f"Engine state not available. {exc}")
        return states

    def _observe(self, states: list[model.EngineState], now: float) -> None:
        for state in states:
            self.fencing.observe(state.fencing_number)
        for number in self._peers.peer_fencing_numbers(now):
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
        except exceptions.EngineRequestError as exc:
            self.fencing.observe(exc.fencing_number)
            self._logger.warning(f"Action failed. number={number} {exc}")
        except exceptions.StaleSenderError as exc:
            self._logger.warning(f"Action not sent. number={number} {exc}")

    def check_sender(self, action: Any) -> None:
        """Checks, right before the first byte, that the action may be sent.

        Raises:
            StaleSenderError: Another process may be the engine's sender.
        """
        if not model.needs_confirmed_view(action):
            return
        now = self._read_clocks()
        view = self._peers.view(now.monotonic_s, now.wall_s)
        if view.is_confirmed and self._is_sender(action.engine, view):
            return
        raise exceptions.StaleSenderError(
            f"the view of engine {action.engine}'s zone is not confirmed",
            "nothing to do; the next plan uses a new view",
        )


def new_dispatcher(
    peers: Peers,
    current_sheet: Callable[[], sheet.Sheet | None],
    client: client_lib.EngineClient,
    decisions: log.DecisionLog,
    options: options_lib.Options,
    read_clocks: Callable[[], ClockTimes],
) -> Dispatcher:
    """Returns a dispatcher without engines."""
    return Dispatcher(
        peers, current_sheet, client, decisions, options, read_clocks
    )
