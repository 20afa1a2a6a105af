"""Faults of randomised runs."""

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

FAULT_SECONDS = (0.5, 3.0)
SNAPSHOTS_KEPT = 2
SWAP_STEP_SECONDS = 0.02
REPARTITION_FACTOR = 2
DRAIN_GRACE_SECONDS = 3.0
KILLER_TEXT = "killer"
KILLER_SENDS = 10
KILLER_DEADLINE = 0.33
KILLER_PAUSE = 0.1


class FaultInjector:
    """Brings faults about, one kind after the other, from a seeded source."""

    def __init__(self, fleet: MemoryFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.log: list[str] = []
        self.drained: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.snapshot = 1
        self.killers = 0
        self.kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "straggle": self.straggle,
            "silent": self.silent,
            "crossed": self.crossed,
            "lost answers": self.lost_answers,
            "shed": self.shed,
            "lagging status": self.lagging_status,
            "crash": self.crash,
            "turn cold": self.turn_cold,
            "group cold": self.group_cold,
            "swap": self.swap,
            "repartition": self.repartition,
            "upstream leaves": self.upstream_leaves,
            "upstream replaced": self.upstream_replaced,
            "lose upstreams of a domain": self.lose_domain,
            "drain domain": self.drain_domain,
            "cut domains": self.cut_domains,
            "cut platform": self.cut_platform,
            "store outage": self.store_outage,
            "store loses answers": self.store_loses_answers,
            "store slow": self.store_slow,
            "peer loss": self.peer_loss,
            "kill entry": self.kill_entry,
            "stop entry": self.stop_entry,
            "operators race": self.operators_race,
            "killer request": self.killer_request,
        }

    async def run(self, until: float) -> None:
        """Bring about one fault after the other, overlapping at random."""
        running: set[asyncio.Task[None]] = set()
        while now() < until:
            name = self.rng.choice(list(self.kinds))
            self.log.append(f"{now():.2f} {name}")
            json_log.info("fault", fault=name)
            task = asyncio.get_running_loop().create_task(self.kinds[name]())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await asyncio.gather(*running)

    async def hold(self) -> None:
        """Let a fault last."""
        await asyncio.sleep(self.rng.uniform(*FAULT_SECONDS))

    def some_models(self, count: int) -> list[SearcherModel]:
        """A few searchers."""
        return self.rng.sample(list(self.fleet.models.values()), count)

    async def with_faults(self, models: list[SearcherModel], **values: float) -> None:
        """Set faults of searchers for a while."""
        before = [{name: getattr(model.faults, name) for name in values} for model in models]
        for model in models:
            for name, value in values.items():
                setattr(model.faults, name, value)
        await self.hold()
        for model, values_before in zip(models, before, strict=True):
            for name, value in values_before.items():
                setattr(model.faults, name, value)

    async def straggle(self) -> None:
        """Some searchers straggle."""
        await self.with_faults(self.some_models(10), straggle_rate=0.1)

    async def silent(self) -> None:
        """Connections of some searchers go silent."""
        await self.with_faults(self.some_models(3), silent_rate=0.02)

    async def crossed(self) -> None:
        """Some searchers answer with an earlier request's answer."""
        await self.with_faults(self.some_models(5), crossed_rate=0.05)

    async def lost_answers(self) -> None:
        """Some searchers do the work and break the connection."""
        await self.with_faults(self.some_models(5), lost_answer_rate=0.02)

    async def shed(self) -> None:
        """Some searchers refuse."""
        await self.with_faults(self.some_models(5), shed_rate=0.2)

    async def lagging_status(self) -> None:
        """Reports lag."""
        await self.with_faults(self.some_models(20), status_lag=2.0)

    async def crash(self) -> None:
        """A searcher falls over."""
        for model in self.some_models(1):
            if not model.down():
                model.crash()

    async def turn_cold(self) -> None:
        """A searcher turns cold without warning."""
        for model in self.some_models(1):
            model.turn_cold()

    async def group_cold(self) -> None:
        """All replicas of a group turn cold at once."""
        chosen = self.rng.choice(list(self.fleet.models.values())).spec
        for model in self.fleet.models.values():
            if (model.spec.service, model.spec.group) == (chosen.service, chosen.group):
                model.turn_cold()

    async def swap(self) -> None:
        """Searchers take a new snapshot in, one after the other."""
        await self.roll_snapshot(1)

    async def repartition(self) -> None:
        """Searchers take a snapshot in that has twice as many shards."""
        await self.roll_snapshot(REPARTITION_FACTOR)

    async def roll_snapshot(self, factor: int) -> None:
        """Roll a new snapshot out."""
        self.snapshot += 1
        snapshot = self.snapshot
        models = [model for model in self.fleet.models.values() if model.spec.kind == "search"]
        self.rng.shuffle(models)
        for model in models:
            if model.snapshots[-1][0] < snapshot:
                model.swap_snapshot(snapshot, model.spec.groups * factor, SNAPSHOTS_KEPT)
            await asyncio.sleep(SWAP_STEP_SECONDS)

    async def upstream_leaves(self) -> None:
        """A searcher drains, goes, and is replaced under its own name."""
        (model,) = self.some_models(1)
        if model.faults.draining:
            return
        model.faults.draining = True
        await asyncio.sleep(DRAIN_GRACE_SECONDS + 1)
        model.faults.draining = False

    async def upstream_replaced(self) -> None:
        """A searcher vanishes from the platform's list at once, and comes back."""
        (model,) = self.some_models(1)
        record = sizes.searcher_record(model.spec, model.spec.name)
        self.fleet.platform.list_instance(model.spec.name, None)
        await self.hold()
        self.fleet.platform.list_instance(model.spec.name, record)

    async def lose_domain(self) -> None:
        """All searchers of a failure domain fall over."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        for model in self.fleet.models.values():
            if model.spec.failure_domain == domain and not model.down():
                model.crash()

    async def drain_domain(self) -> None:
        """Operators take a failure domain out and bring it back cold."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        if self.drained or self.fleet.network.partitions or self.fleet.platform.faults.down:
            return
        self.fleet.set_domain(domain, out=True)
        self.drained[domain] = now()
        await asyncio.sleep(DRAIN_GRACE_SECONDS + self.rng.uniform(*FAULT_SECONDS))
        del self.drained[domain]
        for model in self.fleet.models.values():
            if model.spec.failure_domain == domain and not model.down():
                model.crash()
        self.fleet.set_domain(domain, out=False)

    async def cut_domains(self) -> None:
        """Two failure domains are cut off from each other."""
        left, right = self.rng.sample(sizes.FAILURE_DOMAINS, 2)
        self.fleet.network.partition(left, right)
        await self.hold()
        self.fleet.network.partitions.discard(frozenset((left, right)))

    async def cut_platform(self) -> None:
        """A failure domain is cut off from the platform."""
        domain = self.rng.choice(sizes.FAILURE_DOMAINS)
        self.fleet.network.partition(domain, PLATFORM)
        await self.hold()
        self.fleet.network.partitions.discard(frozenset((domain, PLATFORM)))

    async def store_outage(self) -> None:
        """The store is down."""
        self.fleet.platform.set_down(True)
        await self.hold()
        self.fleet.platform.set_down(False)

    async def store_loses_answers(self) -> None:
        """Writes take effect and their answers are lost."""
        self.fleet.platform.faults.lost_answer_rate = 0.3
        await self.hold()
        self.fleet.platform.faults.lost_answer_rate = 0.0

    async def store_slow(self) -> None:
        """The store is slow."""
        self.fleet.platform.faults.delay = 0.5
        await self.hold()
        self.fleet.platform.faults.delay = 0.0

    async def peer_loss(self) -> None:
        """Frames between instances are lost."""
        self.fleet.network.peer_loss_rate = 0.2
        await self.hold()
        self.fleet.network.peer_loss_rate = 0.0

    async def kill_entry(self) -> None:
        """An entry instance dies and is started again."""
        if len(self.fleet.entries) < sizes.ENTRIES - 1:
            return
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.kill_entry(name)
        await self.hold()
        await self.fleet.start_entry(int(name.rpartition("-")[2]))

    async def stop_entry(self) -> None:
        """An entry instance stops gracefully and is started again."""
        if len(self.fleet.entries) < sizes.ENTRIES - 1:
            return
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.stop_entry(name)
        await self.hold()
        await self.fleet.start_entry(int(name.rpartition("-")[2]))

    async def killer_request(self) -> None:
        """A request that crashes every upstream running it is sent again and again."""
        self.killers += 1
        text = f"{KILLER_TEXT} {self.killers}"
        models = [model for model in self.fleet.models.values() if model.spec.kind == "search"]
        for model in models:
            model.faults.crash_text = KILLER_TEXT
        service = models[0].spec.service
        for _ in range(KILLER_SENDS):
            try:
                await self.fleet.search(service, text, KILLER_DEADLINE)
            except (Problem, KeyError, asyncio.CancelledError):
                await asyncio.sleep(KILLER_PAUSE)

    async def operators_race(self) -> None:
        """Two operators write the same object on the same version; one at most may win."""
        platform = self.fleet.platform
        key = f"failure-domain/{self.rng.choice(sizes.FAILURE_DOMAINS)}"
        held = platform.collections["objects"].objects[key]
        writes = [platform.put(key, held.value, held.version) for _ in range(2)]
        results = await asyncio.gather(*writes, return_exceptions=True)
        won = sum(1 for result in results if not isinstance(result, Exception))
        assert won <= 1, "two operators wrote on the same version"
