"""Demo that sends searches and operations to both reference deployments and checks answers."""

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
from mimosahoist.lab.load import LoadClient, count_false_coverage

if TYPE_CHECKING:
    import argparse

SEARCHES_PER_SECOND = 30.0
SEARCH_SECONDS = 6.0
OPERATION_COUNT = 60
DEADLINE_MS = 1000
MEASURED_ROWS = ("p50_ms", "p99_ms", "max_ms")


async def demo(arguments: argparse.Namespace) -> int:
    """Run the demo and return its exit code."""
    started = time.monotonic()
    failures = 0
    for number, deployment in enumerate(sizes.REFERENCE_DEPLOYMENTS):
        port = arguments.base_port + number * sizes.PORTS_PER_DEPLOYMENT
        failures += await run_deployment(deployment, port, arguments)
    print(f"\ndemo finished in {time.monotonic() - started:.0f} s; {failures} checks failed")
    return 1 if failures else 0


async def run_deployment(
    deployment: sizes.Deployment, port: int, arguments: argparse.Namespace
) -> int:
    """Start one deployment, send traffic to it and return the number of failed checks."""
    organisation = deployment.organisation
    launcher = Launcher(deployment, port, arguments.seed)
    print(
        f"\n== {organisation}: {len(launcher.specs)} searchers,"
        f" {sizes.ENTRY_COUNT} entry instances"
    )
    try:
        await launcher.start_stand_ins()
        await run_cli(launcher, "apply", str(Path(arguments.examples) / f"{organisation}.toml"))
        await launcher.start_entries()
        await run_cli(launcher, "status", "--wait", "5")
        return await run_traffic(launcher, arguments.seed)
    finally:
        await launcher.close()


async def run_cli(launcher: Launcher, *words: str) -> None:
    """Run a command of the operators' command-line interface."""
    command = [sys.executable, "-m", "mimosahoist.cli.main", "--platform", launcher.platform_url]
    print(f"$ mimosahoist {' '.join(words)}", flush=True)
    process = await asyncio.create_subprocess_exec(*command, *words)
    if await process.wait() != 0:
        raise RuntimeError(f"'mimosahoist {words[0]}' exited with status {process.returncode}")


async def run_traffic(launcher: Launcher, seed: int) -> int:
    """Send searches and operations, print latencies and return the number of failed checks."""
    deployment = launcher.deployment
    addresses = [launcher.entry_address(number) for number in range(sizes.ENTRY_COUNT)]
    client = LoadClient(deployment.organisation, "desk", addresses, random.Random(seed))
    searches = [size.name for size in deployment.services if size.kind == "search"]
    runs = [size.name for size in deployment.services if size.kind == "run"]
    try:
        await client.search_at_rate(searches, SEARCHES_PER_SECOND, SEARCH_SECONDS, DEADLINE_MS)
        repeated = await run_keyed_operations(client, runs, launcher)
        records = await launcher.records()
    finally:
        client.close()
    print_answer(client)
    rows = []
    for service, latency in client.result.latency.items():
        summary = latency.summary()
        rows.append([service, summary.count, *(f"{value:.1f}" for value in summary[1:])])
    print_table(("service", "answers", "p50 ms", "p99 ms", "p99.9 ms", "max ms"), rows)
    return print_checks(client, records, repeated)


async def run_keyed_operations(client: LoadClient, services: list[str], launcher: Launcher) -> int:
    """Send each keyed operation to two instances and return how many ran more than once."""
    for number in range(OPERATION_COUNT):
        service = services[number % len(services)]
        identifier = f"{service}-{number}"
        for _ in range(2):
            await client.run(service, identifier, DEADLINE_MS, key=identifier)
    records = await launcher.records()
    return sum(
        1 for record in records for count in record["operations"].values() if count > 1
    ) + count_runs_at_several_searchers(records)


def count_runs_at_several_searchers(records: list[dict]) -> int:
    """Count operations that ran at more than one searcher."""
    seen: set[str] = set()
    repeated = 0
    for record in records:
        repeated += len(seen.intersection(record["operations"]))
        seen.update(record["operations"])
    return repeated


def print_answer(client: LoadClient) -> None:
    """Print the last search answer with its coverage and best hits."""
    answer = client.result.answers[-1]
    coverage = answer.body["coverage"]
    print(
        f"{answer.service} '{answer.text}': snapshot {answer.body['snapshot']},"
        f" coverage {coverage['answered']}/{coverage['shards']}, best hits"
        f" {[(hit['id'], hit['score']) for hit in answer.body['hits'][:3]]}"
    )


def print_checks(client: LoadClient, records: list[dict], repeated: int) -> int:
    """Print the result of each check and return the number of failed checks."""
    counts = client.result.counts
    checks = {
        "unsuccessful searches": sum(
            count
            for name, count in counts.items()
            if name.startswith("search_status_") and name != "search_status_200"
        ),
        "partial answers": counts["partial"],
        "wrong hits": counts["wrong_hits"],
        "coverage not confirmed by searcher records": counts["false_coverage"]
        + count_false_coverage(client.result.answers, records),
        "unsuccessful operations": sum(
            count
            for name, count in counts.items()
            if name.startswith("run_status_") and name != "run_status_200"
        ),
        "operations run more than once": repeated,
        "searcher overloads": sum(
            record["counts"].get("overload", 0) + record["counts"].get("cold_overload", 0)
            for record in records
        ),
    }
    print_table(("check", "violations"), list(checks.items()))
    return sum(1 for violations in checks.values() if violations)
