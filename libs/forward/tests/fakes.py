"""Fake upstreams without network access, for tests on the paused clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward.declarations import (
    Route,
    RouteKind,
    ServiceLimits,
    SharedBounds,
    UpstreamRecord,
    WeightedService,
)
from mimosahoist.forward.engine import ForwardEngine
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.headers import HeaderNames
from mimosahoist.forward.merge import RecordMerger
from mimosahoist.forward.outcomes import Answered, CallOutcome, LossKind, Lost
from mimosahoist.forward.request import CallerRequest
from mimosahoist.forward.upstream import Upstream

HEADER_NAMES = HeaderNames()
# Start of an instance that has its full share of all limits.
LONG_AGO = -60.0
Script = Callable[[int], tuple[float, CallOutcome | None]]


def answered(name: str, body: bytes = b"", status: int = 200, elapsed: float = 0.02) -> Answered:
    headers = HTTPHeaders({HEADER_NAMES.signature: f"signed-{name}"})
    return Answered(status, "", headers, body, elapsed)


class FakeUpstream(Upstream):
    """Ends each call with the delay in seconds and the outcome that its script returns.

    An outcome of None stands for no answer until the call times out.
    """

    script: Script
    script_knows_route = False
    arrivals: list[float]
    forwarded_headers: list[HTTPHeaders]

    async def perform(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        loop = asyncio.get_running_loop()
        self.arrivals.append(loop.time())
        self.forwarded_headers.append(self.request_headers(request))
        delay, outcome = self.answer(len(self.arrivals), request)
        if outcome is None or loop.time() + delay > until:
            await asyncio.sleep(max(0.0, until - loop.time()))
            return Lost(LossKind.TIMEOUT)
        await asyncio.sleep(delay)
        return outcome

    def answer(self, number: int, request: CallerRequest) -> tuple[float, CallOutcome | None]:
        if self.script_knows_route:
            return self.script(number, request.route.name)
        return self.script(number)


def fast_answers(name: str) -> Script:
    return lambda number: (0.02, answered(name, name.encode().ljust(16)[:16]))


class EngineFixture:
    """An engine with fake upstreams, named ``SERVICE-DOMAIN``."""

    def __init__(self, bounds: SharedBounds | None = None, domain: str = "a") -> None:
        self.fleet = UpstreamFleet(bounds or SharedBounds(), HEADER_NAMES)
        self.fleet.started = LONG_AGO
        self.metrics = Metrics()
        self.engine = ForwardEngine(
            self.fleet, HEADER_NAMES, RecordMerger(), domain, self.metrics, random.Random(5)
        )

    def add(
        self, service: str, domain: str, script: Script | None = None, **fields: object
    ) -> FakeUpstream:
        name = f"{service}-{domain}"
        record = UpstreamRecord(name, service, "127.0.0.1:1", domain, slots=4, **fields)
        upstream = FakeUpstream(record, ServiceLimits(service), self.fleet.bounds, HEADER_NAMES)
        upstream.cold_rate_source = self.fleet.cold_rate_here
        upstream.script = script or fast_answers(name)
        upstream.arrivals = []
        upstream.forwarded_headers = []
        self.fleet.by_name[name] = upstream
        self.fleet.services.setdefault(service, {})[name] = upstream
        return upstream

    def request(self, route: Route, time_left: float = 2.0, method: str = "GET") -> CallerRequest:
        at = asyncio.get_running_loop().time()
        headers = HTTPHeaders({HEADER_NAMES.request_id: "r1"})
        deadline = at + min(time_left, route.timeout)
        soft_deadline = at + route.target_latency
        return CallerRequest(
            "r1", route, method, "/x/", headers, b"", at, at + time_left, deadline, soft_deadline
        )


def gathering_route(count: int = 10, **fields: object) -> Route:
    settings = {"max_attempts": 2, "result_limit": 5, "min_coverage": 0.75, **fields}
    return Route(
        "search",
        "h",
        "/x/",
        RouteKind.IDEMPOTENT,
        timeout=1.5,
        target_latency=0.15,
        shards=tuple(f"s{number}" for number in range(count)),
        **settings,
    )


def plain_route(kind: RouteKind = RouteKind.IDEMPOTENT, **fields: object) -> Route:
    settings = {"max_attempts": 2, **fields}
    return Route(
        "lookup",
        "h",
        "/x/",
        kind,
        timeout=5.0,
        target_latency=0.5,
        targets=(WeightedService("desk", 1.0),),
        **settings,
    )
