"""Randomised runs with all faults mixed, and the promises asserted."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import now
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.corpus import expected_hits
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.paused_loop import run_paused
from mimosahoist.lab.soak_faults import DRAIN_GRACE_SECONDS, FaultInjector

if TYPE_CHECKING:
    import argparse

    from mimosahoist.entry.application import EntryApplication
    from mimosahoist.query.request import SearchResult

SEARCH_RATE = 60.0
RUN_RATE = 15.0
DEADLINE = 0.33
LATE_SECONDS = 0.010
KEYED_TRIES = 3
SETTLE_SECONDS = 15.0
WATCH_SECONDS = 0.05
DISTINCT_QUERIES = 200
KILLS_BORNE = 6


class Violation(NamedTuple):
    """A promise that was broken."""

    at: float
    invariant: str
    detail: str


class Soak:
    """Load, faults and invariants on a fleet in memory."""

    def __init__(self, deployment: sizes.Deployment, seed: int, seconds: float) -> None:
        self.fleet = MemoryFleet(deployment, seed)
        self.rng = random.Random(f"{seed}/soak")
        self.faults = FaultInjector(self.fleet, random.Random(f"{seed}/faults"))
        self.seconds = seconds
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.revisions: dict[tuple[str, int], int] = {}
        self.searches = [size.name for size in deployment.services if size.kind == "search"]
        self.runs = [size.name for size in deployment.services if size.kind == "run"]
        self.refused: list[str] = []

    async def run(self) -> None:
        """Run to the end and check everything."""
        await self.fleet.start()
        until = now() + self.seconds
        watcher = asyncio.create_task(self.watch())
        await asyncio.gather(
            self.faults.run(until),
            self.send_searches(until),
            self.send_runs(until),
        )
        await self.settle()
        watcher.cancel()
        self.check_records()
        await self.fleet.close()

    def violate(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.violations.append(Violation(now(), promise, detail))

    async def send_searches(self, until: float) -> None:
        """Send searches at an even rate."""
        pending = set()
        while now() < until:
            task = asyncio.create_task(self.search_once())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / SEARCH_RATE)
        await asyncio.gather(*pending)

    async def search_once(self) -> None:
        """Send one search and check its answer."""
        service = self.rng.choice(self.searches)
        text = f"query {self.rng.randrange(DISTINCT_QUERIES)}"
        app = self.fleet.pick_entry()
        started = now()
        self.counts["searches"] += 1
        request_id = f"search-{self.counts['searches']}"
        try:
            result = await self.fleet.search(service, text, DEADLINE, app, request_id=request_id)
        except Problem as problem:
            if problem.run is RunState.NOT_RUN:
                self.refused.append(request_id)
            self.counts[f"search refused {problem.kind}"] += 1
            if problem.kind is ProblemKind.REJECTED_REQUEST:
                self.violate("innocent requests are not blamed", text)
        except KeyError:
            self.counts["search at an instance without configuration"] += 1
        except asyncio.CancelledError:
            self.counts["search cut by a kill"] += 1
        else:
            self.check_search(service, text, result)
        if now() - started > DEADLINE + LATE_SECONDS:
            self.violate("answer by the deadline", f"{now() - started:.3f} s for {service}")

    def check_search(self, service: str, text: str, result: SearchResult) -> None:
        """Check one snapshot and true coverage."""
        missing = {item.shard for item in result.missing}
        covered = [shard for shard in range(result.shards) if shard not in missing]
        self.counts["shards asked"] += result.shards
        self.counts["shards answered"] += result.answered
        self.counts["complete" if not missing else "partial"] += 1
        if len(covered) != result.answered:
            self.violate("true coverage", f"{result.request_id}: {result}")
        expected = expected_hits(service, result.snapshot, covered, text, 10, 0)
        if [tuple(hit) for hit in result.hits] != [tuple(hit) for hit in expected]:
            self.violate("one snapshot", f"{result.request_id}: hits differ from the corpus")

    async def send_runs(self, until: float) -> None:
        """Send operations at an even rate, some keyed and sent again."""
        pending = set()
        number = 0
        while now() < until:
            number += 1
            work = self.run_keyed(number) if number % 2 else self.run_plain(number)
            task = asyncio.create_task(work)
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RUN_RATE)
        await asyncio.gather(*pending)

    async def run_plain(self, number: int) -> None:
        """Send an operation without a key, once."""
        service = self.rng.choice(self.runs)
        app = self.fleet.pick_entry()
        request_id = f"plain-{number}"
        await self.run_once(app, service, f"plain-{number}", None, request_id)

    async def run_keyed(self, number: int) -> None:
        """Send a keyed operation, and again until it is answered."""
        service = self.rng.choice(self.runs)
        for attempt in range(KEYED_TRIES):
            app = self.fleet.pick_entry()
            key = f"keyed-{number}"
            request_id = f"keyed-{number}-{attempt}"
            if await self.run_once(app, service, key, key, request_id):
                return

    async def run_once(
        self,
        app: EntryApplication,
        service: str,
        identifier: str,
        key: str | None,
        request_id: str,
    ) -> bool:
        """Send one operation; true if it was answered."""
        self.counts["runs"] += 1
        try:
            await self.fleet.run(service, {"id": identifier}, 1.0, key, app, request_id)
        except Problem as problem:
            self.counts[f"run refused {problem.kind} {problem.run}"] += 1
            if problem.run is RunState.NOT_RUN:
                self.refused.append(request_id)
            return False
        except KeyError:
            return False
        except asyncio.CancelledError:
            self.counts["run cut by a kill"] += 1
            return False
        self.counts["runs answered"] += 1
        return True

    async def watch(self) -> None:
        """Check all the time what must hold at every moment."""
        while True:
            self.watch_revisions()
            self.watch_drains()
            await asyncio.sleep(WATCH_SECONDS)

    def watch_revisions(self) -> None:
        """No instance goes back in revision."""
        for name, app in self.fleet.entries.items():
            key = (name, app.identity.incarnation)
            if app.directory.applied_revision < self.revisions.get(key, 0):
                self.violate("no revert", name)
            self.revisions[key] = app.directory.applied_revision

    def watch_drains(self) -> None:
        """Nothing begins in a failure domain that has been out for a few seconds."""
        for domain, since in self.faults.drained.items():
            if now() - since < DRAIN_GRACE_SECONDS:
                continue
            for model in self.fleet.models.values():
                late = model.record.last_begun > since + DRAIN_GRACE_SECONDS
                if model.spec.failure_domain == domain and late:
                    self.violate("no work in a failure domain that is out", model.spec.name)

    async def settle(self) -> None:
        """After the faults all instances come to the same configuration."""
        self.fleet.network.heal()
        self.fleet.platform.set_down(False)
        await asyncio.sleep(SETTLE_SECONDS)
        revision = self.fleet.platform.collections["objects"].revision
        for name, app in self.fleet.entries.items():
            if app.directory.applied_revision < revision:
                self.violate("in force everywhere", f"{name} at {app.directory.applied_revision}")
        shares = [app.shares.index for app in self.fleet.entries.values()]
        if len(set(shares)) != len(shares) or None in shares:
            self.violate("each instance has a share of its own", str(shares))

    def check_records(self) -> None:
        """Hold the product's claims against the searchers' own records."""
        killed = self.fleet.total("killed")
        if killed > KILLS_BORNE * self.faults.killers:
            self.violate("few upstreams lost to one request", f"{killed} lost")
        operations: Counter[str] = Counter()
        begun: set[str] = set()
        for model in self.fleet.models.values():
            operations.update(model.record.operations)
            begun.update(model.record.begun)
            for promise in ("overload", "cold_overload", "connections_refused"):
                if model.record.counts[promise]:
                    self.violate(promise, f"{model.spec.name}: {model.record.counts[promise]}")
        for identifier, count in operations.items():
            if count > 1:
                self.violate("at most once", f"{identifier} ran {count} times")
        bases = {request.partition(".")[0] for request in begun}
        for request in self.refused:
            if request in bases:
                self.violate("'not run' is true", request)

    def report(self) -> list[str]:
        """Lines of a report."""
        lines = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        lines.append(f"faults: {len(self.faults.log)}")
        lines.append(f"violations: {len(self.violations)}")
        return lines


def run_soak(organisation: str, seed: int, seconds: float) -> Soak:
    """Run a soak under the paused clock."""

    async def work() -> Soak:
        soak = Soak(sizes.DEPLOYMENTS[organisation], seed, seconds)
        await soak.run()
        return soak

    return run_paused(work())


async def command(arguments: argparse.Namespace) -> Any:
    """Command ``mimosahoist-lab soak``: print the report; the seed and trace on failure."""
    loop = asyncio.get_running_loop()
    soak = await loop.run_in_executor(
        None, run_soak, arguments.deployment, arguments.seed, arguments.seconds
    )
    print("\n".join(soak.report()))
    if not soak.violations:
        return 0
    print(f"FAILED with --deployment {arguments.deployment} --seed {arguments.seed}")
    for violation in soak.violations[:20]:
        print(f"{violation.at:.3f} {violation.invariant}: {violation.detail}")
    print("faults: " + "; ".join(soak.faults.log))
    return 1
