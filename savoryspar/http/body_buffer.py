"""A buffer for a body that is being read.

A buffer that grows in place is moved again and again. Where many of them grow
side by side in the heap, that leaves gaps of all sizes, which fit none of them.
Small bodies are therefore kept in blocks of equal size, and large ones in a
buffer that is mapped by itself and returned when it is dropped.
"""

from savoryspar import allocator

FIRST_BYTES = 2 << 10
BLOCK_BYTES = 8 << 10
"""Sizes of the first block and of the others."""
MAX_BLOCKS_BYTES = allocator.MMAP_THRESHOLD_BYTES
"""Size above which a body is one buffer, which is mapped by itself."""


class BodyBuffer:
    """Bytes of a body; create it with ``new_body_buffer``.

    Attributes:
        size: Bytes in the buffer.
    """

    __slots__ = ("_blocks", "_free", "_large", "size")

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        # Bytes of the last block that are not used yet.
        self._free = 0
        self._large: bytearray | None = None
        self.size = 0

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        self.size += len(data)
        if self._large is None and self.size <= MAX_BLOCKS_BYTES:
            self._append_to_blocks(data)
            return
        if self._large is None:
            self._large = bytearray(self._join(data))
            return
        self._large += data

    def take(self) -> bytes:
        """Returns all bytes and clears the buffer."""
        data = self._join() if self._large is None else bytes(self._large)
        self.clear()
        return data

    def clear(self) -> None:
        """Drops all bytes."""
        self._blocks.clear()
        self._large = None
        self._free = self.size = 0

    def _append_to_blocks(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            if not self._free:
                self._free = BLOCK_BYTES if self._blocks else FIRST_BYTES
                self._blocks.append(bytearray(self._free))
            part = left[: self._free]
            block = self._blocks[-1]
            start = len(block) - self._free
            block[start : start + len(part)] = part
            self._free -= len(part)
            left = left[len(part) :]

    def _join(self, data: bytes = b"") -> bytes:
        """Returns the bytes of all blocks, which are dropped, and others."""
        if self._free:
            del self._blocks[-1][-self._free :]
        joined = b"".join([*self._blocks, data])
        self._blocks.clear()
        self._free = 0
        return joined


def new_body_buffer() -> BodyBuffer:
    """Returns an empty buffer."""
    return BodyBuffer()
