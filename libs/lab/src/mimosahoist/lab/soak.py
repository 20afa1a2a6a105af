"""Randomised soak tests: load under mixed faults, with invariants checked throughout."""

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

SEARCHES_PER_SECOND = 60.0
RUNS_PER_SECOND = 15.0
SEARCH_DEADLINE_SECONDS = 0.33
DEADLINE_TOLERANCE_SECONDS = 0.010
MAX_KEYED_ATTEMPTS = 3
CONVERGENCE_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 0.05
DISTINCT_QUERIES = 200
MAX_CRASHES_PER_POISON_REQUEST = 6


class Violation(NamedTuple):
    """An invariant that did not hold, with the time and the evidence."""

    at: float
    invariant: str
    detail: str


class Soak:
    """Load, fault injection and invariant checks on an in-memory fleet."""

    def __init__(self, deployment: sizes.Deployment, seed: int, seconds: float) -> None:
        self.fleet = MemoryFleet(deployment, seed)
        self.rng = random.Random(f"{seed}/soak")
        self.faults = FaultInjector(self.fleet, random.Random(f"{seed}/faults"))
        self.seconds = seconds
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.last_revisions: dict[tuple[str, int], int] = {}
        self.search_services = [size.name for size in deployment.services if size.kind == "search"]
        self.run_services = [size.name for size in deployment.services if size.kind == "run"]
        self.not_run_requests: list[str] = []

    async def run(self) -> None:
        """Run load and faults for the configured time, then check convergence and records."""
        await self.fleet.start()
        until = now() + self.seconds
        checker = asyncio.create_task(self.check_continuously())
        await asyncio.gather(
            self.faults.run(until),
            self.send_searches(until),
            self.send_runs(until),
        )
        await self.check_convergence()
        checker.cancel()
        self.check_searcher_records()
        await self.fleet.close()

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record that an invariant did not hold."""
        self.violations.append(Violation(now(), invariant, detail))

    async def send_searches(self, until: float) -> None:
        """Send searches at a constant rate."""
        pending = set()
        while now() < until:
            task = asyncio.create_task(self.search_once())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / SEARCHES_PER_SECOND)
        await asyncio.gather(*pending)

    async def search_once(self) -> None:
        """Send one search; check its outcome and its latency."""
        service = self.rng.choice(self.search_services)
        text = f"query {self.rng.randrange(DISTINCT_QUERIES)}"
        app = self.fleet.pick_entry()
        started = now()
        self.counts["searches"] += 1
        request_id = f"search-{self.counts['searches']}"
        try:
            result = await self.fleet.search(
                service, text, SEARCH_DEADLINE_SECONDS, app, request_id=request_id
            )
        except Problem as problem:
            if problem.run is RunState.NOT_RUN:
                self.not_run_requests.append(request_id)
            self.counts[f"search refused {problem.kind}"] += 1
            if problem.kind is ProblemKind.REJECTED_REQUEST:
                self.record_violation("innocent requests are not blamed", text)
        except KeyError:
            self.counts["search at an instance without configuration"] += 1
        except asyncio.CancelledError:
            self.counts["search cut by a kill"] += 1
        else:
            self.check_search(service, text, result)
        if now() - started > SEARCH_DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS:
            self.record_violation(
                "answer by the deadline", f"{now() - started:.3f} s for {service}"
            )

    def check_search(self, service: str, text: str, result: SearchResult) -> None:
        """Check that all hits come from one snapshot and that the coverage is accurate."""
        missing = {item.shard for item in result.missing}
        covered = [shard for shard in range(result.shards) if shard not in missing]
        self.counts["shards asked"] += result.shards
        self.counts["shards answered"] += result.answered
        self.counts["complete" if not missing else "partial"] += 1
        if len(covered) != result.answered:
            self.record_violation("true coverage", f"{result.request_id}: {result}")
        expected = expected_hits(service, result.snapshot, covered, text, 10, 0)
        if [tuple(hit) for hit in result.hits] != [tuple(hit) for hit in expected]:
            self.record_violation(
                "one snapshot", f"{result.request_id}: hits differ from the corpus"
            )

    async def send_runs(self, until: float) -> None:
        """Send operations at a constant rate; every other one has an idempotency key."""
        pending = set()
        number = 0
        while now() < until:
            number += 1
            work = self.run_keyed(number) if number % 2 else self.run_plain(number)
            task = asyncio.create_task(work)
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / RUNS_PER_SECOND)
        await asyncio.gather(*pending)

    async def run_plain(self, number: int) -> None:
        """Send an operation without an idempotency key, without retries."""
        service = self.rng.choice(self.run_services)
        app = self.fleet.pick_entry()
        request_id = f"plain-{number}"
        await self.run_once(app, service, f"plain-{number}", None, request_id)

    async def run_keyed(self, number: int) -> None:
        """Send an operation with an idempotency key; retry until it is answered."""
        service = self.rng.choice(self.run_services)
        for attempt in range(MAX_KEYED_ATTEMPTS):
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
        """Send one operation; return whether it was answered."""
        self.counts["runs"] += 1
        try:
            await self.fleet.run(service, {"id": identifier}, 1.0, key, app, request_id)
        except Problem as problem:
            self.counts[f"run refused {problem.kind} {problem.run}"] += 1
            if problem.run is RunState.NOT_RUN:
                self.not_run_requests.append(request_id)
            return False
        except KeyError:
            return False
        except asyncio.CancelledError:
            self.counts["run cut by a kill"] += 1
            return False
        self.counts["runs answered"] += 1
        return True

    async def check_continuously(self) -> None:
        """Check periodically the invariants that must hold at any time."""
        while True:
            self.check_revisions()
            self.check_drained_domains()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check_revisions(self) -> None:
        """Check that no instance reverts to an earlier configuration revision."""
        for name, app in self.fleet.entries.items():
            key = (name, app.identity.incarnation)
            if app.directory.applied_revision < self.last_revisions.get(key, 0):
                self.record_violation("no revert", name)
            self.last_revisions[key] = app.directory.applied_revision

    def check_drained_domains(self) -> None:
        """Check that no work begins in a failure domain once the drain grace period is over."""
        for domain, since in self.faults.drained.items():
            if now() - since < DRAIN_GRACE_SECONDS:
                continue
            for model in self.fleet.models.values():
                late = model.record.last_begun > since + DRAIN_GRACE_SECONDS
                if model.spec.failure_domain == domain and late:
                    self.record_violation(
                        "no work in a failure domain that is out", model.spec.name
                    )

    async def check_convergence(self) -> None:
        """Check that all instances reach one configuration and distinct shares after the faults."""
        self.fleet.network.heal()
        self.fleet.platform.set_down(False)
        await asyncio.sleep(CONVERGENCE_SECONDS)
        revision = self.fleet.platform.collections["objects"].revision
        for name, app in self.fleet.entries.items():
            if app.directory.applied_revision < revision:
                self.record_violation(
                    "in force everywhere", f"{name} at {app.directory.applied_revision}"
                )
        shares = [app.shares.index for app in self.fleet.entries.values()]
        if len(set(shares)) != len(shares) or None in shares:
            self.record_violation("each instance has a share of its own", str(shares))

    def check_searcher_records(self) -> None:
        """Compare what the product reported with the searchers' own records."""
        killed = self.fleet.total("killed")
        if killed > MAX_CRASHES_PER_POISON_REQUEST * self.faults.poison_requests:
            self.record_violation("few upstreams lost to one request", f"{killed} lost")
        operations: Counter[str] = Counter()
        begun: set[str] = set()
        for model in self.fleet.models.values():
            operations.update(model.record.operations)
            begun.update(model.record.begun)
            for counter in ("overload", "cold_overload", "connections_refused"):
                if model.record.counts[counter]:
                    self.record_violation(
                        counter, f"{model.spec.name}: {model.record.counts[counter]}"
                    )
        for identifier, count in operations.items():
            if count > 1:
                self.record_violation("at most once", f"{identifier} ran {count} times")
        bases = {request.partition(".")[0] for request in begun}
        for request in self.not_run_requests:
            if request in bases:
                self.record_violation("'not run' is true", request)

    def report(self) -> list[str]:
        """Return the lines of the report."""
        lines = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        lines.append(f"faults: {len(self.faults.log)}")
        lines.append(f"violations: {len(self.violations)}")
        return lines


def run_soak(organisation: str, seed: int, seconds: float) -> Soak:
    """Run a soak test under the paused clock."""

    async def work() -> Soak:
        soak = Soak(sizes.DEPLOYMENTS[organisation], seed, seconds)
        await soak.run()
        return soak

    return run_paused(work())


async def command(arguments: argparse.Namespace) -> Any:
    """Command ``mimosahoist-lab soak``: print the report; on failure also seed and faults."""
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
