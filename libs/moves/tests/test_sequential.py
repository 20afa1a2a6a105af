from __future__ import annotations

import random
import unittest

from mimosahoist.moves.schedule import finish_time, make_schedule, scheduled_weight
from mimosahoist.moves.sequential_test import Counts, judge

RUNS = 200
STEPS = 200


def sequence(rng: random.Random, failing: float, slow: float) -> str | None:
    """Looks again and again at counts that grow, with a healthy old version beside."""
    old = [0, 0, 0]
    new = [0, 0, 0]
    for _ in range(STEPS):
        for counts, fail, late in ((old, 0.005, 0.05), (new, failing, slow)):
            counts[0] += 5
            counts[1] += sum(rng.random() < fail for _ in range(5))
            counts[2] += sum(rng.random() < late for _ in range(5))
        reason = judge(Counts(*old), Counts(*new))
        if reason is not None:
            return reason
    return None


class SequentialTest(unittest.TestCase):
    def rejected(self, failing: float, slow: float) -> int:
        return sum(sequence(random.Random(seed), failing, slow) is not None for seed in range(RUNS))

    def test_healthy_versions_pass(self) -> None:
        self.assertLessEqual(self.rejected(0.005, 0.05), RUNS // 20)

    def test_noisy_but_healthy_versions_pass(self) -> None:
        self.assertLessEqual(self.rejected(0.01, 0.07), RUNS // 20)

    def test_failing_versions_are_rejected(self) -> None:
        self.assertEqual(self.rejected(0.2, 0.05), RUNS)

    def test_slow_versions_are_rejected(self) -> None:
        self.assertEqual(self.rejected(0.005, 0.5), RUNS)

    def test_nothing_is_judged_without_exchanges(self) -> None:
        self.assertIsNone(judge(Counts(), Counts()))


class ScheduleTest(unittest.TestCase):
    def test_schedule_ends_before_the_deadline_with_a_reserve(self) -> None:
        stages = make_schedule(100.0, 200.0)
        self.assertEqual(stages[0].begins, 100.0)
        self.assertEqual([s.weight for s in stages], sorted(s.weight for s in stages))
        self.assertLess(stages[-1].begins, finish_time(100.0, 200.0))
        self.assertLess(finish_time(100.0, 200.0), 200.0)

    def test_weight_never_falls(self) -> None:
        weights = [scheduled_weight(0.0, 100.0, at) for at in range(100)]
        self.assertEqual(weights, sorted(weights))
        self.assertLessEqual(weights[0], 0.05)
