"""Runs all measurements of the lab and compares the results with the targets."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

import msgspec

from mimosahoist.cli.output import print_table
from mimosahoist.lab import measure_moves, measure_query
from mimosahoist.lab.measure_cost import measure_cost

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable


class Target(TypedDict):
    """A target with its measured value, as written to the report."""

    name: str
    target: str
    measured: float
    unit: str
    met: bool


class Bound(NamedTuple):
    """A target's limit as stated in the issues; ``at_least`` makes it a lower limit."""

    name: str
    text: str
    limit: float
    unit: str
    at_least: bool = False

    def evaluate(self, measured: float) -> Target:
        """Compare a measured value with the limit."""
        met = measured >= self.limit if self.at_least else measured <= self.limit
        return Target(
            name=self.name, target=self.text, measured=round(measured, 4), unit=self.unit, met=met
        )


BOUNDS = (
    Bound("mixed snapshots", "0", 0, "answers"),
    Bound("false coverage", "0", 0, "answers"),
    Bound("double runs", "0", 0, "operations"),
    Bound("false 'not run'", "0", 0, "operations"),
    Bound("requests cut by a planned stop", "0", 0, "requests"),
    Bound("moments above an upstream's limits", "0", 0, "moments"),
    Bound("p99 with stragglers against without", "at most 1.5", 1.5, "ratio"),
    Bound("extra load of hedging", "at most 5 %", 0.05, "share"),
    Bound("full coverage after a failure domain's loss", "at most 2 s", 2.0, "s"),
    Bound("answers later than their deadline", "0", 0, "answers"),
    Bound("processor time per shard call", "at most 50 us", 50.0, "us"),
    Bound("good moves finished by their deadline", "at least 95 of 100", 0.95, "share", True),
    Bound("bad moves taken back", "at least 99 of 100", 0.99, "share", True),
    Bound("traffic of a bad version before its fault shows", "at most 5 %", 0.05, "share"),
    Bound("requests to a bad version from 2 s after its fault", "0", 0, "requests"),
    Bound("configuration in force, 8 instances", "at most 3 s", 3.0, "s"),
    Bound("configuration in force, 96 instances", "at most 6 s", 6.0, "s"),
    Bound("new work in a drained failure domain after 3 s", "0", 0, "requests"),
    Bound("new work at a leaving upstream after 3 s", "0", 0, "requests"),
    Bound("reverts in randomised runs", "0", 0, "reverts"),
)


def run_job(name: str, seed: int) -> dict[str, Any]:
    """Run one measurement in this process."""
    jobs: dict[str, Callable[[int], dict[str, Any]]] = {
        "cost": measure_cost,
        **measure_query.JOBS,
        **measure_moves.JOBS,
    }
    return jobs[name](seed)


JOB_NAMES = ("cost", *measure_query.JOBS, *measure_moves.JOBS)
PARALLEL_JOBS = 6


async def command(arguments: argparse.Namespace) -> int:
    """Run ``mimosahoist-lab measure``: all jobs, then the report."""
    results: dict[str, Any] = {"cost": await spawn_job("cost", arguments.seed)}
    semaphore = asyncio.Semaphore(PARALLEL_JOBS)

    async def run_limited(name: str) -> None:
        async with semaphore:
            results[name] = await spawn_job(name, arguments.seed)

    await asyncio.gather(*(run_limited(name) for name in JOB_NAMES[1:]))
    measured = measured_values(results)
    targets = [bound.evaluate(measured[bound.name]) for bound in BOUNDS]
    report = {
        "commit": current_commit(),
        "seed": arguments.seed,
        "command": "make measure",
        "targets": targets,
        "details": results,
    }
    Path(arguments.output).write_bytes(
        msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n"
    )
    print_report(results, targets)
    return 0


async def spawn_job(name: str, seed: int) -> dict[str, Any]:
    """Run a job in a separate process and read its result."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mimosahoist.lab.main",
        "measure-job",
        name,
        "--seed",
        str(seed),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(
            f"measurement '{name}' exited with status {process.returncode};"
            f" to reproduce it, run: mimosahoist-lab measure-job '{name}'"
        )
    return msgspec.json.decode(output.splitlines()[-1])


def print_job(arguments: argparse.Namespace) -> None:
    """Run ``mimosahoist-lab measure-job``, which prints its result as one line of JSON."""
    print(msgspec.json.encode(run_job(arguments.name, arguments.seed)).decode())


def measured_values(results: dict[str, Any]) -> dict[str, float]:
    """Return the measured value of each target, by name."""
    straggler_results = results["stragglers"]
    soaks = [results[name] for name in results if name.startswith("soak")]
    violations: dict[str, int] = {}
    for soak in soaks:
        for promise, count in soak["violations"].items():
            violations[promise] = violations.get(promise, 0) + count
    limits = ("overload", "cold_overload", "connections_refused")
    return {
        "mixed snapshots": violations.get("one snapshot", 0),
        "false coverage": violations.get("true coverage", 0),
        "double runs": violations.get("at most once", 0),
        "false 'not run'": violations.get("'not run' is true", 0),
        "requests cut by a planned stop": results["planned stop"]["cut"],
        "moments above an upstream's limits": sum(violations.get(name, 0) for name in limits)
        + sum(results[name].get("overloads", 0) for name in measure_query.JOBS),
        "p99 with stragglers against without": straggler_results["p99_ratio"],
        "extra load of hedging": straggler_results["extra_load"],
        "full coverage after a failure domain's loss": results["domain loss"]["seconds"],
        "answers later than their deadline": violations.get("answer by the deadline", 0)
        + results["domain loss"]["late"],
        "processor time per shard call": results["cost"]["us_per_shard_call"],
        "good moves finished by their deadline": outcome_share(results, "good moves", "done"),
        "bad moves taken back": outcome_share(results, "bad moves", "taken_back"),
        "traffic of a bad version before its fault shows": max_of_bad_moves(
            results, "share_before"
        ),
        "requests to a bad version from 2 s after its fault": max_of_bad_moves(results, "after_2s"),
        "configuration in force, 8 instances": results["spread"]["8"]["seconds"],
        "configuration in force, 96 instances": results["spread"]["96"]["seconds"],
        "new work in a drained failure domain after 3 s": results["drain"]["late"],
        "new work at a leaving upstream after 3 s": results["leaving upstream"]["late"],
        "reverts in randomised runs": violations.get("no revert", 0),
    }


def outcome_share(results: dict[str, Any], prefix: str, key: str) -> float:
    """Return the share of moves with an outcome, over all jobs whose name has a prefix."""
    parts = [results[name] for name in results if name.startswith(prefix)]
    return sum(part[key] for part in parts) / sum(part["moves"] for part in parts)


def max_of_bad_moves(results: dict[str, Any], key: str) -> float:
    """Return the largest value over all jobs of bad moves."""
    return max(results[name][key] for name in results if name.startswith("bad moves"))


def current_commit() -> str:
    """Return the abbreviated commit that is checked out."""
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    return completed.stdout.strip() or "unknown"


def print_report(results: dict[str, Any], targets: list[Target]) -> None:
    """Print the measured cases and the targets as tables."""
    rows = []
    for name, result in results.items():
        for case in result.get("cases", []):
            rows.append([name, *case.values()])
    header = (
        "experiment",
        "case",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "coverage",
        "extra load",
        "overloads",
        "refused",
    )
    print_table(header, rows)
    print()
    print_table(
        ("target", "bound", "measured", "unit", "met"),
        [tuple(target.values()) for target in targets],
    )
