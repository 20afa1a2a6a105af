"""Processor time and memory of a process, from the kernel's own accounts."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_FIELD = 13
SYSTEM_FIELD = 14


class ProcessUsage(NamedTuple):
    """Processor seconds since the start, and resident bytes."""

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the accounts of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD - 2]) + int(fields[SYSTEM_FIELD - 2])
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return ProcessUsage(ticks / TICKS_PER_SECOND, pages * PAGE_BYTES)
