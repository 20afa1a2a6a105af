"""Evidence that instances count about the versions of a service."""

from __future__ import annotations

import random
import unittest

from mimosahoist.moves.evidence import RouteCounter
from mimosahoist.moves.sequential_test import rejection_reason

TYPICAL_SECONDS = 0.03
PAUSE_SECONDS = 0.2


class RouteCounterTest(unittest.TestCase):
    def test_slow_version_is_noticed_on_a_route_with_few_calls(self) -> None:
        rng = random.Random(4)
        counter = RouteCounter()
        for number in range(40):
            pause = PAUSE_SECONDS if number % 20 == 5 else 0.0
            counter.record(False, False, TYPICAL_SECONDS * rng.uniform(0.7, 1.3) + pause)
        for _ in range(15):
            counter.record(True, False, 4 * TYPICAL_SECONDS * rng.uniform(0.7, 1.3))
        window = counter.counts
        self.assertEqual(window.new.slow, 15)
        self.assertIsNotNone(rejection_reason(window.old, window.new))

    def test_pauses_of_both_versions_reject_none(self) -> None:
        counter = RouteCounter()
        for number in range(400):
            pause = PAUSE_SECONDS if number % 21 == 5 else 0.0
            counter.record(number % 4 == 1, False, TYPICAL_SECONDS + pause)
        window = counter.counts
        self.assertIsNone(rejection_reason(window.old, window.new))


if __name__ == "__main__":
    unittest.main()
