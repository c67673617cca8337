"""Prefix cache of the engine stand-in and the events that it publishes."""

import collections
import hashlib
import random
from typing import Any

BLOCK_CHARS = 256
MAX_EVENTS = 4096


def block_hashes(model: str, text: str) -> list[str]:
    """Returns the chained hashes of the complete blocks of a prompt, in hex."""
    hashes, digest = [], model.encode()
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        hashes.append(digest.hex())
    return hashes


class PrefixCache:
    """LRU cache of prompt blocks.

    Attributes:
        event_delay_s: Delay until events are published.
        event_gap_share: Share of events that are lost.
    """

    __slots__ = (
        "_blocks",
        "_capacity",
        "_events",
        "_rng",
        "_sequence",
        "event_delay_s",
        "event_gap_share",
    )

    def __init__(self, capacity: int, seed: int):
        self._capacity = capacity
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, bool, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._rng = random.Random(seed)
        self._sequence = 0
        self.event_delay_s = 0.0
        self.event_gap_share = 0.0

    def use(self, blocks: list[str], now: float) -> int:
        """Stores the blocks of a prompt; returns the number of cache hits."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in reversed(blocks):
            # Marks the end of a prompt as used before its beginning, so that it
            # is evicted first: blocks without their prefix are useless.
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._publish("stored", blocks[hits:], now)
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("removed", removed, now)
        return hits

    def events(self, after: int, now: float) -> dict[str, Any]:
        """Returns the published events after a sequence number."""
        due = [
            (is_lost, event)
            for at, is_lost, event in self._events
            if at + self.event_delay_s <= now and event["sequence"] > after
        ]
        last = due[-1][1]["sequence"] if due else min(after, self._sequence)
        kept = [event for is_lost, event in due if not is_lost]
        return {"events": kept, "last": last}

    def _publish(self, kind: str, blocks: list[str], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        event = {"sequence": self._sequence, "kind": kind, "blocks": blocks}
        is_lost = self._rng.random() < self.event_gap_share
        self._events.append((now, is_lost, event))
