"""Measures the query path on the paused clock, with features switched on and off."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

from mimosahoist.core.metrics import Latency
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import now
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.paused_loop import run_paused
from mimosahoist.lab.soak import run_soak
from mimosahoist.query.service import FeatureFlags

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mimosahoist.query.request import SearchResult

SEARCHES_PER_SECOND = 150.0
MEASURE_SECONDS = 25.0
WARM_UP_SECONDS = 5.0
DEADLINE_SECONDS = 0.33
LATE_TOLERANCE_SECONDS = 0.010
STRAGGLE_RATE = 0.01
SOAK_SECONDS = 40.0
DISTINCT_QUERIES = 300
MAX_WAIT_SECONDS = 10.0


class SearchLoad:
    """Searches at a constant rate, with their latencies and results."""

    def __init__(self, fleet: MemoryFleet, service: str) -> None:
        self.fleet = fleet
        self.service = service
        self.latency = Latency()
        self.counts: Counter[str] = Counter()
        self.complete_since: float | None = None

    async def run(self, seconds: float, rate: float = SEARCHES_PER_SECOND) -> None:
        """Send searches at a constant rate and wait for all of them."""
        tasks = set()
        until = now() + seconds
        number = 0
        while now() < until:
            number += 1
            task = asyncio.create_task(self.search(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    async def search(self, number: int) -> None:
        """Send one search and record its result."""
        started = now()
        try:
            text = f"query {number % DISTINCT_QUERIES}"
            result = await self.fleet.search(self.service, text, DEADLINE_SECONDS)
        except Problem:
            self.counts["refused"] += 1
            self.complete_since = None
        else:
            self.record_result(result, now() - started)
        self.counts["late"] += now() - started > DEADLINE_SECONDS + LATE_TOLERANCE_SECONDS

    def record_result(self, result: SearchResult, seconds: float) -> None:
        """Record the latency and coverage of an answer."""
        self.latency.record(seconds)
        self.counts["asked"] += result.shards
        self.counts["answered"] += result.answered
        if result.missing:
            self.complete_since = None
        elif self.complete_since is None:
            self.complete_since = now()

    def case(self, name: str, calls: int) -> dict[str, Any]:
        """Return the row of the report's table for this load."""
        summary = self.latency.summary()
        asked = max(1, self.counts["asked"])
        return {
            "case": name,
            "p50_ms": round(summary.p50_ms, 2),
            "p99_ms": round(summary.p99_ms, 2),
            "p999_ms": round(summary.p999_ms, 2),
            "coverage": round(self.counts["answered"] / asked, 5),
            "extra_load": round(calls / asked - 1, 4),
            "overloads": overloads(self.fleet),
            "refused": self.counts["refused"],
        }


def overloads(fleet: MemoryFleet) -> int:
    """Count how often a limit was exceeded, as the searchers recorded it."""
    names = ("overload", "cold_overload", "connections_refused")
    return sum(fleet.total(name) for name in names)


async def measure_case(
    name: str, seed: int, features: FeatureFlags, prepare: Callable[[MemoryFleet], None]
) -> dict[str, Any]:
    """Warm up a fleet, prepare it and measure one case."""
    fleet = MemoryFleet(sizes.TIDY_BOTHY, seed, features=features)
    await fleet.start()
    await SearchLoad(fleet, "sorter-app").run(WARM_UP_SECONDS)
    prepare(fleet)
    calls = fleet.metric("shard_calls")
    load = SearchLoad(fleet, "sorter-app")
    await load.run(MEASURE_SECONDS)
    row = load.case(name, fleet.metric("shard_calls") - calls)
    await fleet.close()
    return row


def inject_stragglers(fleet: MemoryFleet) -> None:
    """Make one in a hundred shard calls take ten times as long."""
    for model in fleet.models.values():
        model.faults.straggle_rate = STRAGGLE_RATE


async def stragglers(seed: int) -> dict[str, Any]:
    """Compare latency with and without stragglers, and with hedging on and off."""
    cases = [
        await measure_case("no stragglers", seed, FeatureFlags(), lambda fleet: None),
        await measure_case("stragglers, hedging", seed, FeatureFlags(), inject_stragglers),
        await measure_case(
            "stragglers, no hedging", seed, FeatureFlags(hedging=False), inject_stragglers
        ),
    ]
    return {
        "cases": cases,
        "p99_ratio": cases[1]["p99_ms"] / cases[0]["p99_ms"],
        "p99_ratio_without_hedging": cases[2]["p99_ms"] / cases[0]["p99_ms"],
        "extra_load": cases[1]["extra_load"],
        "overloads": sum(case["overloads"] for case in cases),
    }


async def canaries(seed: int) -> dict[str, Any]:
    """Compare latency and crashed upstreams with canary requests on and off."""

    def inject_query_of_death(fleet: MemoryFleet) -> None:
        for model in fleet.models.values():
            model.faults.crash_text = "killer"

    cases = []
    lost = {}
    for name, features in (("canary", FeatureFlags()), ("no canary", FeatureFlags(canary=False))):
        row = await measure_case(name, seed, features, lambda fleet: None)
        cases.append(row)
        fleet = MemoryFleet(sizes.TIDY_BOTHY, seed, features=features)
        await fleet.start()
        inject_query_of_death(fleet)
        for _ in range(10):
            try:
                await fleet.search("sorter-app", "killer", DEADLINE_SECONDS)
            except Problem:
                await asyncio.sleep(0.1)
        lost[name] = fleet.total("killed")
        await fleet.close()
    return {"cases": cases, "upstreams_lost_to_one_request": lost}


