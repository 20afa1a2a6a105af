"""Measurements of moves and of the spread of configuration, under the paused clock."""

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
PARTS = 4
MOVE_SECONDS = 40.0
RATE = 40.0
DEADLINE = 0.33
SERVICE = "catalogue"
ENTRIES = 4
REACTION_SECONDS = 2.0
NOISE_STRAGGLE_RATE = 0.01

BAD_KINDS: tuple[dict[str, Any], ...] = (
    {"fail_rate": 0.5},
    {"slow_factor": 4.0},
    {"fail_rate": 0.3, "bad_above_running": 0},
    {"fail_rate": 1.0, "bad_route": "rare"},
    {"slow_factor": 5.0, "bad_route": "rare"},
    {"fail_rate": 0.8, "later": 0.25},
    {"slow_factor": 6.0, "later": 0.5},
)


class Move:
    """One move of a small service, with traffic on two routes."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = MemoryFleet(sizes.SMALL, seed, ENTRIES)
        self.sent = 0
        self.shown_at: float | None = None

    async def start(self) -> None:
        """Start the old version warm and the new one cold beside it, and declare the move."""
        fleet = self.fleet
        await fleet.start()
        for model in fleet.models.values():
            model.faults.straggle_rate = NOISE_STRAGGLE_RATE
        specs = [s for s in sizes.searcher_specs(sizes.SMALL, "v2") if s.service == SERVICE]
        fleet.add_searchers(specs)
        for model in self.target():
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

    def target(self) -> list[Any]:
        """Searchers of the new version."""
        return [model for model in self.fleet.models.values() if model.spec.version == "v2"]

    def status(self) -> dict[str, Any]:
        """Stored status of the move."""
        key = move_status_key("small", SERVICE)
        held = self.fleet.platform.collections["objects"].objects.get(key)
        return held.value if held else {"phase": "waiting", "weight": 0.0}

    def served(self) -> int:
        """Shard calls of callers that the new version began."""
        return sum(
            1
            for model in self.target()
            for request in model.record.begun
            if not request.startswith("probe-")
        )

    async def load(self, seconds: float) -> None:
        """Send searches, one in three on the rare route."""
        until = now() + seconds
        while now() < until:
            self.sent += 1
            route = "rare" if self.sent % 3 == 0 else "default"
            asyncio.create_task(self.search(f"t {self.rng.randrange(200)}", route))
            await asyncio.sleep(1 / RATE)

    async def search(self, text: str, route: str) -> None:
        """Send one search."""
        try:
            await self.fleet.search(SERVICE, text, DEADLINE, route=route)
        except (Problem, KeyError):
            return

    async def run(self, faults: dict[str, Any]) -> dict[str, Any]:
        """Run a move with the given faults of the new version to its end."""
        await self.start()
        later = faults.get("later", 0.0)
        values = {name: value for name, value in faults.items() if name != "later"}
        taken_back_at = None
        served_2s = 0
        share_before = 0.0
        if later == 0.0:
            self.switch(values)
        started_sent = self.sent
        until = now() + MOVE_SECONDS + 5
        while now() < until:
            await self.load(0.25)
            status = self.status()
            if later and self.shown_at is None and status["weight"] >= later:
                self.switch(values)
            if status["phase"] in ("done", "taken-back") and taken_back_at is None:
                taken_back_at = now()
                share_before = self.served() / max(1, 4 * (self.sent - started_sent))
                await self.load(REACTION_SECONDS)
                served_2s = self.served()
                await self.load(3)
                break
        phase = self.status()["phase"]
        after = self.served() - served_2s if phase == "taken-back" else 0
        await self.fleet.close()
        return {"phase": phase, "after_2s": after, "share_before": share_before, "later": later}

    def switch(self, values: dict[str, Any]) -> None:
        """Let the new version's fault show."""
        self.shown_at = now()
        for model in self.target():
            for name, value in values.items():
                setattr(model.faults, name, value)


def good_moves(part: int) -> Callable[[int], dict[str, Any]]:
    """Job of good moves."""

    def job(seed: int) -> dict[str, Any]:
        results = [
            run_paused(Move(seed * 1000 + part * MOVES_PER_JOB + number).run({}))
            for number in range(MOVES_PER_JOB)
        ]
        done = sum(result["phase"] == "done" for result in results)
        return {"moves": MOVES_PER_JOB, "done": done}

    return job


def bad_moves(part: int) -> Callable[[int], dict[str, Any]]:
    """Job of bad moves of all kinds."""

    def job(seed: int) -> dict[str, Any]:
        results = []
        for number in range(MOVES_PER_JOB):
            faults = BAD_KINDS[number % len(BAD_KINDS)]
            move = Move(seed * 2000 + part * MOVES_PER_JOB + number)
            results.append(run_paused(move.run(dict(faults))))
        at_once = [result["share_before"] for result in results if not result["later"]]
        return {
            "moves": MOVES_PER_JOB,
            "taken_back": sum(result["phase"] == "taken-back" for result in results),
            "share_before": max(at_once),
            "after_2s": max(result["after_2s"] for result in results),
        }

    return job


def spread(seed: int) -> dict[str, Any]:
    """Seconds until a change is at all instances, and the store's calls, by fleet size."""
    return {str(size): run_paused(spread_at(size, seed)) for size in (8, 32, 96)}


async def spread_at(size: int, seed: int) -> dict[str, Any]:
    """Longest spread of several changes at one size."""
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
    **{f"good moves {part}": good_moves(part) for part in range(PARTS)},
    **{f"bad moves {part}": bad_moves(part) for part in range(PARTS)},
    "spread": spread,
}
