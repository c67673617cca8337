"""A limit on the memory of all bodies that are being read."""

from typing import Protocol


class Body(Protocol):
    """A body that is being read."""

    def abort(self) -> None:
        """Makes a read by another green thread fail."""


class BufferedBytes:
    """Buffered bytes of the bodies that are being read.

    Attributes:
        total: Bytes buffered now.
    """

    __slots__ = ("_by_body", "_limit", "total")

    def __init__(self, limit: int):
        self._limit = limit
        self._by_body: dict[Body, int] = {}
        self.total = 0

    def add(self, body: Body, size: int) -> None:
        """Counts further bytes of a body, with the limit of ``set``."""
        self.set(body, self._by_body.get(body, 0) + size)

    def set(self, body: Body, size: int) -> None:
        """Counts the bytes of a body; above the limit, aborts the largest."""
        self.remove(body)
        if size:
            self._by_body[body] = size
            self.total += size
        if self.total > self._limit:
            largest = max(self._by_body, key=self._by_body.__getitem__)
            self.remove(largest)
            largest.abort()

    def remove(self, body: Body) -> None:
        """Removes the bytes of a body."""
        self.total -= self._by_body.pop(body, 0)
