"""Upstreams of a version that a service did not have, before a rollout of it is known."""

from __future__ import annotations

import asyncio

from fakes import HEADER_NAMES

from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import SharedBounds, UpstreamRecord
from mimosahoist.forward.fleet import NEW_VERSION_HOLD_SECONDS, UpstreamFleet
from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.version_split import VersionSplit
from mimosahoist.lab.paused_loop import PausedTestCase


def record(name: str, version: str, service: str = "desk") -> UpstreamRecord:
    return UpstreamRecord(name, service, "127.0.0.1:1", "a", version)


class NewVersionTest(PausedTestCase):
    async def start(self) -> UpstreamFleet:
        fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        for name in ("u1", "u2"):
            fleet.upsert(record(name, "v1"))
        await asyncio.sleep(5.0)
        return fleet

    def eligible(self, fleet: UpstreamFleet) -> set[str]:
        return {upstream.record.name for upstream in fleet.eligible_upstreams("desk")}

    async def test_new_version_gets_no_calls_before_its_rollout_is_known(self) -> None:
        fleet = await self.start()
        fleet.upsert(record("u3", "v2"))
        await asyncio.sleep(1.0)
        fleet.upsert(record("u4", "v2"))
        self.assertEqual(self.eligible(fleet), {"u1", "u2"})
        await asyncio.sleep(0.9)
        self.assertEqual(self.eligible(fleet), {"u1", "u2"})
        fleet.splits["desk"] = VersionSplit(Rollout("desk", "v2", 12.0), 0.0)
        await asyncio.sleep(NEW_VERSION_HOLD_SECONDS)
        self.assertEqual(self.eligible(fleet), {"u1", "u2"})

    async def test_new_version_gets_no_calls_under_an_earlier_rollout_before_its_own_is_known(
        self,
    ) -> None:
        for phase, weight in ((RolloutPhase.ROLLED_BACK, 0.0), (RolloutPhase.RUNNING, 0.1)):
            with self.subTest(phase):
                fleet = await self.start()
                fleet.upsert(record("u3", "v2"))
                state = RolloutState(phase, weight)
                split = VersionSplit(Rollout("desk", "v2", 12.0, state=state), now())
                split.set_weight(weight)
                fleet.splits["desk"] = split
                before = self.eligible(fleet)
                fleet.upsert(record("u4", "v3"))
                self.assertEqual(self.eligible(fleet), before)
                await asyncio.sleep(NEW_VERSION_HOLD_SECONDS)
                self.assertIn("u4", self.eligible(fleet))

    async def test_new_version_without_a_rollout_is_used_after_a_while(self) -> None:
        fleet = await self.start()
        fleet.upsert(record("u3", "v2"))
        await asyncio.sleep(NEW_VERSION_HOLD_SECONDS)
        self.assertEqual(self.eligible(fleet), {"u1", "u2", "u3"})
        fleet.upsert(record("u4", "v2"))
        self.assertIn("u4", self.eligible(fleet))

    async def test_new_version_is_used_at_once_if_there_is_no_other(self) -> None:
        fleet = await self.start()
        fleet.upsert(record("u3", "v2"))
        for name in ("u1", "u2"):
            fleet.remove(name, "gone")
        self.assertEqual(self.eligible(fleet), {"u3"})

    async def test_versions_that_are_listed_together_at_the_start_are_all_used(self) -> None:
        fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        for number, version in enumerate(("v2", "v1", "v2")):
            fleet.upsert(record(f"u{number}", version))
        self.assertEqual(len(self.eligible(fleet)), 3)

    async def test_more_of_the_same_version_are_used_at_once(self) -> None:
        fleet = await self.start()
        fleet.upsert(record("u3", "v1"))
        self.assertIn("u3", self.eligible(fleet))
