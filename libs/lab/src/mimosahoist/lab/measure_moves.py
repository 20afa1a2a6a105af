"""Measures moves and the propagation of configuration changes on the paused clock."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.paused_loop import run_paused
from mimosahoist.lab.peer_mesh import PeerMesh
from mimosahoist.platform.kinds import move_key, move_status_key

if TYPE_CHECKING:
    from collections.abc import Callable

MOVES_PER_JOB = 25
JOBS_PER_KIND = 4
MOVE_SECONDS = 40.0
SEARCHES_PER_SECOND = 40.0
DEADLINE_SECONDS = 0.33
SERVICE = "catalogue"
ENTRY_COUNT = 4
REACTION_SECONDS = 2.0
BASELINE_STRAGGLE_RATE = 0.01

FAULT_CASES: tuple[dict[str, Any], ...] = (
    {"fail_rate": 0.5},
    {"slow_factor": 4.0},
    {"fail_rate": 0.3, "bad_above_running": 0},
    {"fail_rate": 1.0, "bad_route": "rare"},
    {"slow_factor": 5.0, "bad_route": "rare"},
    {"fail_rate": 0.8, "onset_weight": 0.25},
    {"slow_factor": 6.0, "onset_weight": 0.5},
)


class MoveExperiment:
    """A move of one small service to a new version, with traffic on two routes."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = MemoryFleet(sizes.SMALL, seed, ENTRY_COUNT)
        self.sent = 0
        self.fault_injected_at: float | None = None

    async def start(self) -> None:
        """Start the old version warm and the new version cold, and store the move."""
        fleet = self.fleet
        await fleet.start()
        for model in fleet.models.values():
            model.faults.straggle_rate = BASELINE_STRAGGLE_RATE
        specs = [s for s in sizes.searcher_specs(sizes.SMALL, "v2") if s.service == SERVICE]
        fleet.add_searchers(specs)
        for model in self.target_models():
            model.start_cold()
        spec = {
            "organisation": "small",
            "service": SERVICE,
            "source": "v1",
            "target": "v2",
            "started": unix_time(),
            "deadline": unix_time() + MOVE_SECONDS,
        }
        fleet.platform.store("objects", move_key("small", SERVICE), spec)

    def target_models(self) -> list[Any]:
        """Return the searchers of the new version."""
        return [model for model in self.fleet.models.values() if model.spec.version == "v2"]

    def status(self) -> dict[str, Any]:
        """Return the move's status from the store."""
        key = move_status_key("small", SERVICE)
        stored = self.fleet.platform.collections["objects"].objects.get(key)
        return stored.value if stored else {"phase": "waiting", "weight": 0.0}

    def shard_calls_begun(self) -> int:
        """Count callers' shard calls that the new version started to process."""
        return sum(
            1
            for model in self.target_models()
            for request in model.record.begun
            if not request.startswith("probe-")
        )

    async def load(self, seconds: float) -> None:
        """Send searches at a constant rate, one in three of them on the rare route."""
        until = now() + seconds
        while now() < until:
            self.sent += 1
            route = "rare" if self.sent % 3 == 0 else "default"
            asyncio.create_task(self.search(f"t {self.rng.randrange(200)}", route))
            await asyncio.sleep(1 / SEARCHES_PER_SECOND)

    async def search(self, text: str, route: str) -> None:
        """Send one search and ignore its result."""
        try:
            await self.fleet.search(SERVICE, text, DEADLINE_SECONDS, route=route)
        except (Problem, KeyError):
            return

    async def run(self, faults: dict[str, Any]) -> dict[str, Any]:
        """Run a move to its end with faults in the new version.

        Faults are injected at the start, or once the move's weight reaches ``onset_weight``.
        """
        await self.start()
        onset_weight = faults.get("onset_weight", 0.0)
        values = {name: value for name, value in faults.items() if name != "onset_weight"}
        ended_at = None
        begun_within_reaction = 0
        share_before = 0.0
        if onset_weight == 0.0:
            self.inject_faults(values)
        sent_before = self.sent
        until = now() + MOVE_SECONDS + 5
        while now() < until:
            await self.load(0.25)
            status = self.status()
            if onset_weight and self.fault_injected_at is None and status["weight"] >= onset_weight:
                self.inject_faults(values)
            if status["phase"] in ("done", "taken-back") and ended_at is None:
                ended_at = now()
                share_before = self.shard_calls_begun() / max(1, 4 * (self.sent - sent_before))
                await self.load(REACTION_SECONDS)
                begun_within_reaction = self.shard_calls_begun()
                await self.load(3)
                break
        phase = self.status()["phase"]
        after = self.shard_calls_begun() - begun_within_reaction if phase == "taken-back" else 0
        await self.fleet.close()
        return {
            "phase": phase,
            "after_2s": after,
            "share_before": share_before,
            "onset_weight": onset_weight,
        }

    def inject_faults(self, values: dict[str, Any]) -> None:
        """Inject faults into all searchers of the new version."""
        self.fault_injected_at = now()
        for model in self.target_models():
            for name, value in values.items():
                setattr(model.faults, name, value)


def good_moves(job_index: int) -> Callable[[int], dict[str, Any]]:
    """Return a job that measures moves to a fault-free version."""

    def job(seed: int) -> dict[str, Any]:
        results = [
            run_paused(MoveExperiment(seed * 1000 + job_index * MOVES_PER_JOB + number).run({}))
            for number in range(MOVES_PER_JOB)
        ]
        done = sum(result["phase"] == "done" for result in results)
        return {"moves": MOVES_PER_JOB, "done": done}

    return job


def bad_moves(job_index: int) -> Callable[[int], dict[str, Any]]:
    """Return a job that measures moves to faulty versions, cycling through all fault cases."""

    def job(seed: int) -> dict[str, Any]:
        results = []
        for number in range(MOVES_PER_JOB):
            faults = FAULT_CASES[number % len(FAULT_CASES)]
            move = MoveExperiment(seed * 2000 + job_index * MOVES_PER_JOB + number)
            results.append(run_paused(move.run(dict(faults))))
        immediate = [result["share_before"] for result in results if not result["onset_weight"]]
        return {
            "moves": MOVES_PER_JOB,
            "taken_back": sum(result["phase"] == "taken-back" for result in results),
            "share_before": max(immediate),
            "after_2s": max(result["after_2s"] for result in results),
        }

    return job


def measure_propagation(seed: int) -> dict[str, Any]:
    """Measure the time for a change to reach all instances and the store's load, by fleet size."""
    return {str(size): run_paused(measure_propagation_at(size, seed)) for size in (8, 32, 96)}


async def measure_propagation_at(size: int, seed: int) -> dict[str, Any]:
    """Measure the longest propagation time of several changes at one fleet size."""
    mesh = PeerMesh(size, seed)
    await mesh.start()
    calls = sum(mesh.platform.calls.values())
    started = now()
    longest = 0.0
    for _ in range(5):
        longest = max(longest, await mesh.propagate_change())
        await asyncio.sleep(5)
    seconds = now() - started
    rate = (sum(mesh.platform.calls.values()) - calls) / seconds
    await mesh.close()
    return {"seconds": longest, "store_calls_per_second": round(rate, 3)}


JOBS: dict[str, Callable[[int], dict[str, Any]]] = {
    **{f"good moves {job_index}": good_moves(job_index) for job_index in range(JOBS_PER_KIND)},
    **{f"bad moves {job_index}": bad_moves(job_index) for job_index in range(JOBS_PER_KIND)},
    "spread": measure_propagation,
}
