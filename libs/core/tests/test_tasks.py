"""Cancellation of background tasks on close."""

from __future__ import annotations

import asyncio

from mimosahoist.core.tasks import RESTART_DELAY_SECONDS, TaskSet, now
from mimosahoist.lab.paused_loop import PausedTestCase


class TaskSetTest(PausedTestCase):
    async def test_task_that_loses_a_cancellation_is_cancelled_again(self) -> None:
        tasks = TaskSet()

        async def ignores_first_cancel() -> None:
            try:
                await asyncio.sleep(100)
            except asyncio.CancelledError:
                await asyncio.sleep(100)

        tasks.spawn(ignores_first_cancel(), "ignores_first_cancel")
        await asyncio.sleep(0)
        await tasks.close()
        self.assertEqual(tasks.tasks, set())
        self.assertLess(now(), 100)

    async def test_task_started_during_close_is_cancelled(self) -> None:
        tasks = TaskSet()

        async def parent() -> None:
            try:
                await asyncio.sleep(100)
            finally:
                tasks.spawn(asyncio.sleep(100), "child")

        tasks.spawn(parent(), "parent")
        await asyncio.sleep(0)
        await tasks.close()
        self.assertEqual(tasks.tasks, set())

    async def test_task_that_must_not_end_goes_on_after_an_error(self) -> None:
        tasks = TaskSet()
        runs: list[float] = []

        async def fails_twice() -> None:
            runs.append(now())
            if len(runs) < 3:
                raise ValueError("a connection")
            await asyncio.sleep(1000)

        tasks.keep_running(fails_twice, "fails_twice")
        await asyncio.sleep(10)
        self.assertEqual(len(runs), 3)
        self.assertGreaterEqual(runs[1] - runs[0], RESTART_DELAY_SECONDS)
        await tasks.close()
        self.assertEqual(tasks.tasks, set())
