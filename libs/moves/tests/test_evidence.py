"""Evidence that instances count about the versions of a service."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from mimosahoist.moves.controller import MoveController
from mimosahoist.moves.evidence import RouteCounter, Window
from mimosahoist.moves.sequential_test import Counts, rejection_reason

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


class StubFollower:
    def __init__(self, *windows: Window) -> None:
        self.windows = windows

    def recent_evidence(self, move: object) -> list[Window]:
        return list(self.windows)


class MoveEvidenceTest(unittest.TestCase):
    def test_weight_grows_only_with_evidence_on_each_route(self) -> None:
        cases = {
            "enough on both": (((400, 30), (200, 9)), True),
            "too little on one": (((400, 30), (200, 5)), False),
            "no traffic on one": (((400, 30), (0, 0)), True),
            "no traffic": ((), True),
        }
        for name, (totals, expected) in cases.items():
            with self.subTest(name):
                windows = [Window(Counts(old), Counts(new)) for old, new in totals]
                controller = SimpleNamespace(follower=StubFollower(*windows))
                self.assertIs(MoveController.has_evidence(controller, None), expected)


if __name__ == "__main__":
    unittest.main()
