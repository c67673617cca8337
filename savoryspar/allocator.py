"""Settings of the C library's allocator."""

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt`` in glibc."""
MMAP_THRESHOLD_BYTES = 128 << 10
"""Size from which a block is mapped by itself, and returned when it is freed.
glibc raises it to the size of the largest block that was freed (up to 32 MB);
bodies then come from the heap, which stays at its largest size while any block
at its end is used. 96 bodies of 1 MB left 78 MB there, and 9 MB with this."""
TRIM_THRESHOLD_BYTES = 4 << 20
"""Free bytes at the end of the heap that are kept. The default of 128 kB would
apply again, and small blocks of busy moments would be returned and requested
all the time."""


def return_large_blocks() -> None:
    """Makes freed large blocks go back to the system at once.

    Other C libraries than glibc have no such setting, and are left alone.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
