"""Event loop with a paused clock, which advances to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
import unittest
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

START_UNIX_SECONDS = 1_800_000_000.0


class DeadlockError(RuntimeError):
    """Tasks are waiting, but no timer or callback is left that could wake the loop."""


class PausedClockSelector(selectors.SelectSelector):
    """Advances a simulated clock by the requested timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; the loop's self-pipe is the only registered descriptor."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise DeadlockError("event loop is idle: no timer or callback is scheduled")
        self.time += timeout
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """An event loop for deterministic tests without real sockets.

    Attributes
    ----------
    unix_offset : float
        Seconds by which the time of day has been set ahead, negative if it was set back.
    suspended_seconds : float
        Seconds for which the machine was suspended, and the monotonic clock stood still.
    """

    def __init__(self) -> None:
        self.unix_offset = 0.0
        self.suspended_seconds = 0.0
        self.clock_selector = PausedClockSelector()
        super().__init__(self.clock_selector)

    def time(self) -> float:
        """Return the simulated monotonic time in seconds."""
        return self.clock_selector.time

    def unix_time(self) -> float:
        """Return the simulated Unix time in seconds."""
        return START_UNIX_SECONDS + self.unix_offset + self.boot_time()

    def boot_time(self) -> float:
        """Return the simulated time since the machine's start in seconds, suspensions included."""
        return self.suspended_seconds + self.clock_selector.time


def run_paused(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on an event loop with a paused clock."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)


class PausedTestCase(unittest.TestCase):
    """Runs ``async def test_…`` methods on an event loop with a paused clock."""

    def __init__(self, method: str = "runTest") -> None:
        super().__init__(method)
        test = getattr(self, method)
        if asyncio.iscoroutinefunction(test):
            setattr(self, method, lambda: run_paused(test()))
