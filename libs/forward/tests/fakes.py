"""Upstreams without a network, for tests on the paused clock."""

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

NAMES = HeaderNames()
Script = Callable[[int], tuple[float, CallOutcome | None]]


def answered(name: str, body: bytes = b"", status: int = 200, elapsed: float = 0.02) -> Answered:
    headers = HTTPHeaders({NAMES.signature: f"signed-{name}"})
    return Answered(status, "", headers, body, elapsed)


class FakeUpstream(Upstream):
    """Ends each call as its script says: after so many seconds, with such an outcome.

    An outcome of None means silence until the call is given up.
    """

    script: Script
    arrivals: list[float]
    passed_on: list[HTTPHeaders]

    async def perform(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        loop = asyncio.get_running_loop()
        self.arrivals.append(loop.time())
        self.passed_on.append(self.request_headers(request))
        delay, outcome = self.script(len(self.arrivals))
        if outcome is None or loop.time() + delay > until:
            await asyncio.sleep(max(0.0, until - loop.time()))
            return Lost(LossKind.TIMEOUT)
        await asyncio.sleep(delay)
        return outcome


def quick(name: str) -> Script:
    return lambda number: (0.02, answered(name, name.encode().ljust(16)[:16]))


class World:
    """An engine whose upstreams are fakes, named ``SERVICE-DOMAIN``."""

    def __init__(self, bounds: SharedBounds | None = None, domain: str = "a") -> None:
        self.fleet = UpstreamFleet(bounds or SharedBounds(), NAMES)
        self.metrics = Metrics()
        self.engine = ForwardEngine(
            self.fleet, NAMES, RecordMerger(), domain, self.metrics, random.Random(5)
        )

    def add(
        self, service: str, domain: str, script: Script | None = None, **fields: object
    ) -> FakeUpstream:
        name = f"{service}-{domain}"
        record = UpstreamRecord(name, service, "127.0.0.1:1", domain, slots=4, **fields)
        upstream = FakeUpstream(record, ServiceLimits(service), self.fleet.bounds, NAMES)
        upstream.script = script or quick(name)
        upstream.arrivals = []
        upstream.passed_on = []
        self.fleet.by_name[name] = upstream
        self.fleet.services.setdefault(service, {})[name] = upstream
        return upstream

    def request(self, route: Route, left: float = 2.0, method: str = "GET") -> CallerRequest:
        at = asyncio.get_running_loop().time()
        headers = HTTPHeaders({NAMES.request_id: "r1"})
        deadline = at + min(left, route.timeout)
        aim = at + route.target_latency
        return CallerRequest("r1", route, method, "/x/", headers, b"", at, at + left, deadline, aim)


def gathering(count: int = 10, **fields: object) -> Route:
    given = {"max_attempts": 2, "result_limit": 5, "min_coverage": 0.75, **fields}
    return Route(
        "search",
        "h",
        "/x/",
        RouteKind.IDEMPOTENT,
        timeout=1.5,
        target_latency=0.15,
        shards=tuple(f"s{number}" for number in range(count)),
        **given,
    )


def plain(kind: RouteKind = RouteKind.IDEMPOTENT, **fields: object) -> Route:
    given = {"max_attempts": 2, **fields}
    return Route(
        "lookup",
        "h",
        "/x/",
        kind,
        timeout=5.0,
        target_latency=0.5,
        targets=(WeightedService("desk", 1.0),),
        **given,
    )
