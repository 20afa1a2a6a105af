"""One upstream as this instance uses it: connections, limits, load and health."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from mimosahoist.core.tasks import now
from mimosahoist.forward.connection import UpstreamConnection
from mimosahoist.forward.health import UpstreamHealth
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    LossKind,
    Lost,
    Refused,
    Unreached,
)

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import ServiceLimits, SharedBounds, UpstreamRecord
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.request import CallerRequest

CONNECT_SECONDS = 0.5
CONNECTION_MARGIN = 0.9
COLD_MARGIN = 0.6
STATUS_MISDIRECTED = 421
LOAD_FRESH_SECONDS = 0.5
MILLISECONDS = 1000


class ReportedLoad:
    """What an upstream last told of its load."""

    def __init__(self, running: int, waiting: int, slots: int, at: float) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.at = at

    @classmethod
    def parse(cls, value: str, at: float) -> ReportedLoad | None:
        """Read running requests, waiting requests and slots; None if it is something else."""
        fields = value.split(",")
        if len(fields) != 3 or not all(field.strip().isdigit() for field in fields):
            return None
        running, waiting, slots = map(int, fields)
        return cls(running, waiting, max(1, slots), at)


class Upstream:
    """Connections to one upstream and what is believed of it.

    Attributes
    ----------
    in_flight : dict
        Loop time at which each unfinished call began, by call number.
    divisor : float
        What limits that hold for all instances are divided by here.
    gone : bool
        True once the list or the upstream's address says that it is no more.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        limits: ServiceLimits,
        bounds: SharedBounds,
        names: HeaderNames,
    ) -> None:
        self.record = record
        self.limits = limits
        self.bounds = bounds
        self.names = names
        self.health = UpstreamHealth()
        self.load: ReportedLoad | None = None
        self.idle: list[UpstreamConnection] = []
        self.busy: dict[int, UpstreamConnection] = {}
        self.in_flight: dict[int, float] = {}
        self.number = 0
        self.open_connections = 0
        self.connections_opened = 0
        self.divisor = 1.0
        self.cold_until = 0.0
        self.cold_sends: list[float] = []
        self.gone = False
        self.take_record(record)

    def take_record(self, record: UpstreamRecord) -> None:
        """Take a newer registration in."""
        self.record = record
        self.cold_until = now() + record.cold_seconds if record.cold_seconds > 0 else 0.0

    @property
    def connection_limit(self) -> int:
        """Connections that this instance may hold: its part of what the upstream accepts."""
        if not self.limits.connections:
            return 1 << 16
        return max(1, int(self.limits.connections * CONNECTION_MARGIN / self.divisor))

    def cold(self, at: float) -> bool:
        """Whether the upstream said that it is still cold."""
        return at < self.cold_until

    def cold_room(self, at: float) -> bool:
        """Whether this instance's part of a cold upstream's rate allows one more send."""
        if not self.limits.cold_rate:
            return True
        self.cold_sends = [sent for sent in self.cold_sends if sent > at - 1.0]
        rate = self.limits.cold_rate * self.bounds.cold_headroom + self.bounds.cold_slack
        share = rate * COLD_MARGIN / self.divisor
        if share < 1.0:
            return not self.cold_sends or self.cold_sends[-1] <= at - 1.0 / share
        return len(self.cold_sends) < int(share)

    def has_room(self, at: float) -> bool:
        """Whether one more call may be sent now."""
        if self.gone or self.record.leaving or at < self.health.ejected_until:
            return False
        if self.health.on_probation and self.in_flight:
            return False
        if len(self.in_flight) >= self.connection_limit:
            return False
        return not self.cold(at) or self.cold_room(at)

    @property
    def answering(self) -> bool:
        """Whether the last calls were answered."""
        return not self.health.on_probation

    def state(self, at: float) -> str:
        """What keeps calls away, for logs; ``open`` if nothing does."""
        if self.gone or self.record.leaving:
            return "leaving"
        if at < self.health.ejected_until:
            return f"ejected {self.health.ejected_until - at:.2f} s, streak {self.health.streak}"
        if self.cold(at):
            return f"cold {self.cold_until - at:.2f} s"
        return "open" if self.has_room(at) else f"full with {len(self.in_flight)}"

    def oldest_age(self, at: float) -> float:
        """Seconds since the longest unfinished call began; 0 if there is none."""
        return at - min(self.in_flight.values()) if self.in_flight else 0.0

    def occupancy(self, at: float) -> float:
        """Running and waiting requests for each slot, as far as it is known."""
        busy = len(self.in_flight)
        slots = max(1, self.record.slots)
        if self.load is not None and at - self.load.at < LOAD_FRESH_SECONDS:
            slots = self.load.slots
            busy = max(busy, self.load.running + self.load.waiting)
        return busy / slots

    async def call(self, request: CallerRequest, until: float) -> CallOutcome:
        """Send a request and await the outcome.

        Parameters
        ----------
        until : float
            Loop time in seconds at which the call is given up as silent.
        """
        started = now()
        self.number += 1
        number = self.number
        self.in_flight[number] = started
        if self.cold(started):
            self.cold_sends.append(started)
        try:
            outcome = await self.carry(request, number, until)
        except asyncio.CancelledError:
            self.drop(number)
            raise
        finally:
            self.in_flight.pop(number, None)
        self.health.note(outcome, now())
        return outcome

    async def carry(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        """Get a connection and use it for one exchange."""
        connection = self.take_idle()
        if connection is None:
            connect_until = min(until, now() + CONNECT_SECONDS)
            try:
                async with asyncio.timeout_at(connect_until):
                    connection = await self.connect()
            except (StreamClosedError, OSError, TimeoutError) as error:
                return Unreached(type(error).__name__)
        self.busy[number] = connection
        try:
            async with asyncio.timeout_at(until):
                outcome = await connection.exchange(
                    request.method, request.target, self.headers_for(request), request.body
                )
        except TimeoutError:
            outcome = Lost(LossKind.TIMEOUT)
        self.busy.pop(number, None)
        outcome = self.judge(outcome, request)
        self.put_back(connection, isinstance(outcome, Lost))
        return outcome

    async def accepts(self) -> bool:
        """Whether the upstream takes a new connection, which is kept for the next call.

        Without room for one nothing can be said against it.
        """
        self.prune()
        if self.idle or self.open_connections >= self.connection_limit:
            return True
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self.connect()
        except TimeoutError:
            return True
        except (StreamClosedError, OSError):
            return False
        self.put_back(connection, False)
        return True

    async def connect(self) -> UpstreamConnection:
        """Open one more connection."""
        self.open_connections += 1
        self.connections_opened += 1
        try:
            return await UpstreamConnection.open(self.record.address, self.prune)
        except BaseException:
            self.open_connections -= 1
            raise

    def take_idle(self) -> UpstreamConnection | None:
        """Kept connection that was used last, if one is usable."""
        self.prune()
        return self.idle.pop() if self.idle else None

    def prune(self) -> None:
        """Drop kept connections that can carry nothing more."""
        at = now()
        usable = []
        for connection in self.idle:
            if connection.usable(at):
                usable.append(connection)
            else:
                connection.close()
                self.open_connections -= 1
        self.idle = usable

    def put_back(self, connection: UpstreamConnection, broken: bool) -> None:
        """Keep a connection for the next call, or close it."""
        if broken or self.gone or not connection.usable(now()):
            connection.close()
            self.open_connections -= 1
            return
        connection.idle()
        self.idle.append(connection)

    def drop(self, number: int) -> None:
        """Close the connection of a call that is given up, so that the upstream stops work."""
        connection = self.busy.pop(number, None)
        if connection is not None:
            connection.close()
            self.open_connections -= 1

    def headers_for(self, request: CallerRequest) -> HTTPHeaders:
        """Headers of one call: the caller's, the time left, and who alone may run it."""
        headers = request.headers.copy()
        left = int((request.caller_deadline - now()) * MILLISECONDS)
        headers[self.names.time_left] = str(max(1, left))
        headers[self.names.wanted_upstream] = self.record.name
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def judge(self, outcome: Answered | Lost, request: CallerRequest) -> CallOutcome:
        """Decide whether an answer is this request's own."""
        if not isinstance(outcome, Answered):
            return outcome
        headers = outcome.headers
        if headers.get(self.names.request_id, request.id) != request.id:
            return Lost(LossKind.FOREIGN)
        self.learn(headers)
        if outcome.status == STATUS_MISDIRECTED:
            return Refused(outcome.status, other_instance=True)
        if self.names.not_run in headers:
            return Refused(outcome.status)
        if "Content-Encoding" in headers:
            return Lost(LossKind.MALFORMED)
        if outcome.is_success and self.names.signature not in headers:
            return Lost(LossKind.MALFORMED)
        return outcome

    def learn(self, headers: HTTPHeaders) -> None:
        """Take what an answer tells of load and warmth."""
        at = now()
        load = headers.get(self.names.load)
        if load is not None:
            self.load = ReportedLoad.parse(load, at) or self.load
        cold = headers.get(self.names.cold_left, "")
        if cold.isdigit() and int(cold) > 0:
            self.cold_until = max(self.cold_until, at + int(cold) / MILLISECONDS)

    def close(self) -> None:
        """Close kept connections; calls in flight go on to their end."""
        self.gone = True
        for connection in self.idle:
            connection.close()
        self.open_connections -= len(self.idle)
        self.idle = []
