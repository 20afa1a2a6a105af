"""Admission control with a priority queue that is bounded by request deadlines."""

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

SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_SECONDS = 0.01


class Waiter(NamedTuple):
    """A queued request, ordered by ascending `priority`, then by arrival."""

    priority: int
    sequence: int
    admitted: asyncio.Future[None]


class Admission:
    """Limits a service's concurrent requests to `limit()`.

    If the position in the queue and the average service time show that a request could not start
    before its deadline, it is rejected immediately, before anything is sent.
    """

    def __init__(self, limit: Callable[[], int], metrics: Metrics) -> None:
        self.limit = limit
        self.metrics = metrics
        self.running = 0
        self.service_time = INITIAL_SERVICE_TIME_SECONDS
        self.queue: list[Waiter] = []
        self.sequence_counter = itertools.count()

    async def acquire(self, priority: int, deadline: float) -> None:
        """Wait for a free slot.

        Raises
        ------
        Problem
            Of kind ``overloaded`` if no slot becomes free before the deadline.
        """
        if not self.queue and self.running < self.limit():
            self.running += 1
            return
        ahead = sum(1 for waiter in self.queue if waiter.priority <= priority)
        wait = (ahead + 1) * self.service_time / max(1, self.limit())
        if now() + wait > deadline:
            raise self.overloaded_problem()
        await self.wait_in_queue(priority, deadline)

    async def wait_in_queue(self, priority: int, deadline: float) -> None:
        """Queue until a slot is free or the deadline passes."""
        admitted = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(self.sequence_counter), admitted)
        heapq.heappush(self.queue, waiter)
        try:
            await asyncio.wait_for(asyncio.shield(admitted), max(0.0, deadline - now()))
        except (TimeoutError, asyncio.CancelledError) as error:
            if not admitted.cancel():
                self.running -= 1
                self.admit_waiters()
            if isinstance(error, TimeoutError):
                raise self.overloaded_problem() from None
            raise

    def release(self, elapsed: float) -> None:
        """Free a slot that was held for `elapsed` seconds."""
        self.service_time += SERVICE_TIME_WEIGHT * (elapsed - self.service_time)
        self.running -= 1
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Admit queued requests while slots are free."""
        while self.queue and self.running < self.limit():
            waiter = heapq.heappop(self.queue)
            if not waiter.admitted.done():
                self.running += 1
                waiter.admitted.set_result(None)

    def overloaded_problem(self) -> Problem:
        """Problem for a request that got no slot in time."""
        self.metrics.count("refused_overloaded")
        return Problem(
            ProblemKind.OVERLOADED,
            "the service has no capacity left before the request's deadline",
            "retry later, or with a longer deadline",
        )
