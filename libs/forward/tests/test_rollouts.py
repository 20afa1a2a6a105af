"""Rollouts on several instances: good and faulty versions, kills, partitions, store outages."""

from __future__ import annotations

import asyncio
import random

from fake_store import FakeStore
from fakes import EngineFixture, FakeUpstream, Script, answered, plain_route

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import TaskSet
from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.follower import StoreFollower
from mimosahoist.forward.instance_settings import InstanceSettings
from mimosahoist.forward.peers import Peers
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_controller import RolloutController
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.lab.memory import MemoryNetwork, MemoryPeerTransport
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import WatchedItem, WatchedKind

TIME_LIMIT_SECONDS = 12.0
CALLS_PER_SECOND = 12.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK_CALLS = 50
ROLLBACK_SECONDS = 5.0
ROLLBACK_FAILURES = 50
ROLLOUTS = WatchedKind.ROLLOUTS


class FaultyVersion:
    """Version that slows down or fails a share of the calls from a given time.

    Calls are affected only if there were more than `min_calls_per_second` in the last second.
    """

    def __init__(
        self,
        starts_at: float,
        share: float,
        latency_factor: float = 0.0,
        min_calls_per_second: float = 0.0,
    ) -> None:
        self.starts_at = starts_at
        self.share = share
        self.latency_factor = latency_factor
        self.min_calls_per_second = min_calls_per_second
        self.rng = random.Random(3)
        self.recent: list[float] = []
        self.failures: list[float] = []

    def script(self, number: int) -> tuple[float, object]:
        at = asyncio.get_running_loop().time()
        self.recent = [*(item for item in self.recent if item > at - 1.0), at]
        is_faulty = (
            at >= self.starts_at
            and len(self.recent) > self.min_calls_per_second
            and self.rng.random() < self.share
        )
        if not is_faulty:
            return 0.02, answered("v2")
        self.failures.append(at)
        if self.latency_factor:
            return 0.02 * self.latency_factor, answered("v2")
        return 0.02, answered("v2", status=500)


class Instance:
    """The components of an instance that take part in a rollout, and a load generator."""

    def __init__(
        self, number: int, store: FakeStore, network: MemoryNetwork, script: Script
    ) -> None:
        self.fixture = EngineFixture(SharedBounds(repeat_ratio=0.2, repeat_slack=56.0))
        self.upstreams: list[FakeUpstream] = []
        for version, domains in (("v1", "abc"), ("v2", "def")):
            for domain in domains:
                chosen = script if version == "v2" else None
                self.upstreams.append(self.fixture.add("desk", domain, chosen, version=version))
        self.store = store
        self.state_cache = StateCache(self.fixture.fleet)
        settings = InstanceSettings(
            f"node-{number}", "abcd"[number % 4], "", "", "", "", f"node-{number}", ("node-0",)
        )
        metrics, rng = Metrics(), random.Random(number)
        transport = MemoryPeerTransport(network, f"node-{number}", settings.failure_domain)
        self.peers = Peers(settings, transport, self.state_cache, metrics, rng)
        self.follower = StoreFollower(store, self.state_cache, 2.0, metrics, rng, self.peers)
        self.rollouts = RolloutController(
            store, self.state_cache, self.fixture.fleet, self.peers, metrics
        )
        self.fixture.engine.call_listeners.append(self.rollouts.record_call)
        self.tasks = TaskSet()
        self.answers: list[object] = []

    async def start(self) -> None:
        await self.peers.start()
        await self.follower.start()
        await self.rollouts.start()
        self.tasks.spawn(self.load(), "load")

    async def load(self) -> None:
        while True:
            await asyncio.sleep(self.fixture.engine.rng.expovariate(CALLS_PER_SECOND))
            self.tasks.spawn(self.send_request(), "request")

    async def send_request(self) -> None:
        request = self.fixture.request(plain_route())
        self.answers.append(await PlainForward(self.fixture.engine, request).run())

    def sent(self, version: str) -> list[float]:
        return [
            at
            for upstream in self.upstreams
            if upstream.record.version == version
            for at in upstream.arrivals
        ]

    async def close(self) -> None:
        await self.tasks.close()
        await self.rollouts.close()
        await self.follower.close()
        await self.peers.close()
        await self.fixture.engine.close()


class Cluster:
    """Four instances, and a store to which a rollout is added after two seconds."""

    def __init__(self, script: Script | None = None) -> None:
        self.store = FakeStore()
        self.network = MemoryNetwork(random.Random(5))
        self.script = script or (lambda number: (0.02, answered("v2")))
        self.instances: list[Instance] = []

    async def start(self) -> None:
        for number in range(4):
            await self.add(number)
        await asyncio.sleep(2.0)
        self.store.put(ROLLOUTS, "desk", Rollout("desk", "v2", TIME_LIMIT_SECONDS, 9))

    async def add(self, number: int) -> None:
        instance = Instance(number, self.store, self.network, self.script)
        self.instances.append(instance)
        await instance.start()

    @property
    def state(self) -> RolloutState:
        return self.store.items[ROLLOUTS]["desk"].value.state

    def sent(self, version: str) -> list[float]:
        return sorted(at for instance in self.instances for at in instance.sent(version))

    async def close(self) -> None:
        for instance in self.instances:
            await instance.close()


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
