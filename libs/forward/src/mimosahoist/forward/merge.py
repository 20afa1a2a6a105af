"""Merging of opaque fixed-length records."""

from __future__ import annotations

import heapq

from mimosahoist.core.merging import PartMerger

RECORD_BYTES = 16


class RecordMerger(PartMerger[bytes]):
    """Merges opaque records of a fixed length, compared byte by byte.

    Trailing bytes of a part that are shorter than a record are ignored.
    """

    def merge(self, parts: list[bytes], limit: int, offset: int = 0) -> bytes:
        """Greatest `limit` records of all parts after the first `offset`; duplicates are kept."""
        records = (
            part[start : start + RECORD_BYTES]
            for part in parts
            for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
        )
        return b"".join(heapq.nlargest(limit + offset, records)[offset:])
