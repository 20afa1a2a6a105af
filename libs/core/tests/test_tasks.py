"""Cancellation of background tasks on close."""

from __future__ import annotations

import asyncio

from mimosahoist.core.tasks import TaskSet, now
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
