"""Delegation of shards to another instance, over real loopback connections."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from fakes import HEADER_NAMES, EngineFixture, answered, gathering_route
from test_relay import SHARDS, GatheringInstance
from tornado.httputil import HTTPHeaders

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward import delegated_gather
from mimosahoist.forward.declarations import Configuration, SharedBounds
from mimosahoist.forward.delegation import (
    DelegatedCalls,
    Delegation,
    decode_shards,
    encode_shards,
)
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.outcomes import Answered, Failed, Gathered, Refused
from mimosahoist.forward.relay import VERSION_HEADER, RelayClient
from mimosahoist.forward.relay_server import RelayDispatcher
from mimosahoist.forward.routing import RouteTable
from mimosahoist.forward.state_cache import StateCache

OWN_SHARDS = 1
# The latency target is long enough for a busy machine: calls are hedged after 0.42 s, shards whose
# delegate does not respond 0.2 s later, and the search is cut off at 1.19 s.
ROUTE = replace(gathering_route(SHARDS), target_latency=1.2, timeout=3.0)
ROUTES = (ROUTE,)


class DelegationTest(unittest.IsolatedAsyncioTestCase):
    """The own domain d holds only the first shard; b and the other instance's domain a hold all."""

    def setUp(self) -> None:
        # A delegate on a busy machine must not be mistaken for an unresponsive one.
        patcher = mock.patch.object(delegated_gather, "DELEGATION_ROUND_TRIP_SECONDS", 0.2)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def asyncSetUp(self) -> None:
        self.other = GatheringInstance(routes=ROUTES)
        self.own = EngineFixture(SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0), "d")
        for number in range(SHARDS):
            for domain in "abd" if number < OWN_SHARDS else "ab":
                self.own.add(f"s{number}", domain)
        state_cache = StateCache(self.own.fleet)
        state_cache.routes = RouteTable(Configuration(1, ROUTES))
        self.relays = RelayClient(self.own.engine)
        self.relays.set_gatherers([], [], {"a": [self.other.gatherer("other")]})
        self.delegation = Delegation(self.own.engine, self.relays)
        self.dispatcher = Dispatcher(
            state_cache, self.own.engine, HEADER_NAMES, Metrics(), self.relays, self.delegation
        )

    async def asyncTearDown(self) -> None:
        self.relays.close()
        await self.own.engine.close()
        await self.other.close()

    async def search(self) -> Gathered:
        headers = HTTPHeaders(
            {"Host": "h", HEADER_NAMES.request_id: "r1", HEADER_NAMES.time_left: "3000"}
        )
        outcome = await self.dispatcher.dispatch("GET", "/x/1", headers, b"")
        self.assertIsInstance(outcome, Gathered)
        return outcome

    def own_arrivals(self, domains: str = "abd") -> int:
        return sum(
            len(upstream.arrivals)
            for upstream in self.own.fleet.by_name.values()
            if upstream.record.failure_domain in domains
        )

    def assert_complete(self, outcome: Gathered) -> None:
        self.assertEqual((outcome.missing, len(outcome.signatures)), (0, SHARDS))
        services = {signature.removeprefix("signed-")[:2] for signature in outcome.signatures}
        self.assertEqual(len(services), SHARDS)
        self.assertEqual(len(outcome.body), SHARDS * 16)

    async def test_shards_missing_in_the_domain_are_fetched_with_one_request(self) -> None:
        self.assert_complete(await self.search())
        self.assertEqual((self.other.arrivals, self.own_arrivals()), (SHARDS - 1, 1))
        self.assertEqual(self.own.metrics.counters["relays_answered"], 1)
        passed = self.other.fixture.fleet.by_name["s1-a"].forwarded_headers[0]
        self.assertEqual([name for name in passed if name.startswith("X-Shards")], [])

    async def test_search_gathered_for_another_instance_is_delegated_as_well(self) -> None:
        gathering = RelayDispatcher(
            self.dispatcher.state_cache,
            self.own.engine,
            HEADER_NAMES,
            Metrics(),
            self.delegation,
        )
        headers = HTTPHeaders(
            {
                "Host": "h",
                HEADER_NAMES.request_id: "r1",
                HEADER_NAMES.time_left: "3000",
                VERSION_HEADER: "1",
            }
        )
        self.assert_complete(await gathering.dispatch("GET", "/x/1", headers, b""))
        self.assertEqual((self.other.arrivals, self.own_arrivals()), (SHARDS - 1, 1))

    async def test_late_part_is_hedged_locally(self) -> None:
        self.other.fixture.fleet.by_name["s2-a"].script = lambda number: (0.9, answered("s2-a"))
        self.assert_complete(await self.search())
        self.assertEqual(self.own_arrivals("ab"), 1)

    async def test_late_first_call_is_used_when_the_repeat_budget_is_empty(self) -> None:
        self.own.fleet.set_bounds(SharedBounds(repeat_ratio=0.0, repeat_slack=0.0))
        part = answered("s2-a", b"s2".ljust(16))
        self.other.fixture.fleet.by_name["s2-a"].script = lambda number: (0.6, part)
        self.assert_complete(await self.search())
        self.assertEqual(self.own_arrivals("ab"), 0)
        self.assertEqual(self.other.dispatcher.unfinished, {})

    async def test_calls_that_are_not_polled_are_cancelled(self) -> None:
        other = self.other.fixture.fleet.by_name["s2-a"]
        other.script = lambda number: (5.0, answered("s2-a"))
        await self.search()
        await asyncio.sleep(0.9)
        self.assertEqual(other.in_flight, {})

    async def test_failed_part_is_retried_locally_at_another_upstream(self) -> None:
        failing = answered("s2-a", status=500)
        self.other.fixture.fleet.by_name["s2-a"].script = lambda number: (0.01, failing)
        self.assert_complete(await self.search())
        self.assertEqual(len(self.own.fleet.by_name["s2-b"].arrivals), 1)

    async def test_call_that_an_upstream_refused_is_repeated_only_within_the_budget(self) -> None:
        for slack, arrivals in ((0.0, 0), (1000.0, 1)):
            with self.subTest(slack=slack):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.own.fleet.set_bounds(SharedBounds(repeat_ratio=0.0, repeat_slack=slack))
                refusing = self.other.fixture.fleet.by_name["s2-a"]
                refusing.script = lambda number: (0.01, Refused(503))
                outcome = await self.search()
                self.assertEqual(len(refusing.arrivals), 1)
                self.assertEqual(self.own_arrivals("ab"), arrivals)
                self.assertEqual(outcome.missing, 1 - arrivals)

    async def test_no_shard_exceeds_the_attempts_of_the_route(self) -> None:
        for upstream in self.other.fixture.fleet.by_name.values():
            upstream.script = lambda number: (0.01, answered("x", status=500))
        for name, upstream in self.own.fleet.by_name.items():
            if not name.startswith("s0"):
                upstream.script = lambda number: (0.01, answered("x", status=500))
        headers = HTTPHeaders(
            {"Host": "h", HEADER_NAMES.request_id: "r1", HEADER_NAMES.time_left: "3000"}
        )
        await self.dispatcher.dispatch("GET", "/x/1", headers, b"")
        for number in range(1, SHARDS):
            runs = len(self.other.fixture.fleet.by_name[f"s{number}-a"].arrivals)
            runs += sum(len(self.own.fleet.by_name[f"s{number}-{at}"].arrivals) for at in "ab")
            self.assertEqual(runs, ROUTE.max_attempts)

    async def test_started_calls_count_as_attempts_when_polling_is_refused(self) -> None:
        for upstream in self.other.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        for name, upstream in self.own.fleet.by_name.items():
            if not name.startswith("s0"):
                upstream.script = lambda number: (0.05, answered("x", status=500))
        headers = HTTPHeaders(
            {"Host": "h", HEADER_NAMES.request_id: "r1", HEADER_NAMES.time_left: "3000"}
        )
        task = asyncio.create_task(self.dispatcher.dispatch("GET", "/x/1", headers, b""))
        while not self.other.dispatcher.unfinished:
            await asyncio.sleep(0.005)
        self.other.dispatcher.state_cache.routes = RouteTable(Configuration(2, ROUTES))
        await task
        for number in range(1, SHARDS):
            runs = len(self.other.fixture.fleet.by_name[f"s{number}-a"].arrivals)
            runs += sum(len(self.own.fleet.by_name[f"s{number}-{at}"].arrivals) for at in "ab")
            self.assertLessEqual(runs, ROUTE.max_attempts)

    async def test_cancelled_delegated_call_is_reported_as_failed(self) -> None:
        for upstream in self.other.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        calls = DelegatedCalls(
            self.other.fixture.engine, self.other.fixture.request(ROUTE), ["s1", "s2"]
        )
        calls.start()
        first = await calls.poll(0.02, 2)
        self.assertEqual((sorted(first.pending), first.failed), (["s1", "s2"], {}))
        calls.cancel()
        await asyncio.sleep(0.02)
        later = await calls.poll(0.02, 1)
        self.assertEqual((later.signatures, later.pending), ([], {}))
        self.assertEqual(later.failed, {"s1": "s1-a", "s2": "s2-a"})

    async def test_response_with_too_few_signatures_covers_no_shard(self) -> None:
        target = self.relays.pick_target("a")
        call = target.call

        async def without_signatures(request: object, until: float) -> object:
            outcome = await call(request, until)
            headers = outcome.headers.copy()
            headers[HEADER_NAMES.part_signatures] = ""
            return replace(outcome, headers=headers, body=b"")

        target.call = without_signatures
        self.assert_complete(await self.search())
        self.assertEqual(self.own_arrivals("ab"), SHARDS - 1)

    async def test_unresponsive_delegate_costs_hedges_but_no_shard(self) -> None:
        for upstream in self.other.fixture.fleet.by_name.values():
            upstream.script = lambda number: (5.0, None)
        self.relays.pick_target("a").call = self.never_respond
        self.assert_complete(await self.search())
        self.assertEqual(self.own_arrivals("ab"), SHARDS - 1)

    async def never_respond(self, request: object, until: float) -> None:
        await asyncio.sleep(60.0)

    async def test_delegate_that_is_gone_or_refuses_costs_no_attempt(self) -> None:
        cases = {
            "gone": lambda: self.other.server.stop(),
            "draining": lambda: setattr(self.other.dispatcher, "draining", True),
            "another configuration": lambda: setattr(
                self.other.dispatcher.state_cache, "routes", RouteTable(Configuration(2, ROUTES))
            ),
        }
        for name, break_delegate in cases.items():
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                break_delegate()
                self.assert_complete(await self.search())
                self.assertEqual((self.other.arrivals, self.own_arrivals()), (0, SHARDS))

    async def test_search_whose_delegate_fails_is_not_reported_as_not_run(self) -> None:
        async def fail(request: object, until: float) -> Answered:
            return Answered(502, "", HTTPHeaders(), b"", 0.0)

        headers = HTTPHeaders(
            {"Host": "h", HEADER_NAMES.request_id: "r1", HEADER_NAMES.time_left: "600"}
        )
        errors = {"response": fail, "error": mock.AsyncMock(side_effect=ZeroDivisionError)}
        for name, call in errors.items():
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                for upstream in self.own.fleet.by_name.values():
                    upstream.script = lambda number: (0.01, Refused(503))
                self.relays.pick_target("a").call = call
                outcome = await self.dispatcher.dispatch("GET", "/x/1", headers, b"")
                self.assertIsInstance(outcome, Failed)

    async def test_late_delegated_parts_replace_hedged_ones_without_duplicates(self) -> None:
        target = self.relays.pick_target("a")
        call = target.call

        async def delayed(request: object, until: float) -> object:
            outcome = await call(request, until)
            await asyncio.sleep(0.8)
            return outcome

        target.call = delayed
        self.own.fleet.by_name["s3-b"].script = lambda number: (2.0, answered("s3-b"))
        self.own.fleet.by_name["s3-a"].script = lambda number: (2.0, answered("s3-a"))
        self.assert_complete(await self.search())

    async def test_selection_of_delegated_shards(self) -> None:
        shards = list(ROUTE.shards)
        found = self.delegation.assign_delegates(shards)
        self.assertEqual([delegate.shards for delegate in found], [shards[1:]])
        self.assertEqual(self.delegation.assign_delegates(shards[:2]), [])
        self.relays.set_gatherers([], [], {})
        self.assertEqual(self.delegation.assign_delegates(shards), [])

    def test_shard_header_round_trip(self) -> None:
        for shards in ({}, {"s1": "i-1"}, {"s1": "", "s2": "i-2"}):
            with self.subTest(shards=shards):
                self.assertEqual(decode_shards(encode_shards(shards)), shards)
