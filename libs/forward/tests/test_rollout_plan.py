"""When a rollout advances, and how calls are divided meanwhile."""

from __future__ import annotations

import unittest

from fakes import EngineFixture, plain_route

from mimosahoist.forward.rollout_order import RolloutOrder, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_plan import (
    CANARY_WEIGHT,
    TRIAL_WEIGHT,
    RolloutSigns,
    finish_begins,
    next_step,
)
from mimosahoist.forward.version_split import COMPLETED_HOLD_SECONDS, VersionSplit
from mimosahoist.lab.paused_loop import PausedTestCase


def order(phase: RolloutPhase, weight: float = 0.0, seconds: float = 12.0) -> RolloutOrder:
    return RolloutOrder("desk", "v2", seconds, 7, RolloutState(phase, weight))


def signs(elapsed: float, in_phase: float = 2.0, **fields: object) -> RolloutSigns:
    given = {"fault": None, "able": True, "confirmed": False, **fields}
    return RolloutSigns(elapsed, in_phase, **given)


class RolloutPlanTest(unittest.TestCase):
    def test_steps(self) -> None:
        phase = RolloutPhase
        cases = [
            ("begins at once", order(phase.ORDERED), signs(0.1), (phase.RUNNING, CANARY_WEIGHT)),
            ("waits", order(phase.RUNNING, 0.04), signs(5.0), (phase.RUNNING, CANARY_WEIGHT)),
            ("trial", order(phase.RUNNING, 0.04), signs(7.0), (phase.RUNNING, TRIAL_WEIGHT)),
            ("trial first", order(phase.RUNNING, 0.04), signs(9.0), (phase.RUNNING, TRIAL_WEIGHT)),
            ("all of it", order(phase.RUNNING, 0.25), signs(8.6), (phase.FINISHING, 1.0)),
            (
                "too few upstreams of the target",
                order(phase.RUNNING, 0.04),
                signs(9.0, able=False),
                (phase.RUNNING, CANARY_WEIGHT),
            ),
            (
                "not confirmed yet",
                order(phase.FINISHING, 1.0),
                signs(10.0),
                (phase.FINISHING, 1.0),
            ),
            (
                "confirmed",
                order(phase.FINISHING, 1.0),
                signs(10.0, confirmed=True),
                (phase.COMPLETED, 1.0),
            ),
            (
                "target upstreams lost at the end",
                order(phase.FINISHING, 1.0),
                signs(10.0, able=False, confirmed=True),
                (phase.ROLLED_BACK, 0.0),
            ),
            ("too late", order(phase.RUNNING, 0.25), signs(11.6), (phase.ROLLED_BACK, 0.0)),
            ("never began", order(phase.ORDERED), signs(30.0), (phase.ROLLED_BACK, 0.0)),
            (
                "bad",
                order(phase.FINISHING, 1.0),
                signs(10.0, fault="slow", confirmed=True),
                (phase.ROLLED_BACK, 0.0),
            ),
            (
                "completed stays",
                order(phase.COMPLETED, 1.0),
                signs(99.0, fault="slow"),
                (phase.COMPLETED, 1.0),
            ),
            (
                "rolled back stays",
                order(phase.ROLLED_BACK),
                signs(1.0),
                (phase.ROLLED_BACK, 0.0),
            ),
        ]
        for name, given, seen, wanted in cases:
            with self.subTest(name):
                self.assertEqual(next_step(given, seen), wanted)

    def test_all_traffic_moves_late_and_with_time_to_spare(self) -> None:
        for seconds in (6.0, 12.0, 30.0, 120.0):
            with self.subTest(seconds=seconds):
                self.assertGreaterEqual(finish_begins(seconds), seconds / 2)
                self.assertLessEqual(finish_begins(seconds), seconds - 3.0)


class VersionSplitTest(PausedTestCase):
    async def make(self) -> tuple[EngineFixture, VersionSplit]:
        world = EngineFixture()
        for domain in "ab":
            world.add("desk", domain, version="v1")
        world.add("desk", "c", version="v2")
        split = VersionSplit(order(RolloutPhase.RUNNING), 0.0)
        world.fleet.splits["desk"] = split
        return world, split

    def versions(self, world: EngineFixture) -> set[str]:
        return {upstream.record.version for upstream in world.fleet.eligible_upstreams("desk")}

    async def test_target_gets_nothing_before_its_share_and_all_in_the_end(self) -> None:
        world, split = await self.make()
        self.assertEqual(self.versions(world), {"v1"})
        split.set_weight(0.25)
        self.assertEqual(self.versions(world), {"v1", "v2"})
        split.set_weight(1.0)
        self.assertEqual(self.versions(world), {"v2"})

    async def test_versions_after_completion_are_free_again(self) -> None:
        world, split = await self.make()
        split.set_weight(1.0)
        split.take(order(RolloutPhase.COMPLETED, 1.0), 5.0)
        upstreams = world.fleet.services["desk"].values()
        self.assertEqual(len(split.allowed(upstreams, 5.0)), 1)
        self.assertEqual(len(split.allowed(upstreams, 5.0 + COMPLETED_HOLD_SECONDS)), 3)

    async def test_instance_that_starts_after_completion_holds_versions_no_longer(self) -> None:
        world, _ = await self.make()
        split = VersionSplit(order(RolloutPhase.COMPLETED, 1.0), 5.0)
        split.set_weight(1.0)
        upstreams = world.fleet.services["desk"].values()
        self.assertEqual(len(split.allowed(upstreams, 5.0)), 1)
        self.assertEqual(len(split.allowed(upstreams, 5.0 + COMPLETED_HOLD_SECONDS)), 3)

    async def test_share_is_never_exceeded_and_repeats_stay_with_the_others(self) -> None:
        world, split = await self.make()
        split.set_weight(CANARY_WEIGHT)
        target = 0
        for number in range(1, 1001):
            chosen = world.engine.choose(plain_route(), "desk", set())
            target += chosen.record.version == "v2"
            self.assertLessEqual(target, CANARY_WEIGHT * 2 * number)
            repeat = world.engine.choose(plain_route(), "desk", {chosen.record.name})
            self.assertEqual(repeat.record.version, "v1")
        self.assertGreater(target, 10)
