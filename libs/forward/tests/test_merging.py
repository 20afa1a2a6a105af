"""Contract tests for all implementations of `PartMerger`: record and hit mergers."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from typing import Any

from mimosahoist.core.merging import PartMerger
from mimosahoist.forward.merge import RECORD_BYTES, RecordMerger
from mimosahoist.query.hit_merger import HitMerger
from mimosahoist.upstream.messages import Hit

MakePart = Callable[[random.Random, int], Any]


def make_records(rng: random.Random, count: int) -> bytes:
    """Records with few distinct values, so that many are equal."""
    return b"".join(bytes([rng.randrange(4)]) * RECORD_BYTES for _ in range(count))


def make_hits(rng: random.Random, count: int) -> list[Hit]:
    """Hits with few distinct scores."""
    return [Hit(float(rng.randrange(4)), f"id-{rng.randrange(50)}") for _ in range(count)]


MERGERS: dict[str, tuple[PartMerger[Any], MakePart, Any, int]] = {
    "records": (RecordMerger(), make_records, b"", RECORD_BYTES),
    "hits": (HitMerger(), make_hits, [], 1),
}


class MergerContractTest(unittest.TestCase):
    def merge_cases(self) -> Any:
        for name, fields in MERGERS.items():
            for seed in range(20):
                with self.subTest(name, seed=seed):
                    rng = random.Random(seed)
                    parts = [fields[1](rng, rng.randrange(8)) for _ in range(rng.randrange(6))]
                    yield *fields, rng, parts

    def test_length_is_the_smaller_of_limit_and_total(self) -> None:
        for merger, _, _, size, _, parts in self.merge_cases():
            total = sum(len(part) for part in parts) // size
            for limit in (0, 1, 5, 100):
                merged = merger.merge(parts, limit)
                self.assertEqual(len(merged) // size, min(limit, total))

    def test_result_is_independent_of_part_order(self) -> None:
        for merger, _, _, _, rng, parts in self.merge_cases():
            merged = merger.merge(parts, 5)
            rng.shuffle(parts)
            self.assertEqual(merger.merge(parts, 5), merged)

    def test_merging_in_steps_gives_the_same_result(self) -> None:
        for merger, _, _, _, _, parts in self.merge_cases():
            half = len(parts) // 2
            steps = [merger.merge(parts[:half], 5), merger.merge(parts[half:], 5)]
            self.assertEqual(merger.merge(steps, 5), merger.merge(parts, 5))

    def test_offset_skips_the_first_items(self) -> None:
        for merger, _, _, size, _, parts in self.merge_cases():
            self.assertEqual(merger.merge(parts, 4, 3), merger.merge(parts, 7)[3 * size :])

    def test_merging_a_merged_part_is_idempotent(self) -> None:
        for merger, _, _, _, _, parts in self.merge_cases():
            merged = merger.merge(parts, 5)
            self.assertEqual(merger.merge([merged], 5), merged)

    def test_empty_parts_give_an_empty_result(self) -> None:
        for name, (merger, _, empty, _) in MERGERS.items():
            with self.subTest(name):
                self.assertEqual(merger.merge([], 5), empty)
                self.assertEqual(merger.merge([empty, empty], 5), empty)
