"""Ownership of background tasks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log

if TYPE_CHECKING:
    from collections.abc import Coroutine


CANCEL_REPEAT_SECONDS = 0.2


class TaskSet:
    """Tasks of one owner, cancelled together on close."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the set is closed."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.forget)
        return task

    def forget(self, task: asyncio.Task[Any]) -> None:
        """Drop a finished task and log it if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            json_log.info("task failed", task=task.get_name(), error=repr(task.exception()))

    async def close(self) -> None:
        """Cancel all tasks and wait for them, also for those that they start meanwhile.

        A task can miss a cancellation that comes as its `wait_for` ends, so it is repeated.
        """
        while self.tasks:
            remaining = list(self.tasks)
            for task in remaining:
                task.cancel()
            await asyncio.wait(remaining, timeout=CANCEL_REPEAT_SECONDS)


def now() -> float:
    """Time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def unix_time() -> float:
    """Wall-clock time in seconds; a loop with a clock of its own may provide it."""
    loop = asyncio.get_running_loop()
    provided = getattr(loop, "unix_time", None)
    return provided() if provided is not None else time.time()
