"""Merging of parts into one gathered answer."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod

RECORD_BYTES = 16


class PartMerger(ABC):
    """Makes one body of the bodies of several parts."""

    @abstractmethod
    def merge(self, parts: list[bytes], limit: int) -> bytes:
        """Greatest `limit` entries of all parts, greatest first."""


class RecordMerger(PartMerger):
    """Merges opaque records of a fixed length, compared byte by byte.

    A remainder shorter than a record belongs to none.
    """

    def merge(self, parts: list[bytes], limit: int) -> bytes:
        """Greatest `limit` records of all parts, equal ones counted each."""
        records = (
            part[start : start + RECORD_BYTES]
            for part in parts
            for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
        )
        return b"".join(heapq.nlargest(limit, records))
