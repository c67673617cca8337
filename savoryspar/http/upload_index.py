"""The uploads that are being read, in the orders in which they give way.

All lookups take a time that does not depend on the number of uploads.
"""

import bisect
from collections.abc import Iterable
import itertools
import operator
from typing import Protocol

SMALL_BYTES = 64 << 10
"""Largest body that counts as small."""
BUCKET_BYTES = 1 << 10
"""Small uploads are in groups of about equal size."""
MAX_LOOKS = 8
"""Uploads that are looked at for one that is stalled. Those whose bytes have
arrived and are about to be read are passed over."""

by_number = operator.attrgetter("number")


class Upload(Protocol):
    """An upload, as the index sees it.

    Attributes:
        number: Position in the order in which uploads began.
        counted: Bytes that it counts.
        progress_at: When it made progress last, in monotonic seconds.
    """

    number: int
    counted: int
    progress_at: float

    def is_stalled(self, now: float) -> bool:
        """Returns whether it makes no progress although it is being read."""


class UploadIndex:
    """Uploads that count bytes; create it with ``new_upload_index``."""

    __slots__ = ("_by_begin", "_by_progress", "_by_size")

    def __init__(self) -> None:
        # Small and large uploads, in the order of their last progress.
        self._by_progress: dict[bool, dict[Upload, None]] = {
            False: {},
            True: {},
        }
        # Large uploads in the order in which they began.
        self._by_begin: list[Upload] = []
        # Small uploads by size.
        self._by_size: list[dict[Upload, None]] = [
            {} for _ in range(SMALL_BYTES // BUCKET_BYTES + 1)
        ]

    def add(self, upload: Upload) -> None:
        """Adds an upload, as one that has just made progress."""
        if not upload.counted:
            return
        is_large = upload.counted > SMALL_BYTES
        self._by_progress[is_large][upload] = None
        if is_large:
            bisect.insort(self._by_begin, upload, key=by_number)
        else:
            self._group(upload)[upload] = None

    def remove(self, upload: Upload) -> None:
        """Removes an upload, which may not be in the index."""
        is_large = upload.counted > SMALL_BYTES
        if upload not in self._by_progress[is_large]:
            return
        del self._by_progress[is_large][upload]
        if is_large:
            start = bisect.bisect_left(
                self._by_begin, upload.number, key=by_number
            )
            del self._by_begin[start]
        else:
            del self._group(upload)[upload]

    def resize(self, upload: Upload, size: int) -> None:
        """Sets what an upload counts, which leaves its place if it is small."""
        is_small = upload.counted > 0 and size <= SMALL_BYTES
        if not is_small or upload not in self._by_progress[False]:
            self.remove(upload)
            upload.counted = size
            self.add(upload)
            return
        del self._group(upload)[upload]
        upload.counted = size
        self._group(upload)[upload] = None

    def record_progress(self, upload: Upload) -> None:
        """Records that an upload has made progress."""
        uploads = self._by_progress[upload.counted > SMALL_BYTES]
        if upload in uploads:
            del uploads[upload]
            uploads[upload] = None

    def longest_stalled(
        self, excluded: Upload, now: float, is_large_only: bool
    ) -> Upload | None:
        """Returns the upload without progress for longest, None if none is.

        Args:
            excluded: An upload that is not returned.
            now: Monotonic time in seconds.
            is_large_only: Whether small ones are left out.
        """
        kinds = (True,) if is_large_only else (False, True)
        stalled = [
            _first_stalled(self._by_progress[is_large], excluded, now)
            for is_large in kinds
        ]
        return min(
            filter(None, stalled),
            key=lambda upload: upload.progress_at,
            default=None,
        )

    def newest_large(self, excluded: Upload) -> Upload | None:
        """Returns the large upload that began last, None without one."""
        newest = self._by_begin[-2:]
        return next(
            (upload for upload in reversed(newest) if upload is not excluded),
            None,
        )

    def largest_small(self, excluded: Upload) -> Upload | None:
        """Returns one of the largest small uploads, None without one."""
        return next(
            (
                upload
                for group in reversed(self._by_size)
                for upload in itertools.islice(group, 2)
                if upload is not excluded
            ),
            None,
        )

    def _group(self, upload: Upload) -> dict[Upload, None]:
        return self._by_size[upload.counted // BUCKET_BYTES]


def _first_stalled(
    uploads: Iterable[Upload], excluded: Upload, now: float
) -> Upload | None:
    return next(
        (
            upload
            for upload in itertools.islice(uploads, MAX_LOOKS)
            if upload is not excluded and upload.is_stalled(now)
        ),
        None,
    )


def new_upload_index() -> UploadIndex:
    """Returns an empty index."""
    return UploadIndex()
