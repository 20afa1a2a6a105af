from __future__ import annotations

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

ROOMY = SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0)
ONCE = RouteKind.NON_IDEMPOTENT
MAY_HAVE_RUN = [Lost(kind) for kind in LossKind]
DID_NOT_RUN = [Refused(503), Refused(421, other_instance=True), Unreached("refused")]


class PlainTest(PausedTestCase):
    async def forward(self, world: EngineFixture, kind: RouteKind) -> object:
        return await PlainForward(world.engine, world.request(plain_route(kind))).run()

    async def test_what_may_have_run_is_not_repeated(self) -> None:
        for outcome in MAY_HAVE_RUN:
            with self.subTest(outcome=outcome):
                world = EngineFixture(ROOMY)
                both = [world.add("desk", at, lambda n, o=outcome: (0.01, o)) for at in "ab"]
                result = await self.forward(world, ONCE)
                self.assertIsInstance(result, Failed)
                self.assertEqual(sum(len(upstream.arrivals) for upstream in both), 1)

    async def test_what_did_not_run_is_sent_elsewhere(self) -> None:
        for outcome in DID_NOT_RUN:
            with self.subTest(outcome=outcome):
                world = EngineFixture(ROOMY)
                world.add("desk", "a", lambda n, o=outcome: (0.01, o))
                world.add("desk", "b")
                self.assertIsInstance(await self.forward(world, ONCE), Forwarded)

    async def test_idempotent_request_is_repeated_once_after_a_loss(self) -> None:
        world = EngineFixture(ROOMY)
        world.add("desk", "a", lambda n: (0.01, Lost(LossKind.BROKEN)))
        world.add("desk", "b")
        self.assertIsInstance(await self.forward(world, RouteKind.IDEMPOTENT), Forwarded)

    async def test_slow_call_is_doubled_only_if_idempotent(self) -> None:
        for kind, arrivals in ((ONCE, 0), (RouteKind.IDEMPOTENT, 1)):
            with self.subTest(kind=kind):
                world = EngineFixture(ROOMY)
                world.add("desk", "a", lambda n: (2.0, answered("late")))
                second = world.add("desk", "b")
                self.assertIsInstance(await self.forward(world, kind), Forwarded)
                self.assertEqual(len(second.arrivals), arrivals)

    async def test_failure_of_the_upstream_is_returned_as_it_is(self) -> None:
        world = EngineFixture(ROOMY)
        world.add("desk", "a", lambda n: (0.01, answered("x", status=500)))
        result = await self.forward(world, ONCE)
        self.assertEqual(result.answer.status, 500)

    async def test_nobody_took_it_is_a_promise(self) -> None:
        world = EngineFixture(ROOMY)
        for domain in "abc":
            world.add("desk", domain, lambda n: (0.001, Refused(503)))
        self.assertIsInstance(await self.forward(world, ONCE), NotRun)

    async def test_answer_at_the_timeout(self) -> None:
        world = EngineFixture(ROOMY)
        world.add("desk", "a", lambda n: (0.0, None))
        route = plain_route(ONCE)
        began = now()
        result = await PlainForward(world.engine, world.request(route, time_left=60.0)).run()
        self.assertTrue(result.timed_out)
        self.assertLess(now() - began, route.timeout + 0.1)
