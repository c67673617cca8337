"""Tracks requests suspected of crashing the servers that run them.

A request in flight when a server's connection breaks becomes a suspect. A
suspect runs alone: its server runs no other call of this process. If that
server crashes too, the request is blocked, here and at the peers. An innocent
request that was in flight at the same time runs alone without a crash and is
cleared.
"""

import collections
from collections.abc import Callable, Mapping
import enum
import hashlib
import json
from typing import Any

from savoryspar import log

MAX_ENTRIES = 4096
MAX_ENTRIES_PER_WORKSPACE = 64
SUSPECT_TTL_S = 300.0
BLOCKED_TTL_S = 3600.0
MAX_SERVERS_PER_ENTRY = 4


class Verdict(enum.Enum):
    """Crash status of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class Entry:
    """Crashes of one fingerprint; one without an entry is ``CLEAR``."""

    __slots__ = ("expires_at", "is_blocked", "servers")

    def __init__(
        self, servers: frozenset[str], is_blocked: bool, expires_at: float
    ):
        self.servers = servers
        self.is_blocked = is_blocked
        self.expires_at = expires_at


def fingerprint(workspace: str, pipeline: str, body: Mapping[str, Any]) -> str:
    """Returns the fingerprint of a request, prefixed with its workspace.

    ``stream`` is left out because it does not change what the servers run.
    """
    content = {key: value for key, value in body.items() if key != "stream"}
    text = json.dumps([workspace, pipeline, content], sort_keys=True)
    return f"{workspace}/{hashlib.sha256(text.encode()).hexdigest()[:32]}"


class CrashSuspects:
    """Crash records by fingerprint, bounded per workspace and in total.

    Attributes:
        publish: Called with the record of each crash, to send it to peers.
        is_enabled: Whether crashes, own and of peers, are recorded.
    """

    __slots__ = ("_count", "_logger", "_workspaces", "is_enabled", "publish")

    def __init__(
        self, publish: Callable[[dict[str, Any]], None], is_enabled: bool
    ):
        self.publish = publish
        self.is_enabled = is_enabled
        self._workspaces: dict[str, collections.OrderedDict[str, Entry]] = {}
        self._count = 0
        self._logger = log.new_logger("routing")

    def check(self, key: str, now: float) -> Verdict:
        """Returns the verdict on a fingerprint."""
        entry = self._workspaces.get(_workspace(key), {}).get(key)
        if entry is None or entry.expires_at <= now:
            return Verdict.CLEAR
        if entry.is_blocked:
            return Verdict.BLOCKED
        return Verdict.SUSPECT

    def record_crash(
        self, key: str, server: str, now: float, was_exclusive: bool = False
    ) -> None:
        """Records a crash; a second crash while running alone blocks.

        Args:
            key: Fingerprint of the request.
            server: Name of the server that crashed.
            now: Monotonic time in seconds.
            was_exclusive: Whether the request ran alone at the server.
        """
        if not self.is_enabled:
            return
        verdict = self.check(key, now)
        is_second = verdict is not Verdict.CLEAR
        self._merge(key, frozenset({server}), was_exclusive and is_second, now)
        entry = self._workspaces[_workspace(key)][key]
        if verdict is not Verdict.BLOCKED:
            self._logger.warning(
                f"Server crashed under a request. fingerprint={key}"
                f" server={server} alone={was_exclusive}"
                f" verdict={self.check(key, now).value}"
            )
        self.publish(
            {
                "fingerprint": key,
                "servers": sorted(entry.servers)[:MAX_SERVERS_PER_ENTRY],
                "is_blocked": entry.is_blocked,
            }
        )

    def record_success(self, key: str, now: float) -> None:
        """Clears a suspect after it ran alone without a crash."""
        if self.check(key, now) is Verdict.SUSPECT:
            self._remove(key)

    def import_record(self, record: Mapping[str, Any], now: float) -> None:
        """Imports a peer's record without publishing it again.

        Raises:
            ValueError: The record is malformed.
        """
        try:
            key = str(record["fingerprint"])
            servers = frozenset(str(name) for name in record["servers"])
            is_blocked = bool(record["is_blocked"])
        except (KeyError, TypeError) as exc:
            raise ValueError(f"malformed crash record: {exc!r}") from exc
        if self.is_enabled:
            self._merge(key, servers, is_blocked, now)

    def records(self, now: float) -> list[dict[str, Any]]:
        """Returns the unexpired records, to send to a new peer."""
        return [
            {
                "fingerprint": key,
                "servers": sorted(entry.servers),
                "is_blocked": entry.is_blocked,
            }
            for entries in self._workspaces.values()
            for key, entry in entries.items()
            if entry.expires_at > now
        ]

    def _merge(
        self,
        key: str,
        servers: frozenset[str],
        is_blocked: bool,
        now: float,
    ) -> None:
        verdict = self.check(key, now)
        entries = self._workspaces.setdefault(
            _workspace(key), collections.OrderedDict()
        )
        old = entries.pop(key, None)
        self._count -= old is not None
        if old is not None and verdict is not Verdict.CLEAR:
            servers |= old.servers
        is_blocked = is_blocked or verdict is Verdict.BLOCKED
        ttl_s = BLOCKED_TTL_S if is_blocked else SUSPECT_TTL_S
        self._evict_if_full(entries, now)
        entries[key] = Entry(
            frozenset(sorted(servers)[:MAX_SERVERS_PER_ENTRY]),
            is_blocked,
            now + ttl_s,
        )
        self._workspaces[_workspace(key)] = entries
        self._count += 1

    def _evict_if_full(
        self, own: collections.OrderedDict[str, Entry], now: float
    ) -> None:
        if len(own) >= MAX_ENTRIES_PER_WORKSPACE:
            self._evict(own, now)
        elif self._count >= MAX_ENTRIES:
            # Evicts from the workspace with the most entries, so that its
            # flood does not displace the entries of small ones.
            self._evict(max(self._workspaces.values(), key=len), now)

    def _evict(
        self, entries: collections.OrderedDict[str, Entry], now: float
    ) -> None:
        victim = min(
            entries,
            key=lambda m: (
                entries[m].expires_at > now,
                entries[m].is_blocked,
            ),
        )
        self._remove(victim)

    def _remove(self, key: str) -> None:
        workspace = _workspace(key)
        del self._workspaces[workspace][key]
        self._count -= 1
        if not self._workspaces[workspace]:
            del self._workspaces[workspace]


def _workspace(key: str) -> str:
    return key.rpartition("/")[0]


def new_suspects(
    publish: Callable[[dict[str, Any]], None] = lambda record: None,
    is_enabled: bool = True,
) -> CrashSuspects:
    """Creates an empty set of suspects that publishes each crash."""
    return CrashSuspects(publish, is_enabled)
