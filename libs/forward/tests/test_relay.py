"""Relaying of requests to another instance, over real loopback connections."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from fakes import HEADER_NAMES, EngineFixture, answered, gathering_route, plain_route
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.testing import bind_unused_port

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward.declarations import Configuration, Route, RouteKind, SharedBounds
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.front import CallerFrontend
from mimosahoist.forward.gatherers import Gatherer
from mimosahoist.forward.outcomes import Answered, Failed, Forwarded, Gathered, NotRun, Refused
from mimosahoist.forward.relay import RelayClient
from mimosahoist.forward.relay_server import RelayDispatcher
from mimosahoist.forward.routing import RouteTable
from mimosahoist.forward.state_cache import StateCache

AMPLE_BUDGET = SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0)
SHARDS = 4
# The latency target is long enough that, even on a busy machine, only calls that a test delays are
# hedged.
ROUTE = replace(gathering_route(SHARDS), target_latency=0.6)
PLAIN_ROUTE = replace(plain_route(), path_prefix="/book/")
NON_IDEMPOTENT_ROUTE = replace(plain_route(RouteKind.NON_IDEMPOTENT), path_prefix="/claim/")
ROUTES = (ROUTE, PLAIN_ROUTE, NON_IDEMPOTENT_ROUTE)


class GatheringInstance:
    """An instance that serves relayed requests."""

    def __init__(self, version: int = 1, routes: tuple[Route, ...] = ROUTES) -> None:
        self.fixture = EngineFixture(AMPLE_BUDGET)
        for number in range(SHARDS):
            self.fixture.add(f"s{number}", "a")
        self.fixture.add("desk", "a")
        state_cache = StateCache(self.fixture.fleet)
        state_cache.routes = RouteTable(Configuration(version, routes))
        self.dispatcher = RelayDispatcher(state_cache, self.fixture.engine, HEADER_NAMES, Metrics())
        self.frontend = CallerFrontend(self.dispatcher)
        self.server = HTTPServer(self.frontend)
        sock, self.port = bind_unused_port()
        self.server.add_sockets([sock])

    @property
    def arrivals(self) -> int:
        return sum(len(upstream.arrivals) for upstream in self.fixture.fleet.by_name.values())

    def gatherer(self, name: str = "g") -> Gatherer:
        return Gatherer(name, "a", f"127.0.0.1:{self.port}", 1.0)

    async def close(self) -> None:
        self.server.stop()
        await self.frontend.tasks.close()
        await self.fixture.engine.close()
        await self.server.close_all_connections()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.near = GatheringInstance()
        self.far = GatheringInstance()
        self.own = EngineFixture(AMPLE_BUDGET, "d")
        for number in range(SHARDS):
            self.own.add(f"s{number}", "b")
        self.own.add("desk", "b")
        state_cache = StateCache(self.own.fleet)
        state_cache.routes = RouteTable(Configuration(1, ROUTES))
        self.relays = RelayClient(self.own.engine)
        serving = [[self.near.gatherer("near")], [self.far.gatherer("far")]]
        self.relays.set_gatherers(serving, serving, {})
        metrics = Metrics()
        self.dispatcher = Dispatcher(
            state_cache, self.own.engine, HEADER_NAMES, metrics, self.relays
        )

    async def asyncTearDown(self) -> None:
        self.relays.close()
        await self.own.engine.close()
        await self.near.close()
        await self.far.close()

    async def search(self, left: int = 1000, target: str = "/x/1") -> object:
        headers = HTTPHeaders(
            {
                "Host": "h",
                HEADER_NAMES.request_id: "r1",
                HEADER_NAMES.time_left: str(left),
                "X-Own": "kept",
            }
        )
        return await self.dispatcher.dispatch("GET", target, headers, b"")

    @property
    def own_arrivals(self) -> int:
        return sum(len(upstream.arrivals) for upstream in self.own.fleet.by_name.values())

    async def test_gathered_response_is_returned(self) -> None:
        outcome = await self.search()
        self.assertIsInstance(outcome, Gathered)
        self.assertEqual((len(outcome.signatures), outcome.missing), (SHARDS, 0))
        self.assertEqual(len(outcome.body), SHARDS * 16)
        self.assertEqual((self.near.arrivals, self.far.arrivals, self.own_arrivals), (4, 0, 0))
        passed = next(iter(self.near.fixture.fleet.by_name.values())).forwarded_headers[0]
        self.assertEqual((passed["X-Own"], passed[HEADER_NAMES.request_id]), ("kept", "r1"))
        self.assertNotIn("X-Configuration-Version", passed)
        self.assertLess(int(passed[HEADER_NAMES.time_left]), 1000)

    async def test_announcement_in_a_relayed_answer_binds_the_instance_that_returns_it(
        self,
    ) -> None:
        def script(number: int) -> tuple[float, Answered]:
            answer = answered("d")
            answer.headers[HEADER_NAMES.leaving] = "1"
            return 0.01, answer

        self.near.fixture.fleet.by_name["desk-a"].script = script
        upstream = self.own.add("desk", "a")
        outcome = await self.search(target="/book/1")
        self.assertTrue(upstream.leaving)
        self.assertNotIn("X-Upstream", outcome.answer.headers)

    async def test_plain_response_of_an_upstream_is_returned_unchanged(self) -> None:
        desk = self.near.fixture.fleet.by_name["desk-a"]
        for status in (200, 404, 500):
            with self.subTest(status=status):
                desk.script = lambda number, status=status: (0.01, answered("d", b"x", status))
                outcome = await self.search(target="/book/1")
                self.assertIsInstance(outcome, Forwarded)
                answer = outcome.answer
                self.assertEqual((answer.status, answer.body), (status, b"x"))
                self.assertEqual(answer.headers[HEADER_NAMES.signature], "signed-d")
        self.assertEqual(self.own_arrivals, 0)

    async def test_non_idempotent_request_is_not_relayed(self) -> None:
        self.assertIsInstance(await self.search(target="/claim/1"), Forwarded)
        self.assertEqual((self.near.arrivals, self.own_arrivals), (0, 1))

    async def test_connection_is_reused(self) -> None:
        for _ in range(3):
            await self.search()
        self.assertEqual(sum(t.pool.opened_count for t in self.relays.targets.values()), 1)

    async def test_instance_that_cannot_have_started_the_request_is_skipped(self) -> None:
        cases = {
            "stopped": lambda: self.near.server.stop(),
            "draining": lambda: setattr(self.near.dispatcher, "draining", True),
            "another configuration": lambda: setattr(
                self.near.dispatcher.state_cache, "routes", RouteTable(Configuration(2, ROUTES))
            ),
        }
        for name, break_instance in cases.items():
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                break_instance()
                self.assertIsInstance(await self.search(), Gathered)
                self.assertEqual((self.near.arrivals, self.far.arrivals), (0, 4))

    async def test_request_is_gathered_locally_without_other_instances(self) -> None:
        self.near.dispatcher.draining = self.far.dispatcher.draining = True
        self.assertIsInstance(await self.search(), Gathered)
        self.assertEqual(self.own_arrivals, SHARDS)

    async def test_request_that_may_have_started_is_not_restarted(self) -> None:
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        task = asyncio.create_task(self.search())
        while not self.near.arrivals:
            await asyncio.sleep(0.01)
        await self.near.server.close_all_connections()
        outcome = await asyncio.wait_for(task, 0.5)
        self.assertEqual(type(outcome), Failed)
        self.assertEqual((self.far.arrivals, self.own_arrivals), (0, 0))

    async def test_request_that_upstreams_refused_is_not_started_elsewhere(self) -> None:
        # Refusing upstreams are called at 0, 25, 75 and 175 ms, so none is under way at 300 ms.
        impatient = tuple(replace(route, timeout=0.3) for route in ROUTES)
        self.near.dispatcher.state_cache.routes = RouteTable(Configuration(1, impatient))
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (0.0, Refused(503))
        for target in ("/x/1", "/book/1"):
            with self.subTest(target):
                outcome = await self.search(target=target)
                self.assertIsInstance(outcome, NotRun)
                self.assertGreater(outcome.retry_after, 0.0)
                self.assertTrue(self.near.arrivals)
                self.assertEqual((self.far.arrivals, self.own_arrivals), (0, 0))

    async def test_request_ends_once_the_other_domain_is_found_unreachable(self) -> None:
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        task = asyncio.create_task(self.search(left=60000))
        while not self.near.arrivals:
            await asyncio.sleep(0.01)
        self.own.engine.reachability.unreachable_domains = frozenset("a")
        self.assertIsInstance(await asyncio.wait_for(task, 0.7), Failed)

    async def test_answer_that_is_ready_is_returned_from_an_unreachable_domain(self) -> None:
        self.own.engine.reachability.unreachable_domains = frozenset("a")
        target = self.relays.target(self.near.gatherer("near"))
        request = replace(self.own.request(ROUTE), version=1)
        outcome = Answered(200, "", HTTPHeaders(), b"", 0.0)
        target.call = mock.AsyncMock(return_value=outcome)
        received = await self.relays.call_while_reachable(target, request, request.deadline)
        self.assertEqual(received, outcome)

    async def test_unresponsive_instance_is_given_up_before_the_deadline(self) -> None:
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        began = asyncio.get_running_loop().time()
        outcome = await self.search(left=1000)
        self.assertEqual(outcome, Failed(outcome.reason, True))
        self.assertLess(asyncio.get_running_loop().time() - began, 0.95)

    async def test_cancelled_request_cancels_the_relayed_one(self) -> None:
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        task = asyncio.create_task(self.search())
        while not self.near.arrivals:
            await asyncio.sleep(0.01)
        task.cancel()
        until = asyncio.get_running_loop().time() + 0.4
        while self.near.frontend.open_requests and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
        self.assertEqual(self.near.frontend.open_requests, 0)

    async def test_odd_number_in_the_answer_of_another_instance_ends_a_request_as_failed(
        self,
    ) -> None:
        attempted = {"X-Was-Attempted": "1"}
        signed = {HEADER_NAMES.part_signatures: "s"}
        cases = [
            (503, {**attempted, "Retry-After": "³"}),
            (503, {**attempted, "Retry-After": "soon"}),
            (503, attempted),
            (200, {**signed, HEADER_NAMES.missing_parts: "³"}),
            (200, {**signed, HEADER_NAMES.missing_parts: "-1"}),
        ]
        target = self.relays.target(self.near.gatherer("near"))
        for status, headers in cases:
            with self.subTest(status=status, headers=headers):
                answer = Answered(status, "", HTTPHeaders(headers), b"", 0.0)
                target.call = mock.AsyncMock(return_value=answer)
                self.assertIsInstance(await self.search(), Failed)

    async def test_odd_time_to_answer_of_another_instance_is_rejected(self) -> None:
        headers = HTTPHeaders(
            {
                "Host": "h",
                HEADER_NAMES.request_id: "r1",
                "X-Configuration-Version": "1",
                "X-Answer-Within": "³",
            }
        )
        outcome = await self.near.dispatcher.dispatch("GET", "/x/1", headers, b"")
        self.assertEqual(outcome.status, 400)
        self.assertEqual(self.near.arrivals, 0)

    async def test_failure_of_the_gathering_instance_is_returned(self) -> None:
        for upstream in self.near.fixture.fleet.by_name.values():
            upstream.script = lambda number: (0.01, answered("x", status=500))
        self.assertEqual(type(await self.search()), Failed)
        self.assertEqual((self.far.arrivals, self.own_arrivals), (0, 0))
