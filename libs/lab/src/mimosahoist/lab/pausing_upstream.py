"""An upstream model for experiments: slots, a queue, its own speed, and regular pauses."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from tornado.httputil import HTTPHeaders

from mimosahoist.forward.outcomes import Answered, CallOutcome, LossKind, Lost, Refused
from mimosahoist.forward.upstream import Upstream

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import ServiceLimits, SharedBounds, UpstreamRecord
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.request import CallerRequest

WORK_SPREAD = 0.35
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
PART_BYTES = 32


class UpstreamHabits(NamedTuple):
    """How an upstream behaves; times in seconds.

    Attributes
    ----------
    speed : float
        Work takes this many times the mean.
    pause, pause_every : float
        Length of a pause, and time from one to the next; no pauses if `pause_every` is 0.
    trip : float
        Time on the network, there and back.
    """

    work: float = 0.03
    speed: float = 1.0
    pause: float = 0.0
    pause_every: float = 0.0
    trip: float = 0.002
    queue: int = 24


class PausingUpstream(Upstream):
    """Runs calls in its slots; while it pauses, nothing makes progress."""

    def __init__(
        self,
        record: UpstreamRecord,
        limits: ServiceLimits,
        bounds: SharedBounds,
        header_names: HeaderNames,
        habits: UpstreamHabits,
        rng: random.Random,
    ) -> None:
        super().__init__(record, limits, bounds, header_names)
        self.habits = habits
        self.rng = rng
        self.phase = rng.uniform(0.0, habits.pause_every or 1.0)
        self.slots = asyncio.Semaphore(record.slots)
        self.waiting = 0
        self.arrivals = 0

    async def perform(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        """Stand for the network and the upstream."""
        self.arrivals += 1
        if self.waiting >= self.habits.queue:
            return Refused(503)
        try:
            async with asyncio.timeout_at(until):
                return await self.run(request)
        except TimeoutError:
            return Lost(LossKind.TIMEOUT)

    async def run(self, request: CallerRequest) -> Answered:
        """Wait for a slot and work."""
        began = asyncio.get_running_loop().time()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.work()
        finally:
            self.slots.release()
        await asyncio.sleep(self.habits.trip)
        headers = HTTPHeaders({self.header_names.signature: f"{self.record.name} {request.id}"})
        body = self.rng.randbytes(PART_BYTES)
        elapsed = asyncio.get_running_loop().time() - began
        return Answered(200, "OK", headers, body, elapsed)

    async def work(self) -> None:
        """Work for a drawn time; pauses that fall into it come on top."""
        seconds = self.habits.work * self.habits.speed
        seconds *= max(0.2, self.rng.gauss(1.0, WORK_SPREAD))
        if self.rng.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        await asyncio.sleep(self.pause_left())
        await asyncio.sleep(seconds)
        await asyncio.sleep(self.pause_left())

    def pause_left(self) -> float:
        """Seconds until the present pause ends; 0 outside pauses."""
        if not self.habits.pause_every:
            return 0.0
        at = asyncio.get_running_loop().time() + self.phase
        return max(0.0, self.habits.pause - at % self.habits.pause_every)
