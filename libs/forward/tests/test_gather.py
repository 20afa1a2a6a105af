from __future__ import annotations

import asyncio

from fakes import NAMES, World, answered, gathering, plain, quick

from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.gather import Gather
from mimosahoist.forward.outcomes import (
    Failed,
    Gathered,
    LossKind,
    Lost,
    NotRun,
    Refused,
    Unreached,
)
from mimosahoist.forward.plain import PlainForward
from mimosahoist.lab.paused_loop import PausedTestCase

ROOMY = SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0)


class GatherTest(PausedTestCase):
    def world(self, count: int = 10) -> World:
        world = World(ROOMY)
        for number in range(count):
            for domain in "abc":
                world.add(f"s{number}", domain)
        return world

    async def test_all_parts_make_one_answer(self) -> None:
        world = self.world()
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertIsInstance(outcome, Gathered)
        self.assertEqual(outcome.missing, 0)
        self.assertEqual(len(set(outcome.signatures)), 10)
        self.assertEqual(len(outcome.body), 5 * 16)
        records = [outcome.body[at : at + 16] for at in range(0, 80, 16)]
        self.assertEqual(records, sorted(records, reverse=True))

    async def test_paused_upstream_is_doubled_before_the_aim(self) -> None:
        world = self.world()
        world.add("s3", "a", lambda number: (0.2, answered("late")))
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertEqual(outcome.missing, 0)
        self.assertLess(now(), 0.15)

    async def test_all_copies_silent_gives_a_partial_answer_in_time(self) -> None:
        world = self.world()
        for domain in "abc":
            world.add("s3", domain, lambda number: (0.0, None))
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertEqual((type(outcome), outcome.missing), (Gathered, 1))
        self.assertNotIn("signed-s3-a", outcome.signatures)
        self.assertLess(now(), 0.15)

    async def test_below_the_floor_nothing_is_called_a_success(self) -> None:
        world = self.world()
        for number in range(3):
            for domain in "abc":
                world.add(f"s{number}", domain, lambda number: (0.0, None))
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertIsInstance(outcome, Failed)
        self.assertTrue(outcome.timed_out)

    async def test_a_failure_with_a_signature_is_no_part(self) -> None:
        world = self.world()
        for domain in "abc":
            world.add("s3", domain, lambda number: (0.01, answered("bad", status=500)))
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertEqual(outcome.missing, 1)
        self.assertNotIn("signed-bad", outcome.signatures)

    async def test_no_more_upstreams_run_a_shard_than_attempts_allow(self) -> None:
        world = self.world()
        tried = [
            world.add("s3", domain, lambda number: (0.01, Lost(LossKind.BROKEN)))
            for domain in "abc"
        ]
        await Gather(world.engine, world.request(gathering())).run()
        self.assertEqual(sum(len(upstream.arrivals) for upstream in tried), 2)

    async def test_failed_call_is_replaced_at_once(self) -> None:
        world = self.world()
        world.add("s3", "a", lambda number: (0.005, Unreached("refused")))
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertEqual(outcome.missing, 0)
        self.assertLess(now(), 0.05)

    async def test_upstream_that_was_full_is_tried_again(self) -> None:
        world = World(ROOMY)
        world.add("s0", "a", lambda n: (0.001, Refused(503)) if n < 3 else quick("s0")(n))
        outcome = await Gather(world.engine, world.request(gathering(1))).run()
        self.assertIsInstance(outcome, Gathered)

    async def test_nothing_sent_is_a_promise(self) -> None:
        world = World(ROOMY)
        outcome = await Gather(world.engine, world.request(gathering())).run()
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after, 0.0)
        self.assertEqual(now(), 0.0)

    async def test_without_budget_no_call_is_doubled(self) -> None:
        world = World(SharedBounds(repeat_ratio=0.0, repeat_slack=0.0))
        first = world.add("s0", "a", lambda number: (0.1, answered("s0-a", b"x" * 16)))
        second = world.add("s0", "b")
        await Gather(world.engine, world.request(gathering(1))).run()
        self.assertEqual((len(first.arrivals), len(second.arrivals)), (1, 0))

    async def test_caller_that_leaves_ends_the_work(self) -> None:
        world = self.world()
        ended: list[str] = []
        for number in range(10):
            upstream = world.add(f"s{number}", "a", lambda number: (0.0, None))
            upstream.abort_call = lambda number, name=upstream.record.name: ended.append(name)
        task = asyncio.create_task(Gather(world.engine, world.request(gathering())).run())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.5)
        self.assertEqual(len(ended), 10)
        self.assertLessEqual(now(), 0.52)

    async def test_time_left_is_what_is_left(self) -> None:
        world = World(ROOMY)
        world.add("s0", "a", lambda number: (0.0, Unreached("x")))
        second = world.add("s0", "b")
        request = world.request(gathering(1), left=1.2)
        await asyncio.sleep(0.1)
        await Gather(world.engine, request).run()
        left = [int(headers[NAMES.time_left]) for headers in second.passed_on]
        self.assertEqual(len(left), 1)
        self.assertLessEqual(left[0], 1100)
        self.assertEqual(second.passed_on[0][NAMES.wanted_upstream], "s0-b")

    async def test_request_counts_once_for_the_budget_however_often_it_is_not_reached(self) -> None:
        for gathers in (True, False):
            with self.subTest(gathers=gathers):
                world = World(ROOMY)
                service = "s0" if gathers else "desk"
                for domain in "abc":
                    world.add(service, domain, lambda number: (0.01, Unreached("refused")))
                if gathers:
                    await Gather(world.engine, world.request(gathering(1))).run()
                else:
                    await PlainForward(world.engine, world.request(plain())).run()
                self.assertEqual(len(world.fleet.budget(service).firsts), 1)
