"""Steps of a rollout, and the split of calls between versions during it."""

from __future__ import annotations

import unittest

from fakes import EngineFixture, plain_route

from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_plan import (
    CANARY_WEIGHT,
    TRIAL_WEIGHT,
    RolloutObservation,
    finishing_start,
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
        **fields,
    }
    return RolloutObservation(elapsed, since_change, **values)


class RolloutPlanTest(unittest.TestCase):
    def test_next_step(self) -> None:
        phase = RolloutPhase
        cases = [
            (
                "starts at once",
                make_rollout(phase.ORDERED),
                observe(0.1),
                (phase.RUNNING, CANARY_WEIGHT),
            ),
            (
                "canary until late",
                make_rollout(phase.RUNNING, 0.04),
                observe(5.0),
                (phase.RUNNING, CANARY_WEIGHT),
            ),
            (
                "trial",
                make_rollout(phase.RUNNING, 0.04),
                observe(7.0),
                (phase.RUNNING, TRIAL_WEIGHT),
            ),
            (
                "trial before full traffic",
                make_rollout(phase.RUNNING, 0.04),
                observe(9.0),
                (phase.RUNNING, TRIAL_WEIGHT),
            ),
            (
                "full traffic",
                make_rollout(phase.RUNNING, 0.25),
                observe(8.6),
                (phase.FINISHING, 1.0),
            ),
            (
                "target lacks capacity",
                make_rollout(phase.RUNNING, 0.04),
                observe(9.0, target_has_capacity=False),
                (phase.RUNNING, CANARY_WEIGHT),
            ),
            (
                "not confirmed yet",
                make_rollout(phase.FINISHING, 1.0),
                observe(10.0),
                (phase.FINISHING, 1.0),
            ),
            (
                "confirmed",
                make_rollout(phase.FINISHING, 1.0),
                observe(10.0, all_confirmed=True),
                (phase.COMPLETED, 1.0),
            ),
            (
                "target loses its capacity while finishing",
                make_rollout(phase.FINISHING, 1.0),
                observe(10.0, target_has_capacity=False, all_confirmed=True),
                (phase.ROLLED_BACK, 0.0),
            ),
            (
                "time limit reached",
                make_rollout(phase.RUNNING, 0.25),
                observe(11.6),
                (phase.ROLLED_BACK, 0.0),
            ),
            ("never started", make_rollout(phase.ORDERED), observe(30.0), (phase.ROLLED_BACK, 0.0)),
            (
                "target rejected",
                make_rollout(phase.FINISHING, 1.0),
                observe(10.0, rejection_reason="slow", all_confirmed=True),
                (phase.ROLLED_BACK, 0.0),
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
                (phase.ROLLED_BACK, 0.0),
            ),
        ]
        for name, rollout, observed, expected in cases:
            with self.subTest(name):
                self.assertEqual(next_step(rollout, observed), expected)

    def test_full_traffic_starts_late_with_time_to_spare(self) -> None:
        for seconds in (6.0, 12.0, 30.0, 120.0):
            with self.subTest(seconds=seconds):
                self.assertGreaterEqual(finishing_start(seconds), seconds / 2)
                self.assertLessEqual(finishing_start(seconds), seconds - 3.0)


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

    async def test_share_is_never_exceeded_and_repeats_go_to_other_versions(self) -> None:
        fixture, split = await self.make_split()
        split.set_weight(CANARY_WEIGHT)
        target = 0
        for number in range(1, 1001):
            chosen = fixture.engine.choose(plain_route(), "desk", set())
            target += chosen.record.version == "v2"
            self.assertLessEqual(target, CANARY_WEIGHT * 2 * number)
            repeat = fixture.engine.choose(plain_route(), "desk", {chosen.record.name})
            self.assertEqual(repeat.record.version, "v1")
        self.assertGreater(target, 10)
