"""Client side of one upstream: calls, limits, announcements, reported load and health."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from mimosahoist.core import json_log
from mimosahoist.core.decimal_text import parse_integer
from mimosahoist.core.tasks import now
from mimosahoist.forward.announcement_headers import parse_announcements
from mimosahoist.forward.announcements import AnnouncedWait, UpstreamAnnouncements
from mimosahoist.forward.balancing.health import UpstreamHealth
from mimosahoist.forward.balancing.reported_load import LoadReports
from mimosahoist.forward.cold_rate import ColdRateLimiter, total_cold_rate
from mimosahoist.forward.connection_pool import ConnectionPool
from mimosahoist.forward.outcomes import Answered, CallOutcome, LossKind, Lost, Refused, Unreached
from mimosahoist.forward.rate_limit import RateLimiter
from mimosahoist.forward.receive_buffers import ReceiveBuffers, SocketLimitReached

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.forward.balancing.reported_load import ReportedLoad
    from mimosahoist.forward.connection import UpstreamConnection
    from mimosahoist.forward.declarations import ServiceLimits, SharedBounds, UpstreamRecord
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.request import CallerRequest

CONNECT_TIMEOUT_SECONDS = 0.5
CONNECTION_LIMIT_FRACTION = 0.9
STATUS_MISDIRECTED = 421
MILLISECONDS_PER_SECOND = 1000
MAX_COLD_MILLISECONDS = 3600 * MILLISECONDS_PER_SECOND
MAX_LOGGED_REASON_CHARACTERS = 120


class Upstream:
    """Connection pool and observed state of one upstream.

    Attributes
    ----------
    in_flight : dict
        Loop time at which each unfinished call started, by call number.
    divisor : float
        Divisor applied to limits shared by all instances to get this instance's share.
    cold_rate_source : callable
        Gives the requests per second that this instance may send while the upstream is cold.
    removed : bool
        True once the upstream was removed from the store or another instance answered at its
        address.
    listed_at, held_until : float
        Loop time at which it was listed, and until which it gets no calls while others can.
    applied_limit : float or None
        Announced limit that `rate_limiter` keeps to.
    rate_limiter : RateLimiter or None
        This instance's part of the rate that the upstream announces; None if it announces none.
    announcement_listener : callable or None
        Called with the upstream and a request's ID after its response changed the announcements.
    wait_listener : callable or None
        Called likewise after a response asked this instance to wait.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        limits: ServiceLimits,
        bounds: SharedBounds,
        header_names: HeaderNames,
        receive_buffers: ReceiveBuffers | None = None,
    ) -> None:
        self.record = record
        self.pool = ConnectionPool(record.address, receive_buffers or ReceiveBuffers())
        self.limits = limits
        self.bounds = bounds
        self.header_names = header_names
        self.health = UpstreamHealth()
        self.loads = LoadReports(record.name)
        self.active_connections: dict[int, UpstreamConnection] = {}
        self.in_flight: dict[int, float] = {}
        self.last_call_number = 0
        self.divisor = 1.0
        self.cold_until = 0.0
        self.cold_calls = ColdRateLimiter()
        self.cold_rate_source: Callable[[Upstream], float] = total_cold_rate_of
        self.removed = False
        self.listed_at = 0.0
        self.held_until = 0.0
        self.announcements = UpstreamAnnouncements(record.started_at_ms)
        self.announcement_listener: Callable[[Upstream, str], None] | None = None
        self.wait = AnnouncedWait()
        self.wait_listener: Callable[[Upstream, str], None] | None = None
        self.applied_limit: float | None = None
        self.rate_limiter: RateLimiter | None = None
        self.update_record(record)

    def update_record(self, record: UpstreamRecord) -> None:
        """Apply a newer registration of the same upstream."""
        self.record = record
        self.cold_until = now() + record.cold_seconds if record.cold_seconds > 0 else 0.0

    @property
    def leaving(self) -> bool:
        """Whether the upstream is about to leave, by the store or by its own announcement."""
        return self.record.leaving or self.announcements.current.leaving

    @property
    def connection_limit(self) -> int:
        """Connections that this instance may open: its share of the upstream's limit."""
        if not self.limits.connections:
            return 1 << 16
        return max(1, int(self.limits.connections * CONNECTION_LIMIT_FRACTION / self.divisor))

    def cold(self, at: float) -> bool:
        """Whether the upstream has reported that it is still warming up."""
        return at < self.cold_until

    def within_cold_rate(self, at: float) -> bool:
        """Whether this instance's part of a cold upstream's rate limit allows another call."""
        return not self.limits.cold_rate or self.cold_calls.allows(self.cold_rate_source(self), at)

    def limit_rate(self, rate: float, at: float) -> None:
        """Limit this instance's calls to a rate in requests per second."""
        if self.rate_limiter is None:
            self.rate_limiter = RateLimiter(rate, at)
        else:
            self.rate_limiter.set_rate(rate, at)

    def callable_at(self, at: float) -> float:
        """Loop time from which the upstream's announcements allow a call by this instance."""
        if self.rate_limiter is None:
            return max(at, self.wait.until)
        return max(self.wait.until, self.rate_limiter.next_at(at))

    def has_capacity(self, at: float) -> bool:
        """Whether another call may be sent now."""
        if self.removed or self.leaving:
            return False
        if at < max(self.health.ejected_until, self.health.refuses_until):
            return False
        if self.callable_at(at) > at or not self.wait.allows(at, len(self.in_flight)):
            return False
        if self.health.on_probation and self.in_flight:
            return False
        if len(self.in_flight) >= self.connection_limit or not self.pool.can_take:
            return False
        return not self.cold(at) or self.within_cold_rate(at)

    def state(self, at: float) -> str:
        """Reason why no calls are sent, for logs; ``open`` if calls are allowed."""
        if self.removed or self.leaving:
            return "leaving"
        if at < self.health.ejected_until:
            return (
                f"ejected {self.health.ejected_until - at:.2f} s, "
                f"streak {self.health.consecutive_failures}"
            )
        if at < self.health.refuses_until:
            return f"refuses {self.health.refuses_until - at:.2f} s"
        if at < self.wait.until:
            return f"asked to wait {self.wait.until - at:.2f} s"
        if self.callable_at(at) > at:
            return f"limited to {self.rate_limiter.rate:.2f}/s here"
        if self.cold(at):
            return f"cold {self.cold_until - at:.2f} s"
        return "open" if self.has_capacity(at) else f"full with {len(self.in_flight)}"

    def max_call_age(self, at: float) -> float:
        """Age in seconds of the oldest unfinished call; 0 if there is none."""
        return at - min(self.in_flight.values()) if self.in_flight else 0.0

    def occupancy(self, at: float) -> float:
        """Running and waiting requests per slot, from own calls and any recent load report."""
        requests = len(self.in_flight)
        slots = max(1, self.record.slots)
        if self.load is not None and self.load.is_recent(at):
            slots = self.load.slots
            requests = max(requests, self.load.running + self.load.waiting)
        return requests / slots

    @property
    def load(self) -> ReportedLoad | None:
        """Latest load that the upstream has reported."""
        return self.loads.latest

    async def call(self, request: CallerRequest, until: float) -> CallOutcome:
        """Send a request and wait for its outcome.

        Parameters
        ----------
        until : float
            Loop time in seconds at which the call times out.
        """
        started = now()
        self.last_call_number += 1
        number = self.last_call_number
        self.in_flight[number] = started
        if self.limits.cold_rate and self.cold(started):
            self.cold_calls.record_call(started)
        if self.rate_limiter is not None:
            self.rate_limiter.take(started)
        request.record_call()
        try:
            outcome = await self.perform(request, number, until)
        except asyncio.CancelledError:
            self.abort_call(number)
            raise
        finally:
            self.in_flight.pop(number, None)
        self.health.record_outcome(outcome, now())
        if isinstance(outcome, Refused | Unreached):
            request.record_call_not_run()
        if isinstance(outcome, Answered):
            self.wait.record_served(now(), self.record.slots)
        return outcome

    async def perform(self, request: CallerRequest, number: int, until: float) -> CallOutcome:
        """Acquire a connection and run one exchange on it."""
        connection = self.pool.take_idle()
        if connection is None:
            connect_until = min(until, now() + CONNECT_TIMEOUT_SECONDS)
            try:
                async with asyncio.timeout_at(connect_until):
                    connection = await self.pool.open()
            except Exception as error:
                # Nothing has been written yet, whatever the error is.
                return Unreached(type(error).__name__, isinstance(error, SocketLimitReached))
        self.active_connections[number] = connection
        try:
            outcome = await self.exchange(connection, request, until)
        except Exception as error:
            # The request may have been written, whatever the error is.
            outcome = Lost(LossKind.ERROR)
            reason = repr(error)[:MAX_LOGGED_REASON_CHARACTERS]
            json_log.info(
                "call raised", request=request.id, upstream=self.record.name, error=reason
            )
        self.active_connections.pop(number, None)
        self.release(connection, isinstance(outcome, Lost))
        return outcome

    async def exchange(
        self, connection: UpstreamConnection, request: CallerRequest, until: float
    ) -> CallOutcome:
        """Run one exchange on a connection and classify its outcome."""
        sent = now()
        try:
            async with asyncio.timeout_at(until):
                outcome = await connection.exchange(
                    request.method,
                    request.target,
                    lambda: self.request_headers(request),
                    request.body,
                    lambda status, headers: self.handle_head(status, headers, request, sent),
                )
        except TimeoutError:
            return Lost(LossKind.TIMEOUT)
        return self.classify_outcome(outcome, request)

    async def accepts_connection(self) -> bool:
        """Whether the upstream accepts a new connection, which is pooled for the next call.

        Returns true without connecting if a pooled connection is usable or the connection limit is
        reached. A connect time-out also returns true: it is no evidence that the upstream is down.
        """
        self.pool.prune()
        if self.pool.idle or self.pool.open_count >= self.connection_limit:
            return True
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await self.pool.open()
        except TimeoutError:
            return True
        except (StreamClosedError, OSError):
            return False
        self.release(connection, False)
        return True

    def release(self, connection: UpstreamConnection, broken: bool) -> None:
        """Return a connection to the pool, or close it if no call may follow on it."""
        if broken or self.removed or self.leaving:
            self.pool.close_connection(connection)
        else:
            self.pool.put_back(connection)

    def abort_call(self, number: int) -> None:
        """Close the connection of an abandoned call, so that the upstream cancels the work."""
        connection = self.active_connections.pop(number, None)
        if connection is not None:
            self.pool.close_connection(connection)

    def request_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Headers of a call: the caller's, the time left and the only upstream that may run it."""
        headers = request.headers.copy()
        left = int((request.caller_deadline - now()) * MILLISECONDS_PER_SECOND)
        headers[self.header_names.time_left] = str(max(1, left))
        headers[self.header_names.wanted_upstream] = self.record.name
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def classify_outcome(self, outcome: Answered | Lost, request: CallerRequest) -> CallOutcome:
        """Map refusals, malformed responses and those of another request to their outcomes."""
        if not isinstance(outcome, Answered):
            return outcome
        headers = outcome.headers
        if self.is_foreign(headers, request):
            return Lost(LossKind.FOREIGN)
        self.update_from_headers(headers)
        if outcome.status == STATUS_MISDIRECTED:
            return Refused(outcome.status, other_instance=True)
        if self.header_names.not_run in headers:
            return Refused(outcome.status)
        if "Content-Encoding" in headers:
            return Lost(LossKind.MALFORMED)
        if outcome.is_success and self.header_names.signature not in headers:
            return Lost(LossKind.MALFORMED)
        return outcome

    def is_foreign(self, headers: HTTPHeaders, request: CallerRequest) -> bool:
        """Whether a response says that it belongs to another request."""
        return headers.get(self.header_names.request_id, request.id) != request.id

    def update_from_headers(self, headers: HTTPHeaders) -> None:
        """Update load and warm-up state from response headers."""
        at = now()
        load = headers.get(self.header_names.load)
        if load is not None:
            self.loads.record(load, at)
        cold = parse_integer(headers.get(self.header_names.cold_left, ""), MAX_COLD_MILLISECONDS)
        if cold:
            self.cold_until = max(self.cold_until, at + cold / MILLISECONDS_PER_SECOND)

    def handle_head(
        self, status: int, headers: HTTPHeaders, request: CallerRequest, sent: float
    ) -> None:
        """Apply what the head of a response to a request sent at a loop time announces.

        A response that belongs to another request was produced at an unknown earlier time.
        """
        if status == STATUS_MISDIRECTED:
            return
        if self.is_foreign(headers, request):
            sent = -math.inf
        self.read_announcements(status, headers, request.id, sent)

    def read_announcements(
        self, status: int, headers: HTTPHeaders, request: str, sent: float
    ) -> None:
        """Apply what the upstream announces about itself in a response.

        Parameters
        ----------
        request : str
            ID of the request, for the log.
        sent : float
            Loop time in seconds before which the response was not produced.
        """
        at = now()
        found = parse_announcements(status, headers, self.header_names)
        for error in found.errors:
            self.record_malformed_announcement(error, request)
        if self.wait.record(found.wait, at) and self.wait_listener is not None:
            self.wait_listener(self, request)
        changed = found.leaving and self.announcements.record_leaving()
        if found.has_usable_limit:
            changed |= self.announcements.record_limit(found.limit, sent, at)
        if changed and self.announcement_listener is not None:
            self.announcement_listener(self, request)

    def record_malformed_announcement(self, error: str, request: str) -> None:
        """Count an unusable announcement, and log the first one of this upstream."""
        self.announcements.malformed_values += 1
        if self.announcements.malformed_values == 1:
            json_log.info(
                "announcement ignored",
                request=request,
                upstream=self.record.name,
                reason=error[:MAX_LOGGED_REASON_CHARACTERS],
            )

    def close(self) -> None:
        """Close the idle connections; calls in flight run to completion."""
        self.removed = True
        self.pool.close_idle()


def total_cold_rate_of(upstream: Upstream) -> float:
    """Rate of a cold upstream for an instance that has no others beside it."""
    return total_cold_rate(upstream.limits, upstream.bounds)
