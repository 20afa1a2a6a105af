"""Steps of a rollout, and the split of calls between versions during it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fakes import EngineFixture, plain_route

from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_exposure import CallNumbers, Exposure
from mimosahoist.forward.rollout_plan import (
    FULL_WEIGHT,
    RolloutObservation,
    RolloutPlan,
    next_step,
)
from mimosahoist.forward.version_split import COMPLETED_HOLD_SECONDS, VersionSplit
from mimosahoist.lab.paused_loop import PausedTestCase


def make_rollout(phase: RolloutPhase, weight: float = 0.0, seconds: float = 12.0) -> Rollout:
    return Rollout("desk", "v2", seconds, 7, RolloutState(phase, weight))


def observe(elapsed: float, since_change: float = 2.0, **fields: object) -> RolloutObservation:
    values = {
        "rejection_reason": None,
        "target_has_capacity": True,
        "all_confirmed": False,
        "exposure": make_exposure(elapsed),
        **fields,
    }
    return RolloutObservation(elapsed, since_change, **values)


def make_exposure(elapsed: float, target: int = 20, rate: float = 50.0) -> Exposure:
    requests = int(rate * elapsed)
    return Exposure(CallNumbers(requests, requests, target, target), rate)


class RolloutPlanTest(unittest.TestCase):
    def test_next_step(self) -> None:
        phase = RolloutPhase
        ordered = make_rollout(phase.ORDERED)
        running = make_rollout(phase.RUNNING, 0.04)
        trial = make_rollout(phase.TRIAL, 0.25)
        finishing = make_rollout(phase.FINISHING, 1.0)
        rolled_back = (phase.ROLLED_BACK, 0.0)
        cases = [
            ("counts before it starts", ordered, observe(0.5), (phase.ORDERED, 0.0)),
            ("counts longer", ordered, observe(2.0, instances=40), (phase.ORDERED, 0.0)),
            ("starts", ordered, observe(1.0), (phase.RUNNING, 0.056)),
            ("canary until late", running, observe(5.0), (phase.RUNNING, 0.04)),
            ("trial", running, observe(8.5), (phase.TRIAL, 0.126)),
            (
                "target lacks capacity",
                running,
                observe(9.0, target_has_capacity=False),
                (phase.RUNNING, 0.04),
            ),
            ("full traffic", trial, observe(9.9), (phase.FINISHING, 1.0)),
            ("trial too short", trial, observe(9.9, 0.4), (phase.TRIAL, 0.25)),
            ("doubt before full traffic", trial, observe(9.9, doubt="2 of 9"), (phase.TRIAL, 0.25)),
            (
                "too few calls left for full traffic",
                trial,
                observe(9.9, exposure=make_exposure(9.9, target=60)),
                rolled_back,
            ),
            ("not confirmed yet", finishing, observe(10.0), (phase.FINISHING, 1.0)),
            ("confirmed", finishing, observe(10.0, all_confirmed=True), (phase.COMPLETED, 1.0)),
            (
                "confirmed, not settled",
                finishing,
                observe(10.0, 0.7, all_confirmed=True),
                (phase.FINISHING, 1.0),
            ),
            (
                "confirmed, slower answers not settled",
                finishing,
                observe(10.0, 1.0, all_confirmed=True, typical_seconds=0.17),
                (phase.FINISHING, 1.0),
            ),
            (
                "confirmed with doubt",
                finishing,
                observe(10.0, all_confirmed=True, doubt="2 of 9 exchanges failed"),
                (phase.FINISHING, 1.0),
            ),
            (
                "no calls left",
                finishing,
                observe(10.0, all_confirmed=True, exposure=make_exposure(10.0, target=100)),
                rolled_back,
            ),
            (
                "target loses its capacity while finishing",
                finishing,
                observe(10.0, target_has_capacity=False, all_confirmed=True),
                rolled_back,
            ),
            ("time limit reached", trial, observe(11.6), rolled_back),
            ("never started", ordered, observe(30.0), rolled_back),
            (
                "target rejected",
                finishing,
                observe(10.0, rejection_reason="slow", all_confirmed=True),
                rolled_back,
            ),
            (
                "completed stays",
                make_rollout(phase.COMPLETED, 1.0),
                observe(99.0, rejection_reason="slow"),
                (phase.COMPLETED, 1.0),
            ),
            (
                "rolled back stays",
                make_rollout(phase.ROLLED_BACK),
                observe(1.0),
                rolled_back,
            ),
        ]
        for name, rollout, observed, expected in cases:
            with self.subTest(name):
                self.assertEqual(next_step(rollout, observed, SharedBounds()), expected)

    def test_full_traffic_starts_late_with_time_to_spare(self) -> None:
        bounds = SharedBounds()
        for seconds in (6.0, 12.0, 30.0, 120.0):
            with self.subTest(seconds=seconds):
                trial = make_rollout(RolloutPhase.TRIAL, 0.1, seconds)
                starts = [
                    left / 10
                    for left in range(int(seconds * 10))
                    if next_step(trial, self.good_so_far(seconds - left / 10), bounds)[1]
                    == FULL_WEIGHT
                ]
                self.assertLessEqual(max(starts), seconds / 2)
                plan = RolloutPlan(trial, self.good_so_far(seconds - max(starts)), bounds)
                self.assertGreaterEqual(max(starts), plan.finishing_seconds + 1.0)

    def good_so_far(self, elapsed: float) -> RolloutObservation:
        return observe(elapsed, exposure=make_exposure(elapsed, target=10))

    def test_bound_holds_for_requests_and_for_calls(self) -> None:
        bounds = SharedBounds(exposure_share=0.1, exposure_slack=50.0)
        cases = {
            "requests": (CallNumbers(1000, 1500, 100, 105), 0.9 * 150 - 100),
            "calls": (CallNumbers(1000, 1250, 60, 140), (0.9 * 175 - 140) / 1.25),
            "repeats to come": (CallNumbers(1000, 1000, 100, 100), (0.9 * 150 - 100) / 1.1),
        }
        for name, (numbers, expected) in cases.items():
            with self.subTest(name):
                self.assertAlmostEqual(Exposure(numbers, 100.0).remaining(bounds, 0.0), expected)


class VersionSplitTest(PausedTestCase):
    async def make_split(self) -> tuple[EngineFixture, VersionSplit]:
        fixture = EngineFixture()
        for domain in "ab":
            fixture.add("desk", domain, version="v1")
        fixture.add("desk", "c", version="v2")
        split = VersionSplit(make_rollout(RolloutPhase.RUNNING), 0.0)
        fixture.fleet.splits["desk"] = split
        return fixture, split

    def versions(self, fixture: EngineFixture) -> set[str]:
        return {upstream.record.version for upstream in fixture.fleet.eligible_upstreams("desk")}

    async def test_target_gets_no_calls_at_weight_zero_and_all_at_weight_one(self) -> None:
        fixture, split = await self.make_split()
        self.assertEqual(self.versions(fixture), {"v1"})
        split.set_weight(0.25)
        self.assertEqual(self.versions(fixture), {"v1", "v2"})
        split.set_weight(1.0)
        self.assertEqual(self.versions(fixture), {"v2"})

    async def test_other_versions_are_eligible_again_after_the_hold(self) -> None:
        fixture, split = await self.make_split()
        split.set_weight(1.0)
        split.update(make_rollout(RolloutPhase.COMPLETED, 1.0), 5.0)
        upstreams = fixture.fleet.services["desk"].values()
        self.assertEqual(len(split.eligible(upstreams, 5.0)), 1)
        self.assertEqual(len(split.eligible(upstreams, 5.0 + COMPLETED_HOLD_SECONDS)), 3)

    async def test_instance_started_after_completion_holds_versions_equally_long(self) -> None:
        fixture, _ = await self.make_split()
        split = VersionSplit(make_rollout(RolloutPhase.COMPLETED, 1.0), 5.0)
        split.set_weight(1.0)
        upstreams = fixture.fleet.services["desk"].values()
        self.assertEqual(len(split.eligible(upstreams, 5.0)), 1)
        self.assertEqual(len(split.eligible(upstreams, 5.0 + COMPLETED_HOLD_SECONDS)), 3)

    async def test_small_share_is_spent_on_all_routes_alike(self) -> None:
        fixture, split = await self.make_split()
        split.set_weight(0.1)
        routes = [replace(plain_route(), name=name) for name in ("common", "rare")]
        target = {"common": 0, "rare": 0}
        for number in range(1, 1001):
            route = routes[number % 20 == 0]
            chosen = fixture.engine.choose(route, "desk", set())
            target[route.name] += chosen.record.version == "v2"
            self.assertLessEqual(sum(target.values()), 0.1 * number)
        self.assertEqual(target["rare"], 50)
        self.assertGreater(target["common"], 45)

    async def test_share_is_never_exceeded_and_repeats_go_to_other_versions(self) -> None:
        fixture, split = await self.make_split()
        weight = 0.04
        split.set_weight(weight)
        target = 0
        for number in range(1, 1001):
            chosen = fixture.engine.choose(plain_route(), "desk", set())
            target += chosen.record.version == "v2"
            self.assertLessEqual(target, weight * 2 * number)
            repeat = fixture.engine.choose(plain_route(), "desk", {chosen.record.name})
            self.assertEqual(repeat.record.version, "v1")
        self.assertGreater(target, 10)
