"""Fault injection for the soak tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import now
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.memory import PLATFORM

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from mimosahoist.lab.fleet import MemoryFleet
    from mimosahoist.lab.searcher_model import SearcherModel

FAULT_DURATION_SECONDS = (0.5, 3.0)
RETAINED_SNAPSHOTS = 2
SNAPSHOT_ROLLOUT_INTERVAL_SECONDS = 0.02
REPARTITION_FACTOR = 2
DRAIN_GRACE_SECONDS = 3.0
POISON_TEXT = "killer"
POISON_SENDS = 10
POISON_DEADLINE_SECONDS = 0.33
POISON_RETRY_DELAY_SECONDS = 0.1


class FaultInjector:
    """Injects faults that are drawn from a seeded random source."""

    def __init__(self, fleet: MemoryFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.log: list[str] = []
        self.drained: dict[str, float] = {}
        self.snapshot = 1
        self.poison_requests = 0
        self.injections: dict[str, Callable[[], Awaitable[None]]] = {
            "straggle": self.straggle,
            "no replies": self.stop_replying,
            "crossed answers": self.cross_answers,
            "lost answers": self.lose_answers,
            "shed": self.shed,
            "lagging status": self.lag_status,
            "crash": self.crash,
            "turn cold": self.turn_cold,
            "group cold": self.turn_group_cold,
            "swap": self.swap,
            "repartition": self.repartition,
            "upstream leaves": self.upstream_leaves,
            "upstream replaced": self.upstream_replaced,
            "crash domain": self.crash_domain,
            "drain domain": self.drain_domain,
            "partition domains": self.partition_domains,
            "partition platform": self.partition_platform,
            "store outage": self.store_outage,
            "store loses answers": self.store_loses_answers,
            "store slow": self.slow_store,
            "peer loss": self.lose_peer_frames,
            "kill entry": self.kill_entry,
            "stop entry": self.stop_entry,
            "concurrent writes by operators": self.race_operators,
            "poison request": self.poison_request,
        }

    async def run(self, until: float) -> None:
        """Inject faults at random intervals until the given time; faults may overlap."""
        running: set[asyncio.Task[None]] = set()
        while now() < until:
            name = self.rng.choice(list(self.injections))
            self.log.append(f"{now():.2f} {name}")
            json_log.info("fault", fault=name)
            task = asyncio.get_running_loop().create_task(self.injections[name]())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await asyncio.gather(*running)

    async def wait_fault_duration(self) -> None:
        """Wait for a random fault duration."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_SECONDS))

    def sample_models(self, count: int) -> list[SearcherModel]:
        """Return a random sample of searchers."""
        return self.rng.sample(list(self.fleet.models.values()), count)

    async def set_faults_temporarily(self, models: list[SearcherModel], **values: float) -> None:
        """Set faults of searchers for a random duration, then restore the earlier values."""
        before = [{name: getattr(model.faults, name) for name in values} for model in models]
        for model in models:
            for name, value in values.items():
                setattr(model.faults, name, value)
        await self.wait_fault_duration()
        for model, previous in zip(models, before, strict=True):
            for name, value in previous.items():
                setattr(model.faults, name, value)

    async def straggle(self) -> None:
        """Make some requests of some searchers slow."""
        await self.set_faults_temporarily(self.sample_models(10), straggle_rate=0.1)

    async def stop_replying(self) -> None:
        """Make connections of some searchers stop replying."""
        await self.set_faults_temporarily(self.sample_models(3), silent_rate=0.02)

    async def cross_answers(self) -> None:
        """Make some searchers send an earlier request's answer."""
        await self.set_faults_temporarily(self.sample_models(5), crossed_rate=0.05)

    async def lose_answers(self) -> None:
        """Make some searchers close the connection after the work instead of answering."""
        await self.set_faults_temporarily(self.sample_models(5), lost_answer_rate=0.02)

    async def shed(self) -> None:
        """Make some searchers shed load."""
        await self.set_faults_temporarily(self.sample_models(5), shed_rate=0.2)

    async def lag_status(self) -> None:
        """Make status reports of some searchers stale."""
        await self.set_faults_temporarily(self.sample_models(20), status_lag=2.0)

    async def crash(self) -> None:
        """Crash a searcher."""
        for model in self.sample_models(1):
            if not model.down():
                model.crash()

    async def turn_cold(self) -> None:
        """Make a searcher cold without notice."""
        for model in self.sample_models(1):
            model.turn_cold()

    async def turn_group_cold(self) -> None:
        """Make all replicas of a group cold at once."""
        chosen = self.rng.choice(list(self.fleet.models.values())).spec
        for model in self.fleet.models.values():
            if (model.spec.service, model.spec.group) == (chosen.service, chosen.group):
                model.turn_cold()

    async def swap(self) -> None:
        """Roll a new snapshot out, one searcher after the other."""
        await self.roll_snapshot(1)

    async def repartition(self) -> None:
        """Roll out a snapshot that has twice as many shards."""
        await self.roll_snapshot(REPARTITION_FACTOR)

    async def roll_snapshot(self, factor: int) -> None:
        """Roll out a new snapshot to the searchers in random order."""
        self.snapshot += 1
        snapshot = self.snapshot
        models = [model for model in self.fleet.models.values() if model.spec.kind == "search"]
        self.rng.shuffle(models)
        for model in models:
            if model.snapshots[-1][0] < snapshot:
                model.swap_snapshot(snapshot, model.spec.groups * factor, RETAINED_SNAPSHOTS)
            await asyncio.sleep(SNAPSHOT_ROLLOUT_INTERVAL_SECONDS)

    async def upstream_leaves(self) -> None:
        """Drain a searcher, then bring back a replacement under its own name."""
        (model,) = self.sample_models(1)
        if model.faults.draining:
            return
        model.faults.draining = True
        await asyncio.sleep(DRAIN_GRACE_SECONDS + 1)
        model.faults.draining = False

    async def upstream_replaced(self) -> None:
        """Remove a searcher from the platform's instance list without a drain, then add it back."""
        (model,) = self.sample_models(1)
        record = sizes.searcher_record(model.spec, model.spec.name)
        self.fleet.platform.list_instance(model.spec.name, None)
        await self.wait_fault_duration()
        self.fleet.platform.list_instance(model.spec.name, record)

    async def crash_domain(self) -> None:
        """Crash all searchers of a failure domain."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        for model in self.fleet.models.values():
            if model.spec.failure_domain == domain and not model.down():
                model.crash()

    async def drain_domain(self) -> None:
        """Take a failure domain out of service, then bring it back with cold searchers."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        if self.drained or self.fleet.network.partitions or self.fleet.platform.faults.down:
            return
        self.fleet.set_domain(domain, out=True)
        self.drained[domain] = now()
        await asyncio.sleep(DRAIN_GRACE_SECONDS + self.rng.uniform(*FAULT_DURATION_SECONDS))
        del self.drained[domain]
        for model in self.fleet.models.values():
            if model.spec.failure_domain == domain and not model.down():
                model.crash()
        self.fleet.set_domain(domain, out=False)

    async def partition_domains(self) -> None:
        """Partition two failure domains from each other."""
        left, right = self.rng.sample(sizes.FAILURE_DOMAINS, 2)
        self.fleet.network.partition(left, right)
        await self.wait_fault_duration()
        self.fleet.network.partitions.discard(frozenset((left, right)))

    async def partition_platform(self) -> None:
        """Partition a failure domain from the platform."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        self.fleet.network.partition(domain, PLATFORM)
        await self.wait_fault_duration()
        self.fleet.network.partitions.discard(frozenset((domain, PLATFORM)))

    async def store_outage(self) -> None:
        """Make the store unavailable."""
        self.fleet.platform.set_down(True)
        await self.wait_fault_duration()
        self.fleet.platform.set_down(False)

    async def store_loses_answers(self) -> None:
        """Make some store writes take effect without an answer."""
        self.fleet.platform.faults.lost_answer_rate = 0.3
        await self.wait_fault_duration()
        self.fleet.platform.faults.lost_answer_rate = 0.0

    async def slow_store(self) -> None:
        """Delay all store calls."""
        self.fleet.platform.faults.delay = 0.5
        await self.wait_fault_duration()
        self.fleet.platform.faults.delay = 0.0

    async def lose_peer_frames(self) -> None:
        """Lose some of the frames between instances."""
        self.fleet.network.peer_loss_rate = 0.2
        await self.wait_fault_duration()
        self.fleet.network.peer_loss_rate = 0.0

    async def kill_entry(self) -> None:
        """Kill an entry instance and start it again."""
        if len(self.fleet.entries) < sizes.ENTRY_COUNT - 1:
            return
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.kill_entry(name)
        await self.wait_fault_duration()
        await self.fleet.start_entry(int(name.rpartition("-")[2]))

    async def stop_entry(self) -> None:
        """Stop an entry instance gracefully and start it again."""
        if len(self.fleet.entries) < sizes.ENTRY_COUNT - 1:
            return
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.stop_entry(name)
        await self.wait_fault_duration()
        await self.fleet.start_entry(int(name.rpartition("-")[2]))

    async def poison_request(self) -> None:
        """Send repeatedly a request that crashes every upstream that runs it."""
        self.poison_requests += 1
        text = f"{POISON_TEXT} {self.poison_requests}"
        models = [model for model in self.fleet.models.values() if model.spec.kind == "search"]
        for model in models:
            model.faults.crash_text = POISON_TEXT
        service = models[0].spec.service
        for _ in range(POISON_SENDS):
            try:
                await self.fleet.search(service, text, POISON_DEADLINE_SECONDS)
            except (Problem, KeyError, asyncio.CancelledError):
                await asyncio.sleep(POISON_RETRY_DELAY_SECONDS)

    async def race_operators(self) -> None:
        """Write an object twice on the same version; at most one write may succeed."""
        platform = self.fleet.platform
        key = f"failure-domain/{self.rng.choice(sizes.FAILURE_DOMAINS)}"
        current = platform.collections["objects"].objects[key]
        writes = [platform.put(key, current.value, current.version) for _ in range(2)]
        results = await asyncio.gather(*writes, return_exceptions=True)
        succeeded = sum(1 for result in results if not isinstance(result, Exception))
        assert succeeded <= 1, "two conditional writes on the same version succeeded"
