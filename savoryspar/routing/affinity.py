"""Index of the prompt prefixes that each server has cached.

A prompt is split into blocks. The hash of a block covers all blocks before it,
so equal hashes mean equal prefixes. The index is updated from this process's
own routing decisions and from the servers' cache events.
"""

import collections
from collections.abc import Iterable, Sequence
import hashlib

BLOCK_CHARS = 256
MAX_BLOCKS = 64
"""Maximum number of blocks hashed per prompt; bounds the decision time."""
MAX_SERVERS_PER_BLOCK = 8
MAX_EVENT_DELAY_S = 2.0
"""Maximum delay of cache events."""
UNCERTAIN_WEIGHT = 0.5
"""Weight of an entry that predates a gap in the server's cache events."""


def block_hashes(model: str, prompt: str) -> list[int]:
    """Returns the chained hashes of the complete blocks of a prompt."""
    hashes = []
    digest = model.encode()
    count = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    for start in range(0, count * BLOCK_CHARS, BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big"))
    return hashes


class PrefixIndex:
    """Maps block hashes to the servers that cache them; a bounded LRU cache."""

    __slots__ = ("_blocks", "_gap_at", "_invalidated_at", "_max_entries")

    def __init__(self, max_entries: int):
        self._max_entries = max_entries
        self._blocks: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._gap_at: dict[str, float] = {}
        self._invalidated_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> tuple[dict[str, float], int]:
        """Returns how much of a prompt each server has cached.

        Returns:
            The number of leading blocks cached by each server, where an entry
            that predates a gap in its events counts half, and the largest
            number of leading blocks cached by any server.
        """
        matched: dict[str, float] = {}
        active: set[str] | None = None
        depth = 0
        for block in blocks:
            servers = self._blocks.get(block, {})
            names = servers.keys() if active is None else active
            active = {
                name
                for name in names
                if servers.get(name, -1.0)
                >= self._invalidated_at.get(name, 0.0)
            }
            if not active:
                break
            depth += 1
            for name in active:
                weight = self._weight(name, servers[name])
                matched[name] = matched.get(name, 0.0) + weight
        return matched, depth

    def _weight(self, server: str, at: float) -> float:
        return UNCERTAIN_WEIGHT if at < self._gap_at.get(server, 0.0) else 1.0

    def add(self, blocks: Iterable[int], server: str, now: float) -> None:
        """Records that a server has cached the blocks."""
        for block in blocks:
            servers = self._blocks.get(block)
            if servers is None:
                servers = self._blocks[block] = {}
            else:
                self._blocks.move_to_end(block)
            servers.pop(server, None)
            servers[server] = now
            if len(servers) > MAX_SERVERS_PER_BLOCK:
                del servers[next(iter(servers))]
        while len(self._blocks) > self._max_entries:
            self._blocks.popitem(last=False)

    def remove(self, blocks: Iterable[int], server: str, now: float) -> None:
        """Removes blocks that a server reported as evicted.

        An entry newer than the maximum event delay is kept, because the call
        that added it may have stored the block after the eviction.
        """
        for block in blocks:
            servers = self._blocks.get(block, {})
            if servers.get(server, now) < now - MAX_EVENT_DELAY_S:
                del servers[server]
                if not servers:
                    del self._blocks[block]

    def mark_gap(self, server: str, now: float) -> None:
        """Records that cache events of a server were lost."""
        self._gap_at[server] = now

    def invalidate(self, server: str, now: float) -> None:
        """Invalidates all entries of a server that lost its cache."""
        self._invalidated_at[server] = now

    def retain(self, servers: frozenset[str]) -> None:
        """Drops the timestamps of servers that are not in ``servers``."""
        for times in (self._gap_at, self._invalidated_at):
            for name in times.keys() - servers:
                del times[name]


def new_prefix_index(max_entries: int) -> PrefixIndex:
    """Returns an empty index of at most ``max_entries`` blocks."""
    return PrefixIndex(max_entries)
