"""Rollouts on several instances: good and faulty versions, kills, partitions, store outages."""

from __future__ import annotations

import asyncio

from fake_store import FakeStore
from rollout_cluster import ROLLOUTS, TIME_LIMIT_SECONDS, Cluster, FaultyVersion

from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import WatchedItem

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK_CALLS = 50
ROLLBACK_SECONDS = 5.0
ROLLBACK_FAILURES = 50


class RolloutsTest(PausedTestCase):
    async def run_rollout(self, cluster: Cluster, seconds: float = TIME_LIMIT_SECONDS) -> None:
        await cluster.start()
        await asyncio.sleep(seconds)

    def check_exposure(self, cluster: Cluster, faulty: FaultyVersion) -> None:
        target = cluster.sent("v2")
        total = len(target) + len(cluster.sent("v1"))
        self.assertLessEqual(len(target), EXPOSURE_SHARE * total + EXPOSURE_SLACK_CALLS)
        if len(faulty.failures) >= ROLLBACK_FAILURES:
            self.assertLess(target[-1], faulty.failures[ROLLBACK_FAILURES - 1] + ROLLBACK_SECONDS)

    async def test_good_version_completes_in_time_with_all_calls_moved(self) -> None:
        cluster = Cluster()
        await self.run_rollout(cluster)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        completed = cluster.store.written_states[-1].elapsed
        self.assertLess(completed, TIME_LIMIT_SECONDS - 1.0)
        self.assertLess(cluster.sent("v1")[-1], 2.0 + completed)
        self.assertEqual(len(cluster.store.written_states), 4)
        await cluster.close()

    async def test_faulty_versions_are_rolled_back(self) -> None:
        cases = {
            "at once": FaultyVersion(0.0, 0.4),
            "later": FaultyVersion(8.0, 0.4),
            "at the end": FaultyVersion(10.9, 0.5),
            "slow": FaultyVersion(0.0, 0.9, latency_factor=5.0),
            "under load": FaultyVersion(0.0, 0.5, min_calls_per_second=6.0),
        }
        for name, faulty in cases.items():
            with self.subTest(name):
                cluster = Cluster(faulty.script)
                await self.run_rollout(cluster)
                self.assertEqual(cluster.state.phase, RolloutPhase.ROLLED_BACK)
                self.check_exposure(cluster, faulty)
                await cluster.close()

    async def test_faulty_version_is_rolled_back_although_clocks_are_set_back(self) -> None:
        faulty = FaultyVersion(3.0, 0.4)
        cluster = Cluster(faulty.script, calls_per_second=120.0)
        await cluster.start()
        faulty.ordered_at = cluster.ordered_at
        await asyncio.sleep(2.0)
        asyncio.get_running_loop().unix_offset = -30.0
        await asyncio.sleep(TIME_LIMIT_SECONDS - 2.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.ROLLED_BACK)
        self.check_exposure(cluster, faulty)
        await cluster.close()

    async def test_verdict_applies_while_the_store_is_unavailable(self) -> None:
        faulty = FaultyVersion(4.0, 0.6)
        cluster = Cluster(faulty.script)
        await cluster.start()
        await asyncio.sleep(1.5)
        cluster.store.offline = True
        cluster.store.notify_watchers()
        await asyncio.sleep(8.0)
        self.check_exposure(cluster, faulty)
        cluster.store.offline = False
        await asyncio.sleep(3.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.ROLLED_BACK)
        await cluster.close()

    async def test_other_instances_replace_killed_writers(self) -> None:
        cluster = Cluster()
        await cluster.start()
        for _ in range(2):
            await asyncio.sleep(3.0)
            first = min(cluster.instances, key=lambda instance: instance.peers.rank())
            cluster.instances.remove(first)
            await first.close()
        await asyncio.sleep(TIME_LIMIT_SECONDS - 6.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        await cluster.close()

    async def test_rollout_completes_although_an_instance_is_killed_in_the_last_step(self) -> None:
        for number in range(4):
            with self.subTest(number):
                cluster = Cluster()
                await cluster.start()
                while cluster.state.phase is not RolloutPhase.FINISHING:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.05)
                killed = cluster.instances.pop(number)
                await killed.close()
                await asyncio.sleep(3.0)
                self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
                await cluster.close()

    async def test_other_instances_replace_a_writer_without_store_access(self) -> None:
        cluster = Cluster()
        await cluster.start()
        first = min(cluster.instances, key=lambda instance: instance.peers.rank())
        first.rollouts.store = FakeStore()
        first.rollouts.store.offline = True
        await asyncio.sleep(TIME_LIMIT_SECONDS)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        await cluster.close()

    async def test_rollout_completes_after_all_instances_are_replaced(self) -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(4.0)
        await cluster.close()
        cluster.instances.clear()
        await asyncio.sleep(1.0)
        for number in range(10, 14):
            await cluster.add(number)
        await asyncio.sleep(TIME_LIMIT_SECONDS - 5.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        await cluster.close()

    async def test_rollout_completes_when_the_answers_of_writes_are_lost(self) -> None:
        cluster = Cluster()
        cluster.store.drop_responses = True
        await self.run_rollout(cluster)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        self.assertEqual(len(cluster.store.written_states), 4)
        await cluster.close()

    async def test_paused_writer_changes_nothing(self) -> None:
        cluster = Cluster()
        await self.run_rollout(cluster, 3.0)
        stale = WatchedItem("desk", 2, Rollout("desk", "v2", TIME_LIMIT_SECONDS, 9))
        before = cluster.state
        current = await cluster.store.write_rollout(
            stale, RolloutState(RolloutPhase.COMPLETED, 1.0)
        )
        self.assertEqual((cluster.state, current.value.state), (before, before))
        await cluster.close()

    async def test_version_without_upstreams_is_rolled_back_at_the_time_limit(self) -> None:
        cluster = Cluster()
        await cluster.start()
        for instance in cluster.instances:
            for upstream in instance.upstreams[3:]:
                instance.fixture.fleet.remove(upstream.record.name, "never started")
        await asyncio.sleep(TIME_LIMIT_SECONDS)
        self.assertEqual(cluster.state.phase, RolloutPhase.ROLLED_BACK)
        await cluster.close()

    async def test_withdrawn_rollout_removes_the_split(self) -> None:
        cluster = Cluster()
        await self.run_rollout(cluster, 3.0)
        cluster.store.put(ROLLOUTS, "desk", None)
        await asyncio.sleep(1.0)
        self.assertEqual(
            [instance.fixture.fleet.splits for instance in cluster.instances], [{}] * 4
        )
        await cluster.close()

    async def test_rollout_completes_without_instances_that_are_cut_off(self) -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(4.0)
        for other in "abc":
            cluster.network.partition("d", other)
        await asyncio.sleep(TIME_LIMIT_SECONDS - 4.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        await cluster.close()
