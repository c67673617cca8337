"""CPU time, memory and parents of processes, read from ``/proc``."""

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROC = pathlib.Path("/proc")


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    fields = _stat_fields(pid)
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_bytes(pid: int, field: str = "VmRSS") -> int:
    """Returns a memory field of ``/proc/PID/status`` in bytes.

    Args:
        pid: Process ID.
        field: ``VmRSS`` for the resident memory, ``VmHWM`` for its peak.

    Returns:
        The size in bytes, 0 if the process has no such field.
    """
    for line in (PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    return 0


def parent(pid: int) -> int:
    """Returns the process ID of the parent."""
    return int(_stat_fields(pid)[1])


def children(pid: int) -> list[int]:
    """Returns the process IDs of the children."""
    pids = []
    for path in PROC.iterdir():
        if not path.name.isdigit():
            continue
        try:
            if parent(int(path.name)) == pid:
                pids.append(int(path.name))
        except OSError:
            # The process ended while the directory was read.
            continue
    return pids


def _stat_fields(pid: int) -> list[str]:
    # The command name in parentheses may contain spaces.
    text = (PROC / str(pid) / "stat").read_text()
    return text.rpartition(")")[2].split()
