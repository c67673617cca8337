"""Which servers hold which prompt prefixes in their caches.

A prompt is cut into blocks. The hash of a block covers all blocks before it,
so equal hashes mean equal prefixes. The index learns from the own choices and
from the servers' cache events.
"""

import collections
from collections.abc import Iterable, Sequence
import hashlib

BLOCK_CHARS = 256
MAX_BLOCKS = 64
"""Blocks of a prompt that are looked at; bounds the time of a decision."""
MAX_HOLDERS = 8
EVENT_LAG_S = 2.0
"""How late cache events may come."""
UNSURE_WEIGHT = 0.5


def block_hashes(model: str, prompt: str) -> list[int]:
    """Returns the hash chain of the whole blocks of a prompt."""
    hashes = []
    digest = model.encode()
    whole = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for start in range(0, whole * BLOCK_CHARS, BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big"))
    return hashes


class PrefixIndex:
    """Claims that a server holds a block, in bounded memory (LRU)."""

    __slots__ = ("_blocks", "_cleared_at", "_gap_at", "_max_entries")

    def __init__(self, max_entries: int):
        self._max_entries = max_entries
        self._blocks: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._gap_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> tuple[dict[str, float], int]:
        """Returns what the servers hold of a prompt.

        Returns:
            The leading blocks that each server holds, where a claim from
            before a gap in its events counts half, and the number of leading
            blocks that any server holds.
        """
        matched: dict[str, float] = {}
        active: set[str] | None = None
        depth = 0
        for block in blocks:
            holders = self._blocks.get(block, {})
            names = holders.keys() if active is None else active
            active = {
                name
                for name in names
                if holders.get(name, -1.0) >= self._cleared_at.get(name, 0.0)
            }
            if not active:
                break
            depth += 1
            for name in active:
                weight = self._weight(name, holders[name])
                matched[name] = matched.get(name, 0.0) + weight
        return matched, depth

    def _weight(self, server: str, at: float) -> float:
        return UNSURE_WEIGHT if at < self._gap_at.get(server, 0.0) else 1.0

    def learn(self, blocks: Iterable[int], server: str, now: float) -> None:
        """Records that a server holds the blocks from now on."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None:
                holders = self._blocks[block] = {}
            else:
                self._blocks.move_to_end(block)
            holders.pop(server, None)
            holders[server] = now
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
        while len(self._blocks) > self._max_entries:
            self._blocks.popitem(last=False)

    def forget(self, blocks: Iterable[int], server: str, now: float) -> None:
        """Takes a removal event.

        A claim younger than the events' lag stays: the call that made it may
        have stored the block after the removal.
        """
        for block in blocks:
            holders = self._blocks.get(block, {})
            if holders.get(server, now) < now - EVENT_LAG_S:
                del holders[server]
                if not holders:
                    del self._blocks[block]

    def mark_gap(self, server: str, now: float) -> None:
        """Notes that events of a server were lost."""
        self._gap_at[server] = now

    def clear(self, server: str, now: float) -> None:
        """Forgets a server whose cache is gone."""
        self._cleared_at[server] = now

    def retain(self, servers: frozenset[str]) -> None:
        """Drops the notes on servers that no longer exist."""
        for notes in (self._gap_at, self._cleared_at):
            for name in notes.keys() - servers:
                del notes[name]


def new_prefix_index(max_entries: int) -> PrefixIndex:
    """Returns an empty index of at most that many blocks."""
    return PrefixIndex(max_entries)
