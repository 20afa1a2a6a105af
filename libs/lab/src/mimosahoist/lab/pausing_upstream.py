"""Simulated upstream for experiments: slots, a queue, its own speed, and periodic pauses."""

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

WORK_TIME_RELATIVE_STDDEV = 0.35
TAIL_PROBABILITY = 0.01
TAIL_WORK_TIME_FACTOR = 5.0
RESPONSE_BODY_BYTES = 32


class UpstreamBehaviour(NamedTuple):
    """Behaviour of a simulated upstream; times in seconds.

    Attributes
    ----------
    work_time_factor : float
        Multiplier of the mean work time; above 1 is slower.
    pause, pause_interval : float
        Length of a pause, and period from one start to the next; 0 means no pauses.
    round_trip : float
        Network time, both ways together.
    """

    mean_work_time: float = 0.03
    work_time_factor: float = 1.0
    pause: float = 0.0
    pause_interval: float = 0.0
    round_trip: float = 0.002
    queue: int = 24


class PausingUpstream(Upstream):
    """Runs calls in its slots; during a pause no call makes progress."""

    def __init__(
        self,
        record: UpstreamRecord,
        limits: ServiceLimits,
        bounds: SharedBounds,
        header_names: HeaderNames,
        behaviour: UpstreamBehaviour,
        rng: random.Random,
    ) -> None:
        super().__init__(record, limits, bounds, header_names)
        self.behaviour = behaviour
        self.rng = rng
        self.pause_phase = rng.uniform(0.0, behaviour.pause_interval or 1.0)
        self.slots = asyncio.Semaphore(record.slots)
        self.waiting = 0
        self.arrivals = 0

    async def perform(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        """Simulate the network and the upstream in place of a real call."""
        self.arrivals += 1
        if self.waiting >= self.behaviour.queue:
            return Refused(503)
        try:
            async with asyncio.timeout_at(until):
                return await self.run_in_slot(request)
        except TimeoutError:
            return Lost(LossKind.TIMEOUT)

    async def run_in_slot(self, request: CallerRequest) -> Answered:
        """Wait for a slot, do the work and return the answer after the network time."""
        began = asyncio.get_running_loop().time()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.simulate_work()
        finally:
            self.slots.release()
        await asyncio.sleep(self.behaviour.round_trip)
        headers = HTTPHeaders({self.header_names.signature: f"{self.record.name} {request.id}"})
        body = self.rng.randbytes(RESPONSE_BODY_BYTES)
        elapsed = asyncio.get_running_loop().time() - began
        return Answered(200, "OK", headers, body, elapsed)

    async def simulate_work(self) -> None:
        """Sleep for a random work time; a pause that covers its start or end is added."""
        seconds = self.behaviour.mean_work_time * self.behaviour.work_time_factor
        seconds *= max(0.2, self.rng.gauss(1.0, WORK_TIME_RELATIVE_STDDEV))
        if self.rng.random() < TAIL_PROBABILITY:
            seconds *= TAIL_WORK_TIME_FACTOR
        await asyncio.sleep(self.remaining_pause())
        await asyncio.sleep(seconds)
        await asyncio.sleep(self.remaining_pause())

    def remaining_pause(self) -> float:
        """Return the seconds until the current pause ends, or 0 outside pauses."""
        if not self.behaviour.pause_interval:
            return 0.0
        at = asyncio.get_running_loop().time() + self.pause_phase
        return max(0.0, self.behaviour.pause - at % self.behaviour.pause_interval)
