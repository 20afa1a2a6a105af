"""Admission of requests by priority, with a queue that deadlines bound."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import now

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics

HOLD_TIME_WEIGHT = 0.1
INITIAL_HOLD_TIME = 0.01


class Waiter(NamedTuple):
    """A queued request; lower priority numbers come first."""

    priority: int
    number: int
    admitted: asyncio.Future[None]


class Admission:
    """Lets at most `limit()` requests of a service run at once.

    A request that, by its place in the queue and the usual time a request takes, could not start
    before its deadline is refused at once, before anything is sent.
    """

    def __init__(self, limit: Callable[[], int], metrics: Metrics) -> None:
        self.limit = limit
        self.metrics = metrics
        self.running = 0
        self.hold_time = INITIAL_HOLD_TIME
        self.queue: list[Waiter] = []
        self.numbers = itertools.count()

    async def enter(self, priority: int, deadline: float) -> None:
        """Wait for a place.

        Raises
        ------
        Problem
            Of kind ``overloaded`` if there is no place before the deadline.
        """
        if not self.queue and self.running < self.limit():
            self.running += 1
            return
        ahead = sum(1 for waiter in self.queue if waiter.priority <= priority)
        wait = (ahead + 1) * self.hold_time / max(1, self.limit())
        if now() + wait > deadline:
            raise self.refusal()
        await self.wait_for_place(priority, deadline)

    async def wait_for_place(self, priority: int, deadline: float) -> None:
        """Queue until a place is free or the deadline passes."""
        admitted = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(self.numbers), admitted)
        heapq.heappush(self.queue, waiter)
        try:
            await asyncio.wait_for(asyncio.shield(admitted), max(0.0, deadline - now()))
        except (TimeoutError, asyncio.CancelledError) as error:
            if not admitted.cancel():
                self.running -= 1
                self.wake()
            if isinstance(error, TimeoutError):
                raise self.refusal() from None
            raise

    def leave(self, held: float) -> None:
        """Give a place back after `held` seconds."""
        self.hold_time += HOLD_TIME_WEIGHT * (held - self.hold_time)
        self.running -= 1
        self.wake()

    def wake(self) -> None:
        """Admit waiters while there are places."""
        while self.queue and self.running < self.limit():
            waiter = heapq.heappop(self.queue)
            if not waiter.admitted.done():
                self.running += 1
                waiter.admitted.set_result(None)

    def refusal(self) -> Problem:
        """Problem for a request that found no place."""
        self.metrics.count("refused_overloaded")
        return Problem(
            ProblemKind.OVERLOADED,
            "the service has no capacity left before the request's deadline",
            "send it again later, or with a longer deadline",
        )
