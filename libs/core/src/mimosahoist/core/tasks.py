"""Background tasks grouped by owner, and the clocks of the event loop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


CANCEL_RETRY_SECONDS = 0.2
RESTART_DELAY_SECONDS = 1.0


class TaskSet:
    """Background tasks of one owner, cancelled together on close."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task until it completes or the set is closed."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.discard)
        return task

    def keep_running(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[None]:
        """Run a coroutine function until the set is closed, and again whenever an error ends it.

        For what an instance can't be without; `spawn` is for work that may fail.
        """
        return self.spawn(self.restart_after_errors(run, name), name)

    async def restart_after_errors(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        """Run a coroutine function until it returns, with a pause after each error."""
        while True:
            try:
                return await run()
            except Exception as error:
                json_log.info("task restarted", task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    def discard(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task; log its exception if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            json_log.info("task failed", task=task.get_name(), error=repr(task.exception()))

    async def close(self) -> None:
        """Cancel all tasks, including those they start meanwhile, and wait for them.

        Cancellation is repeated, because a task can lose one that arrives as its
        `wait_for` completes.
        """
        while self.tasks:
            remaining = list(self.tasks)
            for task in remaining:
                task.cancel()
            await asyncio.wait(remaining, timeout=CANCEL_RETRY_SECONDS)


def now() -> float:
    """Return the monotonic time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def unix_time() -> float:
    """Return the Unix time in seconds; a loop with a simulated clock may supply it."""
    loop = asyncio.get_running_loop()
    provided = getattr(loop, "unix_time", None)
    return provided() if provided is not None else time.time()


def boot_time() -> float:
    """Return the seconds since the machine started, with the time in which it was suspended.

    Leases are counted on it: the monotonic clock of the event loop stands still in a suspension. A
    loop with a simulated clock may supply it.
    """
    loop = asyncio.get_running_loop()
    provided = getattr(loop, "boot_time", None)
    return provided() if provided is not None else time.clock_gettime(time.CLOCK_BOOTTIME)
