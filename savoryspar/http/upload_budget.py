"""One limit on the memory of the bodies of all callers.

A body counts from the first byte that is read, or from its head if that states
a length above ``SMALL_BYTES``, until its request has been answered. Where there
is no room, uploads are given up in this order:

1. the one without progress for the longest time, after ``STALL_S``;
2. for a small body: the newest large one, then the largest small one;
3. for a large body: the newest large one that began later than it.

A body that is complete is never given up, as it may have been passed on. If
nothing is left to give up, the body that needs room is refused. So the oldest
upload that makes progress is always completed, and large bodies cannot take the
part of the budget that is reserved for small ones.
"""

import itertools
from typing import Protocol

from savoryspar.http import exceptions, upload_index

DEFAULT_MEMORY_MB = 200
"""Memory of the smallest VM, where the platform does not name any."""
LARGE_SHARE = 0.17
"""Part of the memory for large bodies: 8 bodies of 4 MB on the smallest VM."""
RESERVED_SHARE = 0.08
"""Part of the memory that only small bodies may use: 16 MB on the smallest VM,
8 kB for each of its 2,000 connections. Both parts are half of the 96 MB that
uploads may take there; the other half is for connections, bytes in the kernel,
the copy that is made at the end of a body, and what the allocator keeps."""
SMALL_BYTES = upload_index.SMALL_BYTES
"""Largest body that may use the reserve. Ordinary bodies have some kB."""
STALL_S = 1.0
"""Time without progress after which an upload may be given up. Callers are 1 ms
away, and a lost packet is sent again after 0.2 s."""
MAX_STALL_S = 5.0
"""Time after which it may be given up although bytes are waiting: this process
may be slow to read them, or they are no part of the body."""
PROGRESS_BYTES = 4096
PROGRESS_SHARE = 1 / 128
"""Bytes, and part of what is counted for a body, that count as progress, so
that single bytes now and then do not keep memory. 100 uploads that share 5
Mbit/s, the slowest link, get 6 kB/s each, and 8 of 4 MB get 78 kB/s, of which
33 kB are required."""
RETRY_S = STALL_S
"""Time after which a refused caller may retry: uploads that make no progress
can then be given up."""


class Source(Protocol):
    """The connection from which a body is read."""

    def has_data(self) -> bool:
        """Returns whether bytes were received and not yet read."""

    def free(self) -> None:
        """Frees the bytes of the body."""

    def wake_up(self) -> None:
        """Ends the wait of its reader for further bytes."""


class Upload:
    """The body of one request.

    Attributes:
        number: Position in the order in which uploads began.
        counted: Bytes that count toward the budget.
        is_reading: Whether it is being read, so that it may be given up.
        is_complete: Whether the whole body was read.
        error: Why it was given up, or None.
    """

    __slots__ = (
        "_marked_bytes",
        "began_at",
        "counted",
        "error",
        "is_complete",
        "is_reading",
        "number",
        "progress_at",
        "received",
        "source",
    )

    def __init__(self, source: Source, number: int, now: float):
        self.source = source
        self.number = number
        self.is_reading = False
        self.began_at = now
        self.progress_at = now
        self.counted = 0
        self.received = 0
        self.is_complete = False
        self.error: exceptions.UploadError | None = None
        self._marked_bytes = 0

    @property
    def is_large(self) -> bool:
        """Whether it may not use the reserve."""
        return self.counted > SMALL_BYTES

    def record(self, size: int, now: float) -> bool:
        """Records received bytes; returns whether they are progress."""
        self.received += size
        due = max(PROGRESS_BYTES, self.counted * PROGRESS_SHARE)
        if self.received - self._marked_bytes < due:
            return False
        self._marked_bytes = self.received
        self.progress_at = now
        return True

    def is_stalled(self, now: float) -> bool:
        """Returns whether it makes no progress although it is being read."""
        idle_s = now - self.progress_at
        return idle_s >= STALL_S and (
            idle_s >= MAX_STALL_S or not self.source.has_data()
        )


