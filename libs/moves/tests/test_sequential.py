"""Error rates of the sequential test of a new version, and the schedule of a move."""

from __future__ import annotations

import random
import unittest

from mimosahoist.moves.schedule import finish_time, make_schedule, scheduled_weight
from mimosahoist.moves.sequential_test import Counts, rejection_reason

SEEDS = 200
CHECKS = 200


def run_checks(rng: random.Random, failing: float, slow: float) -> str | None:
    """Run the test after each growth of the counts, against a healthy old version."""
    old = [0, 0, 0]
    new = [0, 0, 0]
    for _ in range(CHECKS):
        for counts, fail, late in ((old, 0.005, 0.05), (new, failing, slow)):
            counts[0] += 5
            counts[1] += sum(rng.random() < fail for _ in range(5))
            counts[2] += sum(rng.random() < late for _ in range(5))
        reason = rejection_reason(Counts(*old), Counts(*new))
        if reason is not None:
            return reason
    return None


class SequentialTest(unittest.TestCase):
    def rejected(self, failing: float, slow: float) -> int:
        return sum(
            run_checks(random.Random(seed), failing, slow) is not None for seed in range(SEEDS)
        )

    def test_healthy_versions_pass(self) -> None:
        self.assertLessEqual(self.rejected(0.005, 0.05), SEEDS // 20)

    def test_noisy_but_healthy_versions_pass(self) -> None:
        self.assertLessEqual(self.rejected(0.01, 0.07), SEEDS // 20)

    def test_failing_versions_are_rejected(self) -> None:
        self.assertEqual(self.rejected(0.2, 0.05), SEEDS)

    def test_slow_versions_are_rejected(self) -> None:
        self.assertEqual(self.rejected(0.005, 0.5), SEEDS)

    def test_no_version_is_rejected_without_exchanges(self) -> None:
        self.assertIsNone(rejection_reason(Counts(), Counts()))


class ScheduleTest(unittest.TestCase):
    def test_schedule_ends_before_the_deadline_with_a_reserve(self) -> None:
        stages = make_schedule(100.0, 200.0)
        self.assertEqual(stages[0].begins, 100.0)
        self.assertEqual([s.weight for s in stages], sorted(s.weight for s in stages))
        self.assertLess(stages[-1].begins, finish_time(100.0, 200.0))
        self.assertLess(finish_time(100.0, 200.0), 200.0)

    def test_weight_never_decreases(self) -> None:
        weights = [scheduled_weight(0.0, 100.0, at) for at in range(100)]
        self.assertEqual(weights, sorted(weights))
        self.assertLessEqual(weights[0], 0.05)
