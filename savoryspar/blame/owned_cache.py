"""A bounded cache in which no owner evicts the entries of the others."""

import collections
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class OwnedCache(Generic[Key, Value]):
    """Entries by key, each with an owner, evicted least recently stored first.

    An owner above its share evicts entries of its own. When the cache is full,
    an entry of the owner with the most entries is evicted.
    """

    __slots__ = ("_by_owner", "_entries", "_max_entries", "_max_per_owner")

    def __init__(self, max_entries: int, max_per_owner: int):
        self._max_entries = max_entries
        self._max_per_owner = max_per_owner
        self._entries: dict[Key, tuple[str, Value]] = {}
        self._by_owner: dict[str, collections.OrderedDict[Key, None]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    def get(self, key: Key) -> Value | None:
        """Returns the value of a key, or None."""
        entry = self._entries.get(key)
        return entry[1] if entry else None

    def values(self) -> Iterator[Value]:
        """Returns all values."""
        return (value for _, value in self._entries.values())

    def put(self, owner: str, key: Key, value: Value) -> list[Value]:
        """Stores a value, which makes it the owner's newest.

        Returns:
            The values that were evicted.
        """
        self.pop(key)
        evicted = []
        own = self._by_owner.get(owner, ())
        if len(own) >= self._max_per_owner:
            evicted.append(self.pop(next(iter(own))))
        elif len(self._entries) >= self._max_entries:
            largest = max(self._by_owner.values(), key=len)
            evicted.append(self.pop(next(iter(largest))))
        self._entries[key] = (owner, value)
        self._by_owner.setdefault(owner, collections.OrderedDict())[key] = None
        return evicted

    def pop(self, key: Key) -> Value | None:
        """Removes a key and returns its value, or None."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        owner, value = entry
        del self._by_owner[owner][key]
        if not self._by_owner[owner]:
            del self._by_owner[owner]
        return value
