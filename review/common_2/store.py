"""Stand-in for the platform's store: reads and watches of two prefixes."""

import asyncio
import base64
import itertools
import json
from typing import Any
from urllib import parse

from common_2 import wire


class Store:
    """Keys with revisions; every change is kept in the history."""

    def __init__(self) -> None:
        self._revisions = itertools.count(1)
        self.revision = next(self._revisions)
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def write(self, key: str, value: Any) -> None:
        """Writes a JSON document under a key."""
        self.revision = next(self._revisions)
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision = next(self._revisions)
        self._items.pop(key, None)
        self._add({"key": key, "revision": self.revision, "deleted": True})

    def _add(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _found(self, prefix: str, after: int = 0) -> list[dict[str, Any]]:
        return [
            item
            for item in self._history
            if item["key"].startswith(prefix) and item["revision"] > after
        ]

    async def answer(self, req: wire.Request) -> wire.Answer:
        """Answers a call."""
        path, _, text = req.target.partition("?")
        query = dict(parse.parse_qsl(text))
        if path == "/-/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return _json(404, {"as-of": self.revision})
            return _json(200, {**item, "as-of": self.revision})
        if path == "/-/kv-range":
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return _json(
                200,
                {
                    "entries": items,
                    "truncated": False,
                    "as-of": self.revision,
                },
            )
        return await self._watch(query)

    async def _watch(self, query: dict[str, str]) -> wire.Answer:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["wait-ms"]) / 1000.0
        prefix, after = query["prefix"], int(query["after"])
        while not (events := self._found(prefix, after)):
            left_s = ends_at - loop.time()
            if left_s <= 0.0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return _json(200, {"events": events, "as-of": self.revision})


def _json(status: int, body: Any) -> wire.Answer:
    return wire.Answer(
        status,
        [("Content-Type", "application/json")],
        json.dumps(body).encode(),
    )
