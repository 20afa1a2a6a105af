"""Processor time of a real entry process per shard call."""

from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.launcher import Launcher
from mimosahoist.lab.load import LoadClient

IDLE_SECONDS = 4.0
LOAD_SECONDS = 6.0
DEADLINE_MS = 2000
COST_PORT = 24_000
CONCURRENCY = 2
MICROSECONDS = 1_000_000


class Cost(NamedTuple):
    """Processor time of one entry process under load."""

    us_per_shard_call: float
    us_per_query: float
    idle_share_of_core: float
    shard_calls_per_second: float
    resident_mb: float


async def measure_deployment(deployment: sizes.Deployment, service: str, seed: int) -> Cost:
    """Load one entry instance and read its accounts; the idle share is taken off."""
    launcher = Launcher(deployment, COST_PORT, seed)
    client = LoadClient(
        deployment.organisation, "desk", [launcher.entry_address(0)], random.Random(seed)
    )
    try:
        await launcher.start_stand_ins()
        await launcher.declare()
        await launcher.start_entries(1)
        await search_for(client, service, 1.0)
        idle = await idle_share(launcher)
        return await loaded_cost(launcher, client, service, idle)
    finally:
        client.close()
        await launcher.close()


async def idle_share(launcher: Launcher) -> float:
    """Share of a core that the entry takes without requests."""
    before = launcher.usage("entry-0").cpu_seconds
    await asyncio.sleep(IDLE_SECONDS)
    return (launcher.usage("entry-0").cpu_seconds - before) / IDLE_SECONDS


async def loaded_cost(launcher: Launcher, client: LoadClient, service: str, idle: float) -> Cost:
    """Cost per shard call and query under a steady load."""
    loop = asyncio.get_running_loop()
    before = launcher.usage("entry-0")
    counters = await launcher.metrics(0)
    started = loop.time()
    await search_for(client, service, LOAD_SECONDS)
    seconds = loop.time() - started
    after = launcher.usage("entry-0")
    counted = await launcher.metrics(0)
    label = service.replace("-", "_")
    calls = counted["shard_calls"] - counters["shard_calls"]
    queries = counted[f"searches_{label}"] - counters[f"searches_{label}"]
    spent = after.cpu_seconds - before.cpu_seconds - idle * seconds
    return Cost(
        spent / calls * MICROSECONDS,
        spent / queries * MICROSECONDS,
        idle,
        calls / seconds,
        after.resident_bytes / 1e6,
    )


async def search_for(client: LoadClient, service: str, seconds: float) -> None:
    """Search one query after the other on a few connections."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def one(number: int) -> None:
        while loop.time() < until:
            text = f"query {client.rng.randrange(100)}"
            await client.search(service, text, 10, DEADLINE_MS)

    await asyncio.gather(*(one(number) for number in range(CONCURRENCY)))


def measure_cost(seed: int) -> dict[str, Any]:
    """Cost at the target's breadth of 93 searchers a query, and at today's breadth."""
    wide = asyncio.run(measure_deployment(sizes.WIDE, "wide-search", seed))
    narrow = asyncio.run(measure_deployment(sizes.TIDY_BOTHY, "sorter-app", seed))
    return {
        "us_per_shard_call": wide.us_per_shard_call,
        "wide": wide._asdict(),
        "narrow": narrow._asdict(),
    }