class UploadBudget:
    """The bytes of all bodies; create it with ``new_upload_budget``.

    Attributes:
        held: Bytes that are counted now.
        refused: Bodies that found no room, or were given up for others
            although they made progress, since the start.
        stalled: Bodies without progress that were given up since the start.
    """

    __slots__ = (
        "_held_large",
        "_index",
        "_large_limit",
        "_large_share_limit",
        "_numbers",
        "_reserved",
        "held",
        "refused",
        "stalled",
    )

    def __init__(self, large_limit: int, reserved: int):
        self._large_limit = self._large_share_limit = large_limit
        self._reserved = reserved
        # Uploads that are being read.
        self._index = upload_index.new_upload_index()
        self._numbers = itertools.count()
        self._held_large = 0
        self.held = 0
        self.refused = 0
        self.stalled = 0

    @property
    def limit(self) -> int:
        """Bytes that all bodies may have."""
        return self._large_limit + self._reserved

    def set_max_body(self, max_bytes: int) -> None:
        """Sets the largest body, for one of which there is always room."""
        self._large_limit = max(self._large_share_limit, max_bytes)

    def begin(self, source: Source, announced: int, now: float) -> Upload:
        """Begins to count a body.

        Args:
            source: Where it is read from.
            announced: Length that its head states, 0 if it states none.
            now: Monotonic time in seconds.

        Raises:
            UploadRefusedError: There is no room.
        """
        upload = Upload(source, next(self._numbers), now)
        self._count(upload, announced, now)
        upload.is_reading = True
        self._index.add(upload)
        return upload

    def receive(self, upload: Upload, size: int, now: float) -> None:
        """Counts received bytes of a body.

        Raises:
            UploadError: There is no room, or the upload was given up.
        """
        if upload.error is not None:
            raise upload.error
        is_progress = upload.record(size, now)
        if upload.received > upload.counted:
            self._count(upload, upload.received, now)
        if is_progress:
            self._index.record_progress(upload)

    def complete(self, upload: Upload) -> None:
        """Ends the reading of a body, which is held from now on.

        Raises:
            UploadError: The upload was given up.
        """
        if upload.error is not None:
            raise upload.error
        upload.is_complete = True
        self._end_reading(upload)

    def end(self, upload: Upload) -> None:
        """Ends the count of a body, whose bytes are no longer referenced."""
        self._end_reading(upload)
        self._set_counted(upload, 0)

    def _end_reading(self, upload: Upload) -> None:
        self._index.remove(upload)
        upload.is_reading = False

    def _count(self, upload: Upload, size: int, now: float) -> None:
        while not self._fits(upload, size):
            victim = self._victim(upload, size, now)
            if victim is None:
                self.refused += 1
                raise _refused_error()
            self._give_up(victim, now)
        self._set_counted(upload, size)

    def _set_counted(self, upload: Upload, size: int) -> None:
        self.held += size - upload.counted
        self._held_large -= upload.counted if upload.is_large else 0
        if upload.is_reading:
            self._index.resize(upload, size)
        upload.counted = size
        self._held_large += upload.counted if upload.is_large else 0

    def _fits(self, upload: Upload, size: int) -> bool:
        if self.held - upload.counted + size > self.limit:
            return False
        return size <= SMALL_BYTES or self._fits_large(upload, size)

    def _fits_large(self, upload: Upload, size: int) -> bool:
        others = self._held_large - (upload.counted if upload.is_large else 0)
        return others + size <= self._large_limit

    def _victim(self, upload: Upload, size: int, now: float) -> Upload | None:
        """Returns the upload to give up for another one, None without any."""
        is_large = size > SMALL_BYTES
        # Small bodies take nothing from what large ones lack.
        is_large_only = is_large and not self._fits_large(upload, size)
        return self._index.longest_stalled(upload, now, is_large_only) or (
            self._newer_large(upload)
            if is_large
            else self._larger(upload, size)
        )

    def _newer_large(self, upload: Upload) -> Upload | None:
        """Returns the newest large upload that began after another one."""
        newest = self._index.newest_large(upload)
        if newest is None or not upload.is_reading:
            return None
        return newest if newest.began_at > upload.began_at else None

    def _larger(self, upload: Upload, size: int) -> Upload | None:
        """Returns the upload to give up for a small body of a size."""
        newest = self._index.newest_large(upload)
        if newest is not None:
            return newest
        largest = self._index.largest_small(upload)
        return largest if largest and largest.counted > size else None

    def _give_up(self, upload: Upload, now: float) -> None:
        is_stalled = upload.is_stalled(now)
        if is_stalled:
            self.stalled += 1
            upload.error = exceptions.UploadStalledError(
                f"the body made no progress for {STALL_S:g} s, and others need"
                " its memory",
                "send the whole body without pauses",
            )
        else:
            self.refused += 1
            upload.error = _refused_error()
        self.end(upload)
        upload.source.free()
        if is_stalled:
            # The reader of another one sees the error with its next bytes.
            upload.source.wake_up()


def _refused_error() -> exceptions.UploadRefusedError:
    return exceptions.UploadRefusedError(
        "the bodies of other requests take the memory of this entry VM",
        "retry after the time in Retry-After",
    )


def new_upload_budget(memory_mb: float) -> UploadBudget:
    """Returns an empty budget.

    Args:
        memory_mb: Memory of the VM in MB, 0 if it is not known.
    """
    size = (memory_mb or DEFAULT_MEMORY_MB) * 1_000_000
    return UploadBudget(int(size * LARGE_SHARE), int(size * RESERVED_SHARE))
