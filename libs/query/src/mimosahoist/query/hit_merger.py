"""Merging of scored hits, in the form that the entry protocol uses."""

from __future__ import annotations

import heapq
from operator import itemgetter
from typing import TYPE_CHECKING

from mimosahoist.core.merging import PartMerger

if TYPE_CHECKING:
    from mimosahoist.upstream.messages import Hit


class HitMerger(PartMerger[list["Hit"]]):
    """Orders hits by descending score, and by id where scores are equal."""

    def merge(self, parts: list[list[Hit]], limit: int, offset: int = 0) -> list[Hit]:
        """Merge all parts and return the best `limit` hits after the first `offset`.

        Hits that score below the last hit to return are dropped before sorting, because with many
        shards that is most of them.
        """
        hits = [hit for part in parts for hit in part]
        wanted = limit + offset
        if len(hits) > wanted > 0:
            last = heapq.nlargest(wanted, [hit[0] for hit in hits])[-1]
            hits = [hit for hit in hits if hit[0] >= last]
        hits.sort(key=itemgetter(1))
        hits.sort(key=itemgetter(0), reverse=True)
        return hits[offset:wanted]
