"""Requests that may crash the servers that run them.

A request in flight when a server's connection dies is a suspect. A suspect
runs alone: no other call of this process is at its server. If that server dies
too, the request is blocked, which peers are told. A request that was only in
flight beside the culprit runs alone without a crash and is cleared.
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
MAX_SERVERS_NAMED = 4


class Verdict(enum.Enum):
    """What is known of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class Entry:
    """What is known of one fingerprint; its lack means ``CLEAR``."""

    __slots__ = ("expires_at", "is_blocked", "servers")

    def __init__(
        self, servers: frozenset[str], is_blocked: bool, expires_at: float
    ):
        self.servers = servers
        self.is_blocked = is_blocked
        self.expires_at = expires_at


def fingerprint(workspace: str, pipeline: str, body: Mapping[str, Any]) -> str:
    """Returns the fingerprint of a request, which starts with its workspace.

    Whether the answer is streamed does not change what the servers run.
    """
    plain = {key: value for key, value in body.items() if key != "stream"}
    text = json.dumps([workspace, pipeline, plain], sort_keys=True)
    return f"{workspace}/{hashlib.sha256(text.encode()).hexdigest()[:32]}"


class CrashSuspects:
    """Fingerprints with crashes, bounded for each workspace and in all.

    Attributes:
        publish: Called with the record of each change, to tell peers.
        is_enabled: Whether own and peers' crashes are recorded.
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

    def check(self, mark: str, now: float) -> Verdict:
        """Returns what is known of a fingerprint."""
        entry = self._workspaces.get(_workspace(mark), {}).get(mark)
        if entry is None or entry.expires_at <= now:
            return Verdict.CLEAR
        if entry.is_blocked:
            return Verdict.BLOCKED
        return Verdict.SUSPECT

    def record_crash(
        self, mark: str, server: str, now: float, was_alone: bool = False
    ) -> None:
        """Records a crash; the second one, met alone, blocks."""
        if not self.is_enabled:
            return
        known = self.check(mark, now)
        is_second = known is not Verdict.CLEAR
        self._merge(mark, frozenset({server}), was_alone and is_second, now)
        entry = self._workspaces[_workspace(mark)][mark]
        if known is not Verdict.BLOCKED:
            self._logger.warning(
                f"Server crashed under a request. fingerprint={mark}"
                f" server={server} alone={was_alone}"
                f" verdict={self.check(mark, now).value}"
            )
        self.publish(
            {
                "fingerprint": mark,
                "servers": sorted(entry.servers)[:MAX_SERVERS_NAMED],
                "is_blocked": entry.is_blocked,
            }
        )

    def record_success(self, mark: str, now: float) -> None:
        """Clears a suspect that ran alone without a crash."""
        if self.check(mark, now) is Verdict.SUSPECT:
            self._remove(mark)

    def import_record(self, record: Mapping[str, Any], now: float) -> None:
        """Takes a peer's record; it is not published again.

        Raises:
            ValueError: The record has another form.
        """
        try:
            mark = str(record["fingerprint"])
            servers = frozenset(str(name) for name in record["servers"])
            is_blocked = bool(record["is_blocked"])
        except (KeyError, TypeError) as exc:
            raise ValueError(f"not a record of a crash: {exc!r}") from exc
        if self.is_enabled:
            self._merge(mark, servers, is_blocked, now)

    def records(self, now: float) -> list[dict[str, Any]]:
        """Returns the records in effect, for a new peer."""
        return [
            {
                "fingerprint": mark,
                "servers": sorted(entry.servers),
                "is_blocked": entry.is_blocked,
            }
            for entries in self._workspaces.values()
            for mark, entry in entries.items()
            if entry.expires_at > now
        ]

    def _merge(
        self,
        mark: str,
        servers: frozenset[str],
        is_blocked: bool,
        now: float,
    ) -> None:
        known = self.check(mark, now)
        entries = self._workspaces.setdefault(
            _workspace(mark), collections.OrderedDict()
        )
        old = entries.pop(mark, None)
        self._count -= old is not None
        if old is not None and known is not Verdict.CLEAR:
            servers |= old.servers
        is_blocked = is_blocked or known is Verdict.BLOCKED
        ttl_s = BLOCKED_TTL_S if is_blocked else SUSPECT_TTL_S
        self._make_room(entries, now)
        entries[mark] = Entry(
            frozenset(sorted(servers)[:MAX_SERVERS_NAMED]),
            is_blocked,
            now + ttl_s,
        )
        self._workspaces[_workspace(mark)] = entries
        self._count += 1

    def _make_room(
        self, own: collections.OrderedDict[str, Entry], now: float
    ) -> None:
        if len(own) >= MAX_ENTRIES_PER_WORKSPACE:
            self._evict(own, now)
        elif self._count >= MAX_ENTRIES:
            # The workspace with the most entries pays, never a small one.
            self._evict(max(self._workspaces.values(), key=len), now)

    def _evict(
        self, entries: collections.OrderedDict[str, Entry], now: float
    ) -> None:
        mark = min(
            entries,
            key=lambda m: (
                entries[m].expires_at > now,
                entries[m].is_blocked,
            ),
        )
        self._remove(mark)

    def _remove(self, mark: str) -> None:
        workspace = _workspace(mark)
        del self._workspaces[workspace][mark]
        self._count -= 1
        if not self._workspaces[workspace]:
            del self._workspaces[workspace]


def _workspace(mark: str) -> str:
    return mark.rpartition("/")[0]


def new_suspects(
    publish: Callable[[dict[str, Any]], None] = lambda record: None,
    is_enabled: bool = True,
) -> CrashSuspects:
    """Returns suspects that tell ``publish`` of each crash."""
    return CrashSuspects(publish, is_enabled)
