"""Merging of hits with scores, as the product's own protocol carries them."""

from __future__ import annotations

import heapq
from operator import itemgetter
from typing import TYPE_CHECKING

from mimosahoist.core.merging import PartMerger

if TYPE_CHECKING:
    from mimosahoist.upstream.messages import Hit


class HitMerger(PartMerger[list["Hit"]]):
    """Orders hits by falling score; equal scores by id."""

    def merge(self, parts: list[list[Hit]], limit: int, offset: int = 0) -> list[Hit]:
        """Best `limit` hits of all parts after the first `offset`.

        Only hits that reach the last wanted score are sorted, as most of many shards' hits do not.
        """
        hits = [hit for part in parts for hit in part]
        wanted = limit + offset
        if len(hits) > wanted > 0:
            last = heapq.nlargest(wanted, [hit[0] for hit in hits])[-1]
            hits = [hit for hit in hits if hit[0] >= last]
        hits.sort(key=itemgetter(1))
        hits.sort(key=itemgetter(0), reverse=True)
        return hits[offset:wanted]
