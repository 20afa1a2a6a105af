"""Memory that the process really holds."""

from __future__ import annotations

import ctypes
import gc
import os
from abc import ABC, abstractmethod

STATM_PATH = "/proc/self/statm"
# Position of the resident pages in the file.
RESIDENT_FIELD = 1


class ProcessMemory(ABC):
    """Tells how much memory the process holds."""

    @abstractmethod
    def resident_bytes(self) -> int:
        """Resident memory in bytes; 0 if it is not known."""

    @abstractmethod
    def release_unused(self) -> None:
        """Give back what is resident and not in use, which takes some milliseconds."""


class UnknownMemory(ProcessMemory):
    """Where the process's memory is not known."""

    def resident_bytes(self) -> int:
        """Return 0."""
        return 0

    def release_unused(self) -> None:
        """Do nothing."""


class KernelMemory(ProcessMemory):
    """Memory of this process by the kernel's account."""

    def __init__(self) -> None:
        self.page_bytes = os.sysconf("SC_PAGE_SIZE")
        # Not every C library has it.
        self.malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def resident_bytes(self) -> int:
        """Read the resident memory; 0 if the kernel doesn't tell."""
        try:
            with open(STATM_PATH, "rb") as file:
                return int(file.read().split()[RESIDENT_FIELD]) * self.page_bytes
        except (OSError, IndexError, ValueError):
            return 0

    def release_unused(self) -> None:
        """Collect garbage, and have the C library return the free pages of its heap."""
        gc.collect()
        if self.malloc_trim is not None:
            self.malloc_trim(0)
