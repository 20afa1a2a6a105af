"""An event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
import unittest
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

START_UNIX_TIME = 1_800_000_000.0


class Deadlock(RuntimeError):
    """Nothing is left that could ever wake the loop."""


class JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the time that it should have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; the self-pipe is the only descriptor watched."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise Deadlock("the loop waits for something that can never happen")
        self.time += timeout
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """A loop for deterministic tests without real sockets."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Paused time in seconds."""
        return self.jumping.time

    def unix_time(self) -> float:
        """Paused wall-clock time in seconds."""
        return START_UNIX_TIME + self.jumping.time


def run_paused(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a paused loop to its end."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(work)


class PausedTestCase(unittest.TestCase):
    """Runs ``async def test_…`` methods on a paused loop."""

    def __init__(self, method: str = "runTest") -> None:
        super().__init__(method)
        work = getattr(self, method)
        if asyncio.iscoroutinefunction(work):
            setattr(self, method, lambda: run_paused(work()))