async def domain_loss(seed: int) -> dict[str, Any]:
    """Measure the time to full coverage after all upstreams of a failure domain crash."""
    fleet = MemoryFleet(sizes.TIDY_BOTHY, seed)
    await fleet.start()
    await SearchLoad(fleet, "sorter-app").run(WARM_UP_SECONDS)
    for model in fleet.models.values():
        if model.spec.failure_domain == "b":
            model.spec = model.spec._replace(restart_seconds=1000.0)
            model.crash()
    lost_at = now()
    load = SearchLoad(fleet, "sorter-app")
    calls = fleet.metric("shard_calls")
    await load.run(MAX_WAIT_SECONDS)
    row = load.case("one of four domains lost", fleet.metric("shard_calls") - calls)
    complete_since = load.complete_since
    result = {
        "cases": [row],
        "seconds": (
            max(0.0, complete_since - lost_at) if complete_since is not None else MAX_WAIT_SECONDS
        ),
        "late": load.counts["late"],
        "overloads": overloads(fleet),
    }
    await fleet.close()
    return result


async def planned_stop(seed: int) -> dict[str, Any]:
    """Count requests cut off while all entry instances are restarted one by one."""
    fleet = MemoryFleet(sizes.TIDY_BOTHY, seed)
    await fleet.start()
    load = SearchLoad(fleet, "sorter-app")
    calls = fleet.metric("shard_calls")
    running = asyncio.create_task(load.run(MEASURE_SECONDS))
    for name in list(fleet.entries):
        await fleet.stop_entry(name)
        await fleet.start_entry(int(name.rpartition("-")[2]))
        await asyncio.sleep(0.5)
    await running
    row = load.case("rolling restart of entries", fleet.metric("shard_calls") - calls)
    row["extra_load"] = "-"
    cut = load.counts["refused"] + load.counts["asked"] - load.counts["answered"]
    result = {"cases": [row], "cut": cut, "overloads": overloads(fleet)}
    await fleet.close()
    return result


async def drain(seed: int) -> dict[str, Any]:
    """Measure searches while a failure domain is drained and returns with cold upstreams."""
    fleet = MemoryFleet(sizes.TIDY_BOTHY, seed)
    await fleet.start()
    await SearchLoad(fleet, "sorter-app").run(WARM_UP_SECONDS)
    load = SearchLoad(fleet, "sorter-app")
    calls = fleet.metric("shard_calls")
    running = asyncio.create_task(load.run(MEASURE_SECONDS))
    drained = [model for model in fleet.models.values() if model.spec.failure_domain == "b"]
    fleet.set_domain("b", out=True)
    out_at = now()
    await asyncio.sleep(8)
    late = sum(1 for model in drained if model.record.last_begun > out_at + 3)
    for model in drained:
        model.crash()
    await asyncio.sleep(2)
    fleet.set_domain("b", out=False)
    await running
    row = load.case("domain out and back cold", fleet.metric("shard_calls") - calls)
    result = {"cases": [row], "late": late, "overloads": overloads(fleet)}
    await fleet.close()
    return result


async def leaving_upstream(seed: int) -> dict[str, Any]:
    """Count calls to an upstream that begin 3 s or more after it started to drain."""
    fleet = MemoryFleet(sizes.TIDY_BOTHY, seed)
    await fleet.start()
    load = SearchLoad(fleet, "sorter-app")
    calls = fleet.metric("shard_calls")
    running = asyncio.create_task(load.run(10))
    await asyncio.sleep(3)
    model = fleet.models["sorter-app-v1-0-0"]
    model.faults.draining = True
    left_at = now()
    await asyncio.sleep(3)
    refused = model.record.counts["refused_draining"]
    await running
    late = model.record.counts["refused_draining"] - refused
    late += model.record.last_begun > left_at + 3
    row = load.case("an upstream leaves", fleet.metric("shard_calls") - calls)
    result = {"cases": [row], "late": late, "overloads": overloads(fleet)}
    await fleet.close()
    return result


def soak_job(organisation: str, offset: int) -> Callable[[int], dict[str, Any]]:
    """Return a job that runs a randomised soak and counts its violations."""

    def job(seed: int) -> dict[str, Any]:
        soak = run_soak(organisation, seed + offset, SOAK_SECONDS)
        return {
            "seed": seed + offset,
            "violations": dict(Counter(item.invariant for item in soak.violations)),
            "counts": dict(soak.counts),
        }

    return job


def paused_job(
    work: Callable[[int], Awaitable[dict[str, Any]]],
) -> Callable[[int], dict[str, Any]]:
    """Return a job that runs a measurement on the paused clock."""
    return lambda seed: run_paused(work(seed))


JOBS: dict[str, Callable[[int], dict[str, Any]]] = {
    "stragglers": paused_job(stragglers),
    "canaries": paused_job(canaries),
    "domain loss": paused_job(domain_loss),
    "planned stop": paused_job(planned_stop),
    "drain": paused_job(drain),
    "leaving upstream": paused_job(leaving_upstream),
    "soak tidy-bothy": soak_job("tidy-bothy", 0),
    "soak lantern-grid": soak_job("lantern-grid", 1),
    "soak tidy-bothy 2": soak_job("tidy-bothy", 2),
    "soak lantern-grid 2": soak_job("lantern-grid", 3),
}
