"""Forwarding of plain requests: which outcomes are retried, hedged or returned."""

from __future__ import annotations

import asyncio

from fakes import EngineFixture, answered, plain_route

from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import RouteKind, SharedBounds
from mimosahoist.forward.outcomes import (
    Failed,
    Forwarded,
    LossKind,
    Lost,
    NotRun,
    Refused,
    Unreached,
)
from mimosahoist.forward.plain import PlainForward
from mimosahoist.lab.paused_loop import PausedTestCase

AMPLE_BUDGET = SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0)
NON_IDEMPOTENT = RouteKind.NON_IDEMPOTENT
MAY_HAVE_RUN = [Lost(kind) for kind in LossKind]
DID_NOT_RUN = [Refused(503), Refused(421, other_instance=True), Unreached("refused")]


async def raise_unforeseen_error(*arguments: object) -> None:
    await asyncio.sleep(0.01)
    raise ZeroDivisionError


class PlainForwardTest(PausedTestCase):
    async def test_call_that_fails_after_its_caller_left_is_not_replaced(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("desk", "a", lambda number: (0.2, Refused(503)))
        other = fixture.add("desk", "b")
        forward = PlainForward(fixture.engine, fixture.request(plain_route()))
        task = asyncio.create_task(forward.run())
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.sleep(2.0)
        self.assertEqual(other.arrivals, [])

    async def forward(self, fixture: EngineFixture, kind: RouteKind) -> object:
        return await PlainForward(fixture.engine, fixture.request(plain_route(kind))).run()

    async def test_call_that_may_have_run_is_not_retried(self) -> None:
        for outcome in MAY_HAVE_RUN:
            with self.subTest(outcome=outcome):
                fixture = EngineFixture(AMPLE_BUDGET)
                upstreams = [fixture.add("desk", at, lambda n, o=outcome: (0.01, o)) for at in "ab"]
                result = await self.forward(fixture, NON_IDEMPOTENT)
                self.assertIsInstance(result, Failed)
                self.assertEqual(sum(len(upstream.arrivals) for upstream in upstreams), 1)

    async def test_call_that_did_not_run_is_sent_to_another_upstream(self) -> None:
        for outcome in DID_NOT_RUN:
            with self.subTest(outcome=outcome):
                fixture = EngineFixture(AMPLE_BUDGET)
                fixture.add("desk", "a", lambda n, o=outcome: (0.01, o))
                fixture.add("desk", "b")
                self.assertIsInstance(await self.forward(fixture, NON_IDEMPOTENT), Forwarded)

    async def test_idempotent_request_is_retried_once_after_a_broken_connection(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("desk", "a", lambda n: (0.01, Lost(LossKind.BROKEN)))
        fixture.add("desk", "b")
        self.assertIsInstance(await self.forward(fixture, RouteKind.IDEMPOTENT), Forwarded)

    async def test_slow_call_is_hedged_only_if_idempotent(self) -> None:
        for kind, arrivals in ((NON_IDEMPOTENT, 0), (RouteKind.IDEMPOTENT, 1)):
            with self.subTest(kind=kind):
                fixture = EngineFixture(AMPLE_BUDGET)
                fixture.add("desk", "a", lambda n: (2.0, answered("late")))
                second = fixture.add("desk", "b")
                self.assertIsInstance(await self.forward(fixture, kind), Forwarded)
                self.assertEqual(len(second.arrivals), arrivals)

    async def test_server_error_is_returned_unchanged(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("desk", "a", lambda n: (0.01, answered("x", status=500)))
        result = await self.forward(fixture, NON_IDEMPOTENT)
        self.assertEqual(result.answer.status, 500)

    async def test_request_refused_by_all_upstreams_is_reported_as_not_run(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        for domain in "abc":
            fixture.add("desk", domain, lambda n: (0.001, Refused(503)))
        self.assertIsInstance(await self.forward(fixture, NON_IDEMPOTENT), NotRun)

    async def test_failure_of_an_upstream_that_may_have_run_a_booking_is_no_promise(self) -> None:
        for status in (408, 429, 503):
            with self.subTest(status):
                fixture = EngineFixture(AMPLE_BUDGET)
                desk = fixture.add("desk", "a", lambda n, s=status: (0.01, answered("x", status=s)))
                fixture.add("desk", "b")
                self.assertIsInstance(await self.forward(fixture, NON_IDEMPOTENT), Failed)
                self.assertEqual(len(desk.arrivals), 1)

    async def test_call_that_raised_an_error_is_not_reported_as_not_run(self) -> None:
        for kind in RouteKind:
            with self.subTest(kind=kind):
                fixture = EngineFixture(AMPLE_BUDGET)
                upstream = fixture.add("desk", "a")
                upstream.perform = raise_unforeseen_error
                self.assertIsInstance(await self.forward(fixture, kind), Failed)

    async def test_call_that_an_instance_cancels_as_it_ends_is_not_reported_as_not_run(
        self,
    ) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("desk", "a", lambda n: (0.0, None))
        task = asyncio.create_task(self.forward(fixture, NON_IDEMPOTENT))
        await asyncio.sleep(0.05)
        await fixture.engine.tasks.close()
        self.assertIsInstance(await task, Failed)

    async def test_timeout_is_reported_at_the_route_timeout(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("desk", "a", lambda n: (0.0, None))
        route = plain_route(NON_IDEMPOTENT)
        began = now()
        result = await PlainForward(fixture.engine, fixture.request(route, time_left=60.0)).run()
        self.assertTrue(result.timed_out)
        self.assertLess(now() - began, route.timeout + 0.1)
