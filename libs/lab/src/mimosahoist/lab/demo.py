"""The demo: both deployments, real searches and bookings, checked answers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from mimosahoist.cli.output import print_table
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.launcher import Launcher
from mimosahoist.lab.load import LoadClient, false_coverage

if TYPE_CHECKING:
    import argparse

SEARCHES_PER_SECOND = 30.0
SECONDS = 6.0
RUNS = 60
DEADLINE_MS = 1000
MEASURED_ROWS = ("p50_ms", "p99_ms", "max_ms")


async def demo(arguments: argparse.Namespace) -> int:
    """Run the demo; return the exit code."""
    started = time.monotonic()
    failures = 0
    for number, deployment in enumerate(sizes.USERS):
        port = arguments.base_port + number * sizes.PORTS_PER_DEPLOYMENT
        failures += await run_deployment(deployment, port, arguments)
    print(f"\ndone in {time.monotonic() - started:.0f} s, {failures} checks failed")
    return 1 if failures else 0


async def run_deployment(
    deployment: sizes.Deployment, port: int, arguments: argparse.Namespace
) -> int:
    """Start one deployment, use it, and check what it claims."""
    organisation = deployment.organisation
    launcher = Launcher(deployment, port, arguments.seed)
    print(f"\n== {organisation}: {len(launcher.specs)} searchers, {sizes.ENTRY_COUNT} entries")
    try:
        await launcher.start_stand_ins()
        await operate(launcher, "apply", str(Path(arguments.examples) / f"{organisation}.toml"))
        await launcher.start_entries()
        await operate(launcher, "status", "--wait", "5")
        return await use(launcher, arguments.seed)
    finally:
        await launcher.close()


async def operate(launcher: Launcher, *words: str) -> None:
    """Run the operators' command line."""
    command = [sys.executable, "-m", "mimosahoist.cli.main", "--platform", launcher.platform_url]
    print(f"$ mimosahoist {' '.join(words)}", flush=True)
    process = await asyncio.create_subprocess_exec(*command, *words)
    if await process.wait() != 0:
        raise RuntimeError(f"mimosahoist {words[0]} failed")


async def use(launcher: Launcher, seed: int) -> int:
    """Send searches and operations, print answers and latencies, check claims."""
    deployment = launcher.deployment
    addresses = [launcher.entry_address(number) for number in range(sizes.ENTRY_COUNT)]
    client = LoadClient(deployment.organisation, "desk", addresses, random.Random(seed))
    searches = [size.name for size in deployment.services if size.kind == "search"]
    runs = [size.name for size in deployment.services if size.kind == "run"]
    try:
        await client.pace_searches(searches, SEARCHES_PER_SECOND, SECONDS, DEADLINE_MS)
        doubled = await book(client, runs, launcher)
        records = await launcher.records()
    finally:
        client.close()
    show_answer(client)
    rows = []
    for service, latency in client.result.latency.items():
        summary = latency.summary()
        rows.append([service, summary.count, *(f"{value:.1f}" for value in summary[1:])])
    print_table(("service", "answers", "p50 ms", "p99 ms", "p99.9 ms", "max ms"), rows)
    return report_checks(client, records, doubled)


async def book(client: LoadClient, services: list[str], launcher: Launcher) -> int:
    """Send keyed operations, each twice at different instances; return double runs."""
    for number in range(RUNS):
        service = services[number % len(services)]
        identifier = f"{service}-{number}"
        for _ in range(2):
            await client.run(service, identifier, DEADLINE_MS, key=identifier)
    records = await launcher.records()
    return sum(
        1 for record in records for count in record["operations"].values() if count > 1
    ) + duplicates_between(records)


def duplicates_between(records: list[dict]) -> int:
    """Operations that ran at more than one searcher."""
    seen: set[str] = set()
    doubled = 0
    for record in records:
        doubled += len(seen.intersection(record["operations"]))
        seen.update(record["operations"])
    return doubled


def show_answer(client: LoadClient) -> None:
    """Print one answer."""
    answer = client.result.answers[-1]
    coverage = answer.body["coverage"]
    print(
        f"{answer.service} '{answer.text}': snapshot {answer.body['snapshot']},"
        f" coverage {coverage['answered']}/{coverage['shards']}, best hits"
        f" {[(hit['id'], hit['score']) for hit in answer.body['hits'][:3]]}"
    )


def report_checks(client: LoadClient, records: list[dict], doubled: int) -> int:
    """Print each check and count those that failed."""
    counts = client.result.counts
    checks = {
        "searches without an answer": sum(
            count
            for name, count in counts.items()
            if name.startswith("search_status_") and name != "search_status_200"
        ),
        "partial answers": counts["partial"],
        "wrong hits": counts["wrong_hits"],
        "coverage not in the searchers' records": counts["false_coverage"]
        + false_coverage(client.result.answers, records),
        "operations refused": sum(
            count
            for name, count in counts.items()
            if name.startswith("run_status_") and name != "run_status_200"
        ),
        "double runs": doubled,
        "overloads at searchers": sum(
            record["counts"].get("overload", 0) + record["counts"].get("cold_overload", 0)
            for record in records
        ),
    }
    print_table(("check", "found"), list(checks.items()))
    return sum(1 for found in checks.values() if found)
