"""Requests with large bodies leave room to others, on the paused clock."""

from __future__ import annotations

import asyncio
import random

from mimosahoist.core.tasks import now
from mimosahoist.forward.callers.bulk import MAX_WAIT_SECONDS, BulkLane
from mimosahoist.lab.paused_loop import PausedTestCase


class BulkLaneTest(PausedTestCase):
    def setUp(self) -> None:
        self.lane = BulkLane(max_bytes=1000)

    async def serve(self, size: int, seconds: float) -> bool:
        if not await self.lane.enter(size):
            return False
        try:
            await asyncio.sleep(seconds)
        finally:
            self.lane.leave(size)
        return True

    async def test_single_request_enters_at_once_whatever_its_size(self) -> None:
        self.assertTrue(await self.lane.enter(50_000))
        self.assertEqual(now(), 0.0)

    async def test_requests_beyond_the_bound_wait_for_a_moment_and_are_rejected_then(self) -> None:
        tasks = [asyncio.create_task(self.serve(400, 10.0)) for _ in range(5)]
        self.assertEqual(await asyncio.gather(*tasks), [True, True, False, False, False])

    async def test_those_that_wait_enter_in_order_as_others_leave(self) -> None:
        tasks = [asyncio.create_task(self.serve(400, MAX_WAIT_SECONDS / 2)) for _ in range(4)]
        self.assertEqual(await asyncio.gather(*tasks), [True] * 4)

    async def test_callers_that_leave_while_they_wait_take_no_room(self) -> None:
        first = asyncio.create_task(self.serve(900, 0.1))
        await asyncio.sleep(0)
        waiting = [asyncio.create_task(self.serve(900, 0.1)) for _ in range(3)]
        await asyncio.sleep(0.05)
        for task in waiting:
            task.cancel()
        await asyncio.gather(first, *waiting, return_exceptions=True)
        self.assertEqual(self.lane.bytes_in_transfer, 0)
        self.assertTrue(await self.serve(900, 0.0))

    async def test_those_behind_one_that_is_rejected_enter_if_there_is_room(self) -> None:
        first = asyncio.create_task(self.serve(500, 10.0))
        await asyncio.sleep(0)
        too_large = asyncio.create_task(self.serve(900, 0.1))
        await asyncio.sleep(MAX_WAIT_SECONDS / 2)
        behind = asyncio.create_task(self.serve(300, 0.1))
        self.assertFalse(await too_large)
        self.assertTrue(await behind)
        await first

    async def test_bytes_are_counted_right_in_any_order(self) -> None:
        rng = random.Random(11)
        tasks: list[asyncio.Task[bool]] = []
        for _ in range(500):
            size, seconds = rng.randrange(1, 700), rng.uniform(0.0, 0.4)
            tasks.append(asyncio.create_task(self.serve(size, seconds)))
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            if rng.random() < 0.3:
                rng.choice(tasks).cancel()
            self.assertLessEqual(self.lane.bytes_in_transfer, 1000)
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(self.lane.bytes_in_transfer, 0)
        self.assertEqual(len(self.lane.waiting), 0)
