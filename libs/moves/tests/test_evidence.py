"""Evidence that instances count about the versions of a service."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.moves.controller import MoveController
from mimosahoist.moves.evidence import (
    SAMPLES_PREFIX,
    MoveEvidence,
    RouteCounter,
    SampleFacts,
    Window,
)
from mimosahoist.moves.sequential_test import Counts, rejection_reason

TYPICAL_SECONDS = 0.03
PAUSE_SECONDS = 0.2


class RouteCounterTest(PausedTestCase):
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

    def test_exchanges_from_before_the_baseline_was_known_are_judged_by_it(self) -> None:
        counter = RouteCounter()
        counter.record(True, False, 4 * TYPICAL_SECONDS)
        counter.record(True, False, TYPICAL_SECONDS)
        counter.record(True, False, 4 * TYPICAL_SECONDS, completed=False)
        counter.record(True, False, TYPICAL_SECONDS, completed=False)
        self.assertEqual(counter.counts.new, Counts(2, 0, 0))
        counter.record(False, False, TYPICAL_SECONDS)
        counter.share_baseline([TYPICAL_SECONDS] * 3)
        self.assertEqual(counter.counts.new, Counts(2, 0, 0))
        counter.share_baseline([TYPICAL_SECONDS] * 4)
        self.assertEqual(counter.counts, Window(Counts(1, 0, 0), Counts(3, 0, 2)))

    async def test_instances_with_few_samples_each_share_a_baseline(self) -> None:
        instances = [MoveEvidence("v1", "v2") for _ in range(4)]
        for evidence in instances:
            evidence.counter("r").record(False, False, TYPICAL_SECONDS)
            evidence.counter("r").record(True, False, 4 * TYPICAL_SECONDS)
        records = [
            (f"{SAMPLES_PREFIX}{name}", value)
            for evidence in instances
            for name, value in evidence.samples().items()
        ]
        self.assertTrue(all(SampleFacts().valid(value) for _, value in records))
        for evidence in instances:
            evidence.share_baselines(records)
            self.assertEqual(evidence.counter("r").counts.new, Counts(1, 0, 1))
            self.assertEqual(evidence.typical_seconds, TYPICAL_SECONDS)

    def test_odd_samples_of_others_are_dropped(self) -> None:
        odd = [None, [], [1.0], [1.0, -1.0], [1.0, float("nan")], [1.0, "x"], [1.0] * 6, {"a": 1}]
        for value in odd:
            with self.subTest(value):
                self.assertFalse(SampleFacts().valid(value))

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
