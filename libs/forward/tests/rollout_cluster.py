"""Instances on the paused clock that share a store with a rollout, under a steady load."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from fake_store import FakeStore
from fakes import EngineFixture, FakeUpstream, Script, answered, plain_route

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import TaskSet
from mimosahoist.forward.declarations import Route, SharedBounds
from mimosahoist.forward.follower import StoreFollower
from mimosahoist.forward.instance_settings import InstanceSettings
from mimosahoist.forward.peers import Peers
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.rollout import Rollout, RolloutState
from mimosahoist.forward.rollout_controller import RolloutController
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.lab.memory import MemoryNetwork, MemoryPeerTransport
from mimosahoist.platform.watched import WatchedKind

TIME_LIMIT_SECONDS = 12.0
CALLS_PER_SECOND = 12.0
INSTANCES = 4
ORDER_DELAY_SECONDS = 2.0
ANSWER_SECONDS = 0.02
RARE_ROUTE = "rare"
# One request in so many is on the rare route.
RARE_ROUTE_INTERVAL = 5
ROLLOUTS = WatchedKind.ROLLOUTS


class FaultyVersion:
    """Version that slows down or fails a share of the calls from a given time.

    Attributes
    ----------
    starts_at : float
        Seconds after the order of the rollout.
    ordered_at : float
        Loop time of the order.
    min_calls_per_second : float
        Calls are affected only if there were more than these in the last second.
    route : str
        The only route that is affected; all if empty.
    """

    def __init__(
        self,
        starts_at: float,
        share: float,
        latency_factor: float = 0.0,
        min_calls_per_second: float = 0.0,
        route: str = "",
    ) -> None:
        self.starts_at = starts_at
        self.share = share
        self.latency_factor = latency_factor
        self.min_calls_per_second = min_calls_per_second
        self.route = route
        self.ordered_at = 0.0
        self.rng = random.Random(3)
        self.recent: list[float] = []
        self.failures: list[float] = []

    def script(self, number: int, route: str) -> tuple[float, object]:
        at = asyncio.get_running_loop().time()
        self.recent = [*(item for item in self.recent if item > at - 1.0), at]
        is_faulty = (
            at >= self.ordered_at + self.starts_at
            and len(self.recent) > self.min_calls_per_second
            and (not self.route or route == self.route)
            and self.rng.random() < self.share
        )
        if not is_faulty:
            return ANSWER_SECONDS, answered("v2")
        self.failures.append(at)
        if self.latency_factor:
            return ANSWER_SECONDS * self.latency_factor, answered("v2")
        return ANSWER_SECONDS, answered("v2", status=500)


class Instance:
    """The components of an instance that take part in a rollout, and a load generator."""

    def __init__(
        self,
        number: int,
        store: FakeStore,
        network: MemoryNetwork,
        script: Script,
        calls_per_second: float = CALLS_PER_SECOND,
    ) -> None:
        self.calls_per_second = calls_per_second
        self.fixture = EngineFixture(SharedBounds(repeat_ratio=0.2, repeat_slack=56.0))
        self.upstreams: list[FakeUpstream] = []
        for version, domains in (("v1", "abc"), ("v2", "def")):
            for domain in domains:
                chosen = script if version == "v2" else None
                upstream = self.fixture.add("desk", domain, chosen, version=version)
                upstream.script_knows_route = chosen is not None
                self.upstreams.append(upstream)
        self.store = store
        self.state_cache = StateCache(self.fixture.fleet)
        settings = InstanceSettings(
            f"node-{number}", "abcd"[number % 4], "", "", "", "", f"node-{number}", ("node-0",)
        )
        metrics, rng = Metrics(), random.Random(number)
        transport = MemoryPeerTransport(network, f"node-{number}", settings.failure_domain)
        self.peers = Peers(settings, transport, self.state_cache, metrics, rng)
        self.follower = StoreFollower(store, self.state_cache, 2.0, metrics, rng, self.peers)
        self.follower.recovery_listeners.append(self.peers.publish_recovery)
        self.peers.recovery_listeners.append(self.follower.defer_removals)
        self.follower.synced_listeners.append(self.peers.publish_synced_revision)
        self.peers.synced_listeners.append(self.follower.revisions.advance_to)
        self.rollouts = RolloutController(
            store, self.state_cache, self.fixture.fleet, self.peers, metrics
        )
        self.fixture.engine.call_listeners.append(self.rollouts.record_call)
        self.tasks = TaskSet()
        self.answers: list[object] = []
        self.requests = 0

    async def start(self) -> None:
        await self.peers.start()
        await self.follower.start()
        await self.rollouts.start()
        self.tasks.spawn(self.load(), "load")

    async def load(self) -> None:
        while True:
            await asyncio.sleep(self.fixture.engine.rng.expovariate(self.calls_per_second))
            self.tasks.spawn(self.send_request(), "request")

    async def send_request(self) -> None:
        self.requests += 1
        request = self.fixture.request(self.route(self.requests))
        self.answers.append(await PlainForward(self.fixture.engine, request).run())

    def route(self, number: int) -> Route:
        route = plain_route()
        return route if number % RARE_ROUTE_INTERVAL else replace(route, name=RARE_ROUTE)

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
    """Several instances, and a store to which a rollout is added after two seconds."""

    def __init__(
        self,
        script: Script | None = None,
        calls_per_second: float = CALLS_PER_SECOND * INSTANCES,
    ) -> None:
        self.store = FakeStore()
        self.network = MemoryNetwork(random.Random(5))
        self.script = script or (lambda number, route: (ANSWER_SECONDS, answered("v2")))
        self.calls_per_second = calls_per_second
        self.instances: list[Instance] = []
        self.ordered_at = 0.0

    async def start(self, time_limit: float = TIME_LIMIT_SECONDS) -> None:
        for number in range(INSTANCES):
            await self.add(number)
        await asyncio.sleep(ORDER_DELAY_SECONDS)
        self.ordered_at = asyncio.get_running_loop().time()
        self.store.put(ROLLOUTS, "desk", Rollout("desk", "v2", time_limit, 9))

    async def add(self, number: int) -> None:
        instance = Instance(
            number, self.store, self.network, self.script, self.calls_per_second / INSTANCES
        )
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
