"""Synthetic corpus with computable hits, to verify merged answers."""

from __future__ import annotations

from mimosahoist.core.hashing import hash_text
from mimosahoist.upstream.messages import Hit

HITS_PER_SHARD = 10
SCORE_STEPS = 50


def shard_hits(service: str, snapshot: int, shards: list[int], text: str, limit: int) -> list[Hit]:
    """Return the best hits of the given shards; scores are coarse, so that ties occur."""
    hits = []
    for shard in shards:
        for number in range(HITS_PER_SHARD):
            name = f"{service}.{snapshot}.{shard}.{number}"
            steps = hash_text(f"{name}/{text}") % SCORE_STEPS
            hits.append(Hit(steps / SCORE_STEPS, name))
    hits.sort(key=lambda hit: (-hit.score, hit.id))
    return hits[:limit]


def expected_hits(
    service: str, snapshot: int, shards: list[int], text: str, limit: int, offset: int
) -> list[Hit]:
    """Return the hits that a merged answer over the given shards must have."""
    hits = shard_hits(service, snapshot, shards, text, limit + offset)
    return hits[offset:]
