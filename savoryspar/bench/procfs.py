"""Figures of processes, read from /proc."""

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROC = pathlib.Path("/proc")


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    fields = _stat_fields(pid)
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_bytes(pid: int, field: str = "VmRSS") -> int:
    """Returns the resident memory, or its peak ``VmHWM``, in bytes."""
    for line in (PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    return 0


def parent(pid: int) -> int:
    """Returns the process ID of the parent."""
    return int(_stat_fields(pid)[1])


def children(pid: int) -> list[int]:
    """Returns the process IDs of the children."""
    found = []
    for path in PROC.iterdir():
        if not path.name.isdigit():
            continue
        try:
            if parent(int(path.name)) == pid:
                found.append(int(path.name))
        except OSError:
            # The process ended while the list was read.
            continue
    return found


def _stat_fields(pid: int) -> list[str]:
    # The command name in parentheses may hold blanks.
    text = (PROC / str(pid) / "stat").read_text()
    return text.rpartition(")")[2].split()
