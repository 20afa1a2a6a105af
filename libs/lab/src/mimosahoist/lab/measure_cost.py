"""Measures the CPU time of an entry process per shard call."""

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
BASE_PORT = 24_000
CONCURRENCY = 2
MICROSECONDS_PER_SECOND = 1_000_000


class Cost(NamedTuple):
    """CPU time and memory of one entry process under load."""

    us_per_shard_call: float
    us_per_query: float
    idle_share_of_core: float
    shard_calls_per_second: float
    resident_mb: float


async def measure_deployment(deployment: sizes.Deployment, service: str, seed: int) -> Cost:
    """Measure one entry instance under load, with its idle CPU time subtracted."""
    launcher = Launcher(deployment, BASE_PORT, seed)
    client = LoadClient(
        deployment.organisation, "desk", [launcher.entry_address(0)], random.Random(seed)
    )
    try:
        await launcher.start_stand_ins()
        await launcher.declare()
        await launcher.start_entries(1)
        await search_closed_loop(client, service, 1.0)
        idle = await measure_idle_share(launcher)
        return await measure_loaded_cost(launcher, client, service, idle)
    finally:
        client.close()
        await launcher.close()


async def measure_idle_share(launcher: Launcher) -> float:
    """Measure the share of a core that the entry process uses without requests."""
    before = launcher.usage("entry-0").cpu_seconds
    await asyncio.sleep(IDLE_SECONDS)
    return (launcher.usage("entry-0").cpu_seconds - before) / IDLE_SECONDS


async def measure_loaded_cost(
    launcher: Launcher, client: LoadClient, service: str, idle: float
) -> Cost:
    """Measure the cost per shard call and per query under a closed-loop load."""
    loop = asyncio.get_running_loop()
    before = launcher.usage("entry-0")
    counters_before = await launcher.metrics(0)
    started = loop.time()
    await search_closed_loop(client, service, LOAD_SECONDS)
    seconds = loop.time() - started
    after = launcher.usage("entry-0")
    counters_after = await launcher.metrics(0)
    label = service.replace("-", "_")
    calls = counters_after["shard_calls"] - counters_before["shard_calls"]
    queries = counters_after[f"searches_{label}"] - counters_before[f"searches_{label}"]
    busy_seconds = after.cpu_seconds - before.cpu_seconds - idle * seconds
    return Cost(
        busy_seconds / calls * MICROSECONDS_PER_SECOND,
        busy_seconds / queries * MICROSECONDS_PER_SECOND,
        idle,
        calls / seconds,
        after.resident_bytes / 1e6,
    )


async def search_closed_loop(client: LoadClient, service: str, seconds: float) -> None:
    """Send searches from a few concurrent clients, each waiting for its answer (closed loop)."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def search_repeatedly(number: int) -> None:
        while loop.time() < until:
            text = f"query {client.rng.randrange(100)}"
            await client.search(service, text, 10, DEADLINE_MS)

    await asyncio.gather(*(search_repeatedly(number) for number in range(CONCURRENCY)))


def measure_cost(seed: int) -> dict[str, Any]:
    """Measure the cost at the target fan-out of 93 searchers per query and at the current one."""
    wide = asyncio.run(measure_deployment(sizes.WIDE, "wide-search", seed))
    narrow = asyncio.run(measure_deployment(sizes.TIDY_BOTHY, "sorter-app", seed))
    return {
        "us_per_shard_call": wide.us_per_shard_call,
        "wide": wide._asdict(),
        "narrow": narrow._asdict(),
    }
