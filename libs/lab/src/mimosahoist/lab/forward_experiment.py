"""Compares scenarios of the forwarding engine against model upstreams, on the paused clock."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from tornado.httputil import HTTPHeaders

from mimosahoist.cli.output import print_table
from mimosahoist.core.metrics import Latency, Metrics
from mimosahoist.forward.declarations import (
    Route,
    RouteKind,
    ServiceLimits,
    SharedBounds,
    UpstreamRecord,
)
from mimosahoist.forward.engine import ForwardEngine
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.headers import HeaderNames
from mimosahoist.forward.merge import RecordMerger
from mimosahoist.forward.outcomes import Gathered
from mimosahoist.forward.request import CallerRequest
from mimosahoist.lab.paused_loop import run_paused
from mimosahoist.lab.pausing_upstream import PausingUpstream, UpstreamHabits

if TYPE_CHECKING:
    import argparse

    from mimosahoist.forward.route_timing import RouteTiming

SHARD_COUNT = 10
FAILURE_DOMAINS = ("a", "b", "c")
SERVICE_TIME_FACTORS = (0.8, 1.0, 1.3)
TARGET_LATENCY_SECONDS = 0.15
TIMEOUT_SECONDS = 1.5
LATE_CREDIT_FACTOR = 0.1
SLOTS_PER_UPSTREAM = 4


class Scenario(NamedTuple):
    """Upstream behaviour, load and budget of one run.

    Attributes
    ----------
    repeat_ratio : float
        Hedges and retries allowed per shard call.
    pause_seconds, pause_interval_seconds : float
        Length of an upstream's pauses, and time from one to the next; no pauses if the interval
        is 0.
    slow_share, slow_factor : float
        Share of slow upstreams, and the factor by which their calls take longer.
    """

    name: str
    repeat_ratio: float = 0.2
    pause_seconds: float = 0.2
    pause_interval_seconds: float = 4.5
    slow_share: float = 0.0
    slow_factor: float = 9.0
    searches_per_second: float = 30.0


class ScenarioResult(NamedTuple):
    """Measurements of one run.

    `credit` is the mean of the squared coverage, of which an answer after the target latency gets
    a tenth. `in_aim` is the share of searches answered within the target latency, `complete` the
    share answered by all shards, and `extra_sends` the hedges and retries per shard call.
    """

    name: str
    searches: int
    credit: float
    in_aim: float
    complete: float
    extra_sends: float
    p50_ms: float
    p99_ms: float


SCENARIOS = (
    Scenario("no pauses", pause_seconds=0.0, pause_interval_seconds=0.0),
    Scenario("pauses, no repeats", repeat_ratio=0.0),
    Scenario("pauses"),
    Scenario("pauses, slow upstreams, no repeats", repeat_ratio=0.0, slow_share=0.15),
    Scenario("pauses, slow upstreams", slow_share=0.15),
)


class ForwardExperiment:
    """One instance that sends searches to the model upstreams of ten shards."""

    def __init__(self, scenario: Scenario, seed: int, timing: RouteTiming | None = None) -> None:
        self.scenario = scenario
        self.timing = timing
        self.rng = random.Random(f"{seed}/forward")
        names = HeaderNames()
        bounds = SharedBounds(repeat_ratio=scenario.repeat_ratio, repeat_slack=0.0)
        self.fleet = UpstreamFleet(bounds, names)
        self.engine = ForwardEngine(
            self.fleet, names, RecordMerger(), FAILURE_DOMAINS[0], Metrics(), self.rng
        )
        self.shards = tuple(f"shard-{number}" for number in range(SHARD_COUNT))
        self.upstreams = [
            self.add_upstream(shard, domain, bounds, names)
            for shard in self.shards
            for domain in FAILURE_DOMAINS
        ]
        self.latency = Latency()
        self.credits: list[float] = []
        self.in_aim = 0
        self.complete = 0

    def add_upstream(
        self, service: str, domain: str, bounds: SharedBounds, names: HeaderNames
    ) -> PausingUpstream:
        """Create one upstream and add it to the fleet."""
        slowdown = (
            self.scenario.slow_factor if self.rng.random() < self.scenario.slow_share else 1.0
        )
        habits = UpstreamHabits(
            speed=SERVICE_TIME_FACTORS[FAILURE_DOMAINS.index(domain)] * slowdown,
            pause=self.scenario.pause_seconds,
            pause_every=self.scenario.pause_interval_seconds,
        )
        record = UpstreamRecord(
            f"{service}-{domain}", service, "model:1", domain, slots=SLOTS_PER_UPSTREAM
        )
        limits = ServiceLimits(service)
        upstream = PausingUpstream(record, limits, bounds, names, habits, self.rng)
        self.fleet.by_name[record.name] = upstream
        self.fleet.services.setdefault(service, {})[record.name] = upstream
        return upstream

    async def run(self, seconds: float) -> ScenarioResult:
        """Send searches with Poisson arrivals and wait for all of them."""
        route = Route(
            "search",
            "model",
            "/",
            RouteKind.IDEMPOTENT,
            timeout=TIMEOUT_SECONDS,
            target_latency=TARGET_LATENCY_SECONDS,
            max_attempts=2,
            shards=self.shards,
            result_limit=10,
            min_coverage=0.75,
        )
        if self.timing is not None:
            self.engine.timings[route.name] = self.timing
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        running = []
        while loop.time() < until:
            running.append(asyncio.create_task(self.search(route, len(running))))
            await asyncio.sleep(self.rng.expovariate(self.scenario.searches_per_second))
        await asyncio.gather(*running)
        await self.engine.close()
        return self.summarise()

    async def search(self, route: Route, number: int) -> None:
        """Send one search and record its result."""
        started = asyncio.get_running_loop().time()
        request = CallerRequest(
            str(number),
            route,
            "GET",
            "/",
            HTTPHeaders(),
            b"",
            started,
            started + TIMEOUT_SECONDS,
            started + TIMEOUT_SECONDS,
            started + TARGET_LATENCY_SECONDS,
        )
        outcome = await ScatterGather(self.engine, request).run()
        elapsed = asyncio.get_running_loop().time() - started
        self.latency.record(elapsed)
        if not isinstance(outcome, Gathered):
            self.credits.append(0.0)
            return
        coverage = 1.0 - outcome.missing / SHARD_COUNT
        within_target = elapsed <= TARGET_LATENCY_SECONDS
        self.in_aim += within_target
        self.complete += outcome.missing == 0
        self.credits.append(coverage**2 * (1.0 if within_target else LATE_CREDIT_FACTOR))

    def summarise(self) -> ScenarioResult:
        """Summarise the whole run."""
        count = len(self.credits)
        summary = self.latency.summary()
        arrivals = sum(upstream.arrivals for upstream in self.upstreams)
        return ScenarioResult(
            self.scenario.name,
            count,
            round(sum(self.credits) / count, 4),
            round(self.in_aim / count, 4),
            round(self.complete / count, 4),
            round(arrivals / (count * SHARD_COUNT) - 1.0, 4),
            round(summary.p50_ms, 1),
            round(summary.p99_ms, 1),
        )


def run_scenario(
    scenario: Scenario, seconds: float, seed: int, timing: RouteTiming | None = None
) -> ScenarioResult:
    """Run one scenario on the paused clock, with the standard hedge timing or another one."""

    async def run() -> ScenarioResult:
        return await ForwardExperiment(scenario, seed, timing).run(seconds)

    return run_paused(run())


def command(arguments: argparse.Namespace) -> int:
    """Run all scenarios and print a table with one row each."""
    rows = [run_scenario(scenario, arguments.seconds, arguments.seed) for scenario in SCENARIOS]
    print_table(list(ScenarioResult._fields), [[str(value) for value in row] for row in rows])
    return 0
