"""Versions that were not completed, while orders are replaced, withdrawn, repeated or lost."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from fakes import Script, answered
from rollout_cluster import (
    ANSWER_SECONDS,
    ROLLOUTS,
    TIME_LIMIT_SECONDS,
    Cluster,
    FaultyVersion,
    Instance,
)

from mimosahoist.core.tasks import now
from mimosahoist.forward.outcomes import Answered, Forwarded, NotRun, Refused
from mimosahoist.forward.rollout import Rollout, RolloutPhase
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.peers.feed import INITIAL_PEER_SYNC_SECONDS

CALLS_PER_SECOND = 480.0
# Time in which all instances learn of a change, and the calls under way end.
SPREAD_SECONDS = 0.3
NEW_VERSION_DOMAINS = "ghi"


def good_version(number: int, route: str) -> tuple[float, Answered]:
    return ANSWER_SECONDS, answered("v2")


class SuccessiveOrdersTest(PausedTestCase):
    @contextlib.asynccontextmanager
    async def cluster(self, script: Script | None = None) -> AsyncIterator[Cluster]:
        """Start a cluster with an order for v2, which fails from the beginning by default."""
        cluster = Cluster(script or FaultyVersion(0.0, 0.4).script, CALLS_PER_SECOND)
        await cluster.start()
        self.orders = 1
        try:
            yield cluster
        finally:
            await cluster.close()

    def order(self, cluster: Cluster, version: str) -> None:
        """Order a version; the upstreams of one that was not there before are started."""
        self.orders += 1
        for instance in cluster.instances:
            self.add_upstreams(instance, version)
        rollout = Rollout("desk", version, TIME_LIMIT_SECONDS, 9, ordered_at=self.orders)
        cluster.store.put(ROLLOUTS, "desk", rollout)

    def add_upstreams(self, instance: Instance, version: str) -> None:
        if instance.sent(version) or version in ("v1", "v2"):
            return
        for domain in NEW_VERSION_DOMAINS:
            upstream = instance.fixture.add("desk", f"{domain}-{version}", version=version)
            upstream.listed_at = now()
            upstream.held_until = instance.fixture.fleet.hold_until(upstream.record)
            instance.upstreams.append(upstream)

    async def wait_for(self, cluster: Cluster, phase: RolloutPhase) -> None:
        async with asyncio.timeout(2 * TIME_LIMIT_SECONDS):
            while cluster.state.phase is not phase:
                await asyncio.sleep(0.02)

    async def check_unused(self, cluster: Cluster, version: str, seconds: float) -> None:
        """Check that a version gets no calls for a while, and that the others do."""
        await asyncio.sleep(SPREAD_SECONDS)
        start = now()
        await asyncio.sleep(seconds)
        self.assertEqual([at for at in cluster.sent(version) if at >= start], [])
        served = [at for at in cluster.sent("v1") + cluster.sent("v3") if at >= start]
        self.assertGreater(len(served), 0.5 * CALLS_PER_SECOND * seconds)

    async def test_rolled_back_version_gets_no_calls_once_the_next_one_is_ordered(self) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            self.order(cluster, "v3")
            await self.check_unused(cluster, "v2", TIME_LIMIT_SECONDS)
            self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
            self.order(cluster, "v4")
            await self.check_unused(cluster, "v2", TIME_LIMIT_SECONDS)

    async def test_version_whose_order_was_replaced_before_its_end_gets_no_calls(self) -> None:
        for phase in (RolloutPhase.RUNNING, RolloutPhase.FINISHING):
            with self.subTest(phase):
                async with self.cluster(good_version) as cluster:
                    await self.wait_for(cluster, phase)
                    self.order(cluster, "v3")
                    await self.check_unused(cluster, "v2", TIME_LIMIT_SECONDS)

    async def test_rolled_back_version_gets_no_calls_once_its_order_is_withdrawn(self) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            cluster.store.put(ROLLOUTS, "desk", None)
            await self.check_unused(cluster, "v2", 5.0)
            # The first one introduces instances to each other.
            await cluster.instances.pop(1).close()
            await cluster.add(10)
            await self.check_unused(cluster, "v2", 5.0)

    async def test_instances_that_start_after_the_next_order_know_the_rolled_back_version(
        self,
    ) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            self.order(cluster, "v3")
            await self.wait_for(cluster, RolloutPhase.RUNNING)
            await cluster.close()
            cluster.instances.clear()
            for number in range(10, 14):
                await cluster.add(number)
                self.add_upstreams(cluster.instances[-1], "v3")
            # Instances that start together list the store only once no other has told them.
            await asyncio.sleep(INITIAL_PEER_SYNC_SECONDS)
            await self.check_unused(cluster, "v2", 5.0)

    async def test_rolled_back_version_gets_no_calls_after_a_restore_of_the_store(self) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.RUNNING)
            copy = cluster.store.copy()
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            self.order(cluster, "v3")
            await asyncio.sleep(1.0)
            cluster.store.restore(copy)
            await self.check_unused(cluster, "v2", 3.0)
            self.order(cluster, "v3")
            await self.check_unused(cluster, "v2", TIME_LIMIT_SECONDS)

    async def test_version_that_was_mended_and_is_ordered_again_is_completed(self) -> None:
        faulty = FaultyVersion(0.0, 0.4)
        async with self.cluster(faulty.script) as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            self.order(cluster, "v3")
            await asyncio.sleep(2.0)
            faulty.share = 0.0
            self.order(cluster, "v2")
            await asyncio.sleep(TIME_LIMIT_SECONDS)
            self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
            await asyncio.sleep(SPREAD_SECONDS)
            last = {version: cluster.sent(version)[-1] for version in ("v1", "v2")}
            self.assertGreater(last["v2"], now() - 0.5)
            self.assertLess(last["v1"], now() - 0.5)

    async def test_order_back_to_the_version_in_service_interrupts_no_calls(self) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            self.order(cluster, "v1")
            before = {id(instance): len(instance.answers) for instance in cluster.instances}
            await self.check_unused(cluster, "v2", 5.0)
            self.assertEqual(cluster.state.phase, RolloutPhase.COMPLETED)
            for instance in cluster.instances:
                answers = instance.answers[before[id(instance)] :]
                self.assertEqual([item for item in answers if not isinstance(item, Forwarded)], [])

    async def test_calls_that_versions_in_service_cannot_take_are_rejected(self) -> None:
        async with self.cluster() as cluster:
            await self.wait_for(cluster, RolloutPhase.ROLLED_BACK)
            for instance in cluster.instances:
                for upstream in instance.upstreams[:3]:
                    upstream.script = lambda number: (0.002, Refused(503))
            self.order(cluster, "v3")
            await asyncio.sleep(SPREAD_SECONDS)
            start = now()
            await asyncio.sleep(0.5)
            rejected = [
                item
                for instance in cluster.instances
                for item in instance.answers[-3:]
                if isinstance(item, NotRun)
            ]
            self.assertTrue(rejected)
            self.assertEqual([at for at in cluster.sent("v2") if at >= start], [])
