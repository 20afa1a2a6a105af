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


class UpstreamBehaviour(NamedTuple):
    """How an upstream behaves; times in seconds.

    Attributes
    ----------
    work_time_factor : float
        Work takes this many times the mean.
    pause, pause_interval : float
        Length of a pause, and time from one to the next; no pauses if `pause_interval` is 0.
    round_trip : float
        Time on the network, there and back.
    """

    mean_work: float = 0.03
    work_time_factor: float = 1.0
    pause: float = 0.0
    pause_interval: float = 0.0
    round_trip: float = 0.002
    queue: int = 24


class PausingUpstream(Upstream):
    """Runs calls in its slots; while it pauses, nothing makes progress."""

    def __init__(
        self,
        record: UpstreamRecord,
        limits: ServiceLimits,
        bounds: SharedBounds,
        names: HeaderNames,
        behaviour: UpstreamBehaviour,
        rng: random.Random,
    ) -> None:
        super().__init__(record, limits, bounds, names)
        self.behaviour = behaviour
        self.rng = rng
        self.phase = rng.uniform(0.0, behaviour.pause_interval or 1.0)
        self.slots = asyncio.Semaphore(record.slots)
        self.waiting = 0
        self.arrivals = 0

    async def carry(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        """Stand for the network and the upstream."""
        self.arrivals += 1
        if self.waiting >= self.behaviour.queue:
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
        await asyncio.sleep(self.behaviour.round_trip)
        headers = HTTPHeaders({self.names.signature: f"{self.record.name} {request.id}"})
        body = self.rng.randbytes(PART_BYTES)
        elapsed = asyncio.get_running_loop().time() - began
        return Answered(200, "OK", headers, body, elapsed)

    async def work(self) -> None:
        """Work for a drawn time; pauses that fall into it come on top."""
        seconds = self.behaviour.mean_work * self.behaviour.work_time_factor
        seconds *= max(0.2, self.rng.gauss(1.0, WORK_SPREAD))
        if self.rng.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        await asyncio.sleep(self.pause_left())
        await asyncio.sleep(seconds)
        await asyncio.sleep(self.pause_left())

    def pause_left(self) -> float:
        """Seconds until the present pause ends; 0 outside pauses."""
        if not self.behaviour.pause_interval:
            return 0.0
        at = asyncio.get_running_loop().time() + self.phase
        return max(0.0, self.behaviour.pause - at % self.behaviour.pause_interval)
