"""A store that is restored from a copy: what instances know must not go back with it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from fake_store import StoreCopy
from rollout_cluster import ROLLOUTS, TIME_LIMIT_SECONDS, Cluster, FaultyVersion, Instance

from mimosahoist.forward.declarations import Configuration, UpstreamRecord
from mimosahoist.forward.rollout import Rollout, RolloutPhase
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import WatchedKind

CONFIGURATIONS = WatchedKind.CONFIGURATION
DOMAINS_OUT = WatchedKind.DOMAINS_OUT
UPSTREAMS = WatchedKind.UPSTREAMS
# Time in which operators and upstreams have written again what they wrote.
REWRITE_SECONDS = 1.5


def record(sequence: int, **fields: object) -> UpstreamRecord:
    return UpstreamRecord(
        "u1", "other", "127.0.0.1:1", "a", started_at_ms=7, sequence=sequence, **fields
    )


class RestoredStoreTest(PausedTestCase):
    async def start(self, calls_per_second: float = 4.0) -> None:
        self.cluster = Cluster(calls_per_second=calls_per_second)
        self.store = self.cluster.store
        self.store.put(CONFIGURATIONS, "main", Configuration(11, ()))
        for number in range(4):
            await self.cluster.add(number)
        await asyncio.sleep(1.0)

    async def restore(self, copy: StoreCopy) -> None:
        self.store.offline = True
        self.store.notify_watchers()
        await asyncio.sleep(0.5)
        self.store.restore(copy)
        self.store.offline = False

    def versions(self) -> set[int]:
        return {
            instance.state_cache.routes.configuration.version for instance in self.cluster.instances
        }

    def upstreams(self) -> list[object]:
        """Return the upstream ``u1`` as each instance knows it; None if it does not."""
        return [instance.fixture.fleet.by_name.get("u1") for instance in self.cluster.instances]

    async def test_changes_of_all_kinds_after_a_restore_are_in_force(self) -> None:
        await self.start()
        copy = self.store.copy()
        for version in range(12, 22):
            self.store.put(CONFIGURATIONS, "main", Configuration(version, ()))
            self.store.put(UPSTREAMS, "u1", record(version))
        await asyncio.sleep(1.0)
        await self.restore(copy)
        self.store.put(CONFIGURATIONS, "main", Configuration(22, ()))
        self.store.put(UPSTREAMS, "u1", record(22, leaving=True))
        self.store.put(DOMAINS_OUT, "c", "c")
        await asyncio.sleep(2.5)
        self.assertEqual(self.versions(), {22})
        self.assertTrue(all(upstream.leaving for upstream in self.upstreams()))
        for instance in self.cluster.instances:
            self.assertEqual(instance.fixture.fleet.domains_out, {"c"})
        await self.cluster.close()

    async def test_confirmed_configuration_does_not_come_back_older(self) -> None:
        await self.start()
        copy = self.store.copy()
        self.store.put(CONFIGURATIONS, "main", Configuration(13, ()))
        await asyncio.sleep(1.0)
        await self.restore(copy)
        await asyncio.sleep(1.5)
        self.assertEqual(self.versions(), {13})
        await self.cluster.add(7)
        await asyncio.sleep(1.5)
        self.assertEqual(self.versions(), {13})
        await self.cluster.close()

    async def test_version_that_is_given_out_again_is_in_force_as_written_last(self) -> None:
        await self.start()
        copy = self.store.copy()
        first = Configuration(13, ())
        self.store.put(CONFIGURATIONS, "main", first)
        await asyncio.sleep(1.0)
        await self.restore(copy)
        again = replace(first, limits=replace(first.limits, body_bytes=5))
        self.store.put(CONFIGURATIONS, "main", again)
        await asyncio.sleep(2.0)
        for instance in self.cluster.instances:
            self.assertEqual(instance.state_cache.routes.configuration.limits.body_bytes, 5)
        await self.cluster.close()

    async def test_evacuation_that_the_copy_lacks_stays_in_force(self) -> None:
        await self.start()
        copy = self.store.copy()
        self.store.put(DOMAINS_OUT, "c", "c")
        await asyncio.sleep(1.0)
        await self.restore(copy)
        until = asyncio.get_running_loop().time() + REWRITE_SECONDS
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
            for instance in self.cluster.instances:
                self.assertEqual(instance.fixture.fleet.domains_out, {"c"})
        self.store.put(DOMAINS_OUT, "c", "c")
        await asyncio.sleep(5.0)
        for instance in self.cluster.instances:
            self.assertEqual(instance.fixture.fleet.domains_out, {"c"})
        await self.cluster.close()

    async def test_leaving_upstream_is_not_called_again_because_of_a_copy(self) -> None:
        await self.start()
        self.store.put(UPSTREAMS, "u1", record(1))
        await asyncio.sleep(0.5)
        copy = self.store.copy()
        self.store.put(UPSTREAMS, "u1", record(2, leaving=True))
        await asyncio.sleep(1.0)
        await self.restore(copy)
        await asyncio.sleep(2.0)
        self.assertTrue(all(upstream.leaving for upstream in self.upstreams()))
        await self.cluster.close()

    async def test_upstream_that_is_gone_is_not_called_again_because_of_a_copy(self) -> None:
        await self.start()
        self.store.put(UPSTREAMS, "u1", record(3))
        await asyncio.sleep(0.5)
        copy = self.store.copy()
        self.store.put(UPSTREAMS, "u1", None)
        await asyncio.sleep(1.0)
        self.assertEqual(set(self.upstreams()), {None})
        await self.restore(copy)
        await asyncio.sleep(2.0)
        self.assertEqual(set(self.upstreams()), {None})
        self.store.put(UPSTREAMS, "u1", record(4))
        await asyncio.sleep(1.0)
        self.assertNotIn(None, self.upstreams())
        await self.cluster.close()

    async def test_upstream_that_the_copy_lacks_stays_until_it_is_written_again(self) -> None:
        await self.start()
        copy = self.store.copy()
        self.store.put(UPSTREAMS, "u1", record(1))
        await asyncio.sleep(1.0)
        await self.restore(copy)
        await asyncio.sleep(REWRITE_SECONDS)
        self.assertNotIn(None, self.upstreams())
        self.store.put(UPSTREAMS, "u1", record(2))
        await asyncio.sleep(5.0)
        self.assertNotIn(None, self.upstreams())
        await self.cluster.close()


class RestoredRolloutTest(PausedTestCase):
    async def start(self, faulty: FaultyVersion | None = None) -> Cluster:
        cluster = Cluster(faulty.script if faulty else None, 60.0)
        await cluster.start()
        if faulty:
            faulty.ordered_at = cluster.ordered_at
        return cluster

    async def wait_for(self, cluster: Cluster, phase: RolloutPhase) -> StoreCopy:
        """Wait until a phase is stored; return the last copy from before."""
        copy = cluster.store.copy()
        while cluster.state.phase is not phase:
            if not cluster.state.ended:
                copy = cluster.store.copy()
            await asyncio.sleep(0.02)
        return copy

    def weights(self, cluster: Cluster) -> set[float]:
        return {instance.fixture.fleet.splits["desk"].weight for instance in cluster.instances}

    async def check_outcome_stays(self, cluster: Cluster, phase: RolloutPhase) -> None:
        copy = await self.wait_for(cluster, phase)
        await asyncio.sleep(0.5)
        weights = self.weights(cluster)
        cluster.store.restore(copy)
        await asyncio.sleep(3.0)
        self.assertEqual(cluster.state.phase, phase)
        self.assertEqual(self.weights(cluster), weights)
        await asyncio.sleep(TIME_LIMIT_SECONDS)
        self.assertEqual(cluster.state.phase, phase)

    async def test_completed_rollout_stays_completed(self) -> None:
        cluster = await self.start()
        await self.check_outcome_stays(cluster, RolloutPhase.COMPLETED)
        await cluster.close()

    async def test_rolled_back_rollout_stays_rolled_back(self) -> None:
        cluster = await self.start(FaultyVersion(0.0, 0.9))
        await self.check_outcome_stays(cluster, RolloutPhase.ROLLED_BACK)
        await cluster.close()

    async def test_order_that_is_written_again_gives_the_target_no_second_allowance(self) -> None:
        cluster = Cluster(calls_per_second=60.0)
        copy = cluster.store.copy()
        await cluster.start()
        await asyncio.sleep(8.0)
        before = len(cluster.sent("v2"))
        first_key = cluster.instances[0].fixture.fleet.splits["desk"].rollout.key
        cluster.store.restore(copy)
        await asyncio.sleep(REWRITE_SECONDS)
        rewritten = Rollout("desk", "v2", TIME_LIMIT_SECONDS, 4, ordered_at=70)
        cluster.store.put(ROLLOUTS, "desk", rewritten)
        await asyncio.sleep(0.5)
        # Of 120 requests no more than the small share.
        self.assertLess(len(cluster.sent("v2")) - before, 20)
        self.assertEqual(len({self.elapsed(item) > 9.0 for item in cluster.instances}), 1)
        await asyncio.sleep(TIME_LIMIT_SECONDS - 10.0)
        self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
        splits = [instance.fixture.fleet.splits["desk"] for instance in cluster.instances]
        self.assertEqual({split.rollout.key for split in splits}, {first_key})
        await cluster.close()

    def elapsed(self, instance: Instance) -> float:
        split = instance.fixture.fleet.splits["desk"]
        return split.elapsed(asyncio.get_running_loop().time(), 0.0)
