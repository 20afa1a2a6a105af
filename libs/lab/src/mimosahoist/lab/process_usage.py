"""CPU time and resident memory of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UTIME_INDEX = 13
STIME_INDEX = 14


class ProcessUsage(NamedTuple):
    """User and system CPU seconds since the process started, and resident bytes."""

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the CPU time and resident memory of a process.

    The command name in /proc/PID/stat may hold spaces, so fields are counted after its closing
    parenthesis, where two fields are already consumed.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[UTIME_INDEX - 2]) + int(fields[STIME_INDEX - 2])
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return ProcessUsage(ticks / TICKS_PER_SECOND, pages * PAGE_BYTES)
