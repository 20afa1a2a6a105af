"""Callers of an instance that a partition cuts off from the upstreams that they need.

Guards against callers that use up their retries at the same instance while the load balancer still
sends them there.
"""

from __future__ import annotations

import random
import unittest
from typing import NamedTuple

from fakes import HEADER_NAMES, EngineFixture, gathering_route
from tornado.httputil import HTTPHeaders

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.return_time import return_to_another_instance
from mimosahoist.forward.declarations import Configuration
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.outcomes import NotRun
from mimosahoist.forward.routing import RouteTable
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.lab.paused_loop import PausedTestCase

UNABLE_FROM = 10.0
CHECK_SECONDS = 1.0
MISSES = 2


class Caller(NamedTuple):
    """A caller that retries once and waits for at most a third of its time."""

    arrives: float
    patience: float

    def is_served(self, retry_after: float, out_of_rotation_from: float) -> bool:
        """Whether its retry reaches another instance."""
        return self.arrives + min(retry_after, self.patience / 3) >= out_of_rotation_from


class ReturnTimeTest(unittest.TestCase):
    def test_callers_return_when_the_balancer_sends_them_elsewhere(self) -> None:
        rng = random.Random(1)
        for phase in (0.0, 0.3, 0.99):
            out = UNABLE_FROM + phase + CHECK_SECONDS * (MISSES - 1)
            callers = [Caller(UNABLE_FROM + step * 0.05, 3.0) for step in range(40)]
            served = sum(
                caller.is_served(return_to_another_instance(UNABLE_FROM, caller.arrives, rng), out)
                for caller in callers
            )
            at_once = sum(caller.is_served(0.05, out) for caller in callers)
            reachable = sum(caller.arrives + caller.patience / 3 >= out for caller in callers)
            self.assertEqual(served, reachable)
            self.assertLess(at_once, served)

    def test_callers_rejected_together_return_spread(self) -> None:
        rng = random.Random(1)
        times = sorted(return_to_another_instance(0.0, 9.0, rng) for _ in range(50))
        self.assertGreater(times[-1] - times[0], 0.1)


class UnreachableRouteTest(PausedTestCase):
    async def test_rejection_says_where_and_when_to_return(self) -> None:
        fixture = EngineFixture()
        for number in range(4):
            fixture.add(f"s{number}", "b")
        route = gathering_route(4)
        state_cache = StateCache(fixture.fleet)
        state_cache.routes = RouteTable(Configuration(1, (route,)))
        dispatcher = Dispatcher(state_cache, fixture.engine, HEADER_NAMES, Metrics())
        reachability = fixture.engine.reachability
        reachability.unreachable_domains = frozenset("b")
        reachability.suspected_since = now()
        headers = HTTPHeaders({"Host": "h", HEADER_NAMES.request_id: "r1"})
        outcome = await dispatcher.dispatch("GET", "/x/1", headers, b"")
        self.assertIsInstance(outcome, NotRun)
        self.assertTrue(outcome.needs_new_connection)
        self.assertGreater(outcome.retry_after, 2.0)


if __name__ == "__main__":
    unittest.main()
