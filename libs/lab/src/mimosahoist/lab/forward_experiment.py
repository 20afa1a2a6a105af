"""Searches through the real decisions on the paused clock, with one way beside another."""

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
from mimosahoist.lab.pausing_upstream import PausingUpstream, UpstreamBehaviour

if TYPE_CHECKING:
    import argparse

    from mimosahoist.forward.route_timing import RouteTiming

SHARDS = 10
DOMAINS = ("a", "b", "c")
SPEEDS = (0.8, 1.0, 1.3)
TARGET_SECONDS = 0.15
TIMEOUT_SECONDS = 1.5
LATE_WORTH = 0.1
SLOTS = 4


class Way(NamedTuple):
    """One side of an experiment."""

    name: str
    repeat_ratio: float = 0.2
    pause: float = 0.2
    pause_every: float = 4.5
    slow_share: float = 0.0
    slow_factor: float = 9.0
    searches_per_second: float = 30.0


class Figures(NamedTuple):
    """What a run has shown; times in milliseconds.

    `credit` is the mean of the square of the coverage, a tenth of it after the aim.
    """

    name: str
    searches: int
    credit: float
    in_aim: float
    complete: float
    extra_sends: float
    p50_ms: float
    p99_ms: float


WAYS = (
    Way("no pauses", pause=0.0, pause_every=0.0),
    Way("pauses, no repeats", repeat_ratio=0.0),
    Way("pauses"),
    Way("pauses, slow upstreams, no repeats", repeat_ratio=0.0, slow_share=0.15),
    Way("pauses, slow upstreams", slow_share=0.15),
)


class ForwardExperiment:
    """One instance before the upstreams of ten shards."""

    def __init__(self, way: Way, seed: int, timing: RouteTiming | None = None) -> None:
        self.way = way
        self.timing = timing
        self.rng = random.Random(f"{seed}/forward")
        names = HeaderNames()
        bounds = SharedBounds(repeat_ratio=way.repeat_ratio, repeat_slack=0.0)
        self.fleet = UpstreamFleet(bounds, names)
        self.engine = ForwardEngine(
            self.fleet, names, RecordMerger(), DOMAINS[0], Metrics(), self.rng
        )
        self.shards = tuple(f"shard-{number}" for number in range(SHARDS))
        self.upstreams = [
            self.add(shard, domain, bounds, names) for shard in self.shards for domain in DOMAINS
        ]
        self.latency = Latency()
        self.credits: list[float] = []
        self.in_aim = 0
        self.complete = 0

    def add(
        self, service: str, domain: str, bounds: SharedBounds, names: HeaderNames
    ) -> PausingUpstream:
        """Make one upstream."""
        slow = self.way.slow_factor if self.rng.random() < self.way.slow_share else 1.0
        behaviour = UpstreamBehaviour(
            work_time_factor=SPEEDS[DOMAINS.index(domain)] * slow,
            pause=self.way.pause,
            pause_interval=self.way.pause_every,
        )
        record = UpstreamRecord(f"{service}-{domain}", service, "model:1", domain, slots=SLOTS)
        limits = ServiceLimits(service)
        upstream = PausingUpstream(record, limits, bounds, names, behaviour, self.rng)
        self.fleet.by_name[record.name] = upstream
        self.fleet.services.setdefault(service, {})[record.name] = upstream
        return upstream

    async def run(self, seconds: float) -> Figures:
        """Send searches at random times and wait for all of them."""
        route = Route(
            "search",
            "model",
            "/",
            RouteKind.IDEMPOTENT,
            timeout=TIMEOUT_SECONDS,
            target_latency=TARGET_SECONDS,
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
            await asyncio.sleep(self.rng.expovariate(self.way.searches_per_second))
        await asyncio.gather(*running)
        await self.engine.close()
        return self.figures()

    async def search(self, route: Route, number: int) -> None:
        """Search once and account for the answer."""
        at = asyncio.get_running_loop().time()
        request = CallerRequest(
            str(number),
            route,
            "GET",
            "/",
            HTTPHeaders(),
            b"",
            at,
            at + TIMEOUT_SECONDS,
            at + TIMEOUT_SECONDS,
            at + TARGET_SECONDS,
        )
        outcome = await ScatterGather(self.engine, request).run()
        elapsed = asyncio.get_running_loop().time() - at
        self.latency.record(elapsed)
        if not isinstance(outcome, Gathered):
            self.credits.append(0.0)
            return
        coverage = 1.0 - outcome.missing / SHARDS
        in_aim = elapsed <= TARGET_SECONDS
        self.in_aim += in_aim
        self.complete += outcome.missing == 0
        self.credits.append(coverage**2 * (1.0 if in_aim else LATE_WORTH))

    def figures(self) -> Figures:
        """Figures of the whole run."""
        count = len(self.credits)
        summary = self.latency.summary()
        arrivals = sum(upstream.arrivals for upstream in self.upstreams)
        return Figures(
            self.way.name,
            count,
            round(sum(self.credits) / count, 4),
            round(self.in_aim / count, 4),
            round(self.complete / count, 4),
            round(arrivals / (count * SHARDS) - 1.0, 4),
            round(summary.p50_ms, 1),
            round(summary.p99_ms, 1),
        )


def play(way: Way, seconds: float, seed: int, timing: RouteTiming | None = None) -> Figures:
    """Play one way on the paused clock, with the product's own timing or another one."""

    async def run() -> Figures:
        return await ForwardExperiment(way, seed, timing).run(seconds)

    return run_paused(run())


def command(arguments: argparse.Namespace) -> int:
    """Print all ways side by side."""
    rows = [play(way, arguments.seconds, arguments.seed) for way in WAYS]
    print_table(list(Figures._fields), [[str(value) for value in row] for row in rows])
    return 0
