"""Connections, limits, health and reported state of one upstream."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.upstream.health import Health
from mimosahoist.upstream.quota import ShareView, instance_limit, is_leader
from mimosahoist.upstream.ramp import Ramp, RampState
from mimosahoist.upstream.status_poller import PolledUpstream, StatusPoller
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind, Reply

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics, SlidingQuantile
    from mimosahoist.platform.kinds import ServiceSpec
    from mimosahoist.upstream import messages
    from mimosahoist.upstream.call import Call
    from mimosahoist.upstream.transport import Connection, Transport

CONTROL_CONNECTIONS = 1
RESPONSE_GRACE_SECONDS = 0.1
LATENCY_EWMA_WEIGHT = 0.2
INITIAL_LATENCY_SECONDS = 0.010
RETIRE_TIMEOUT_SECONDS = 60.0
RETIRE_POLL_SECONDS = 0.05


class UpstreamGroup(ABC):
    """Interface of a service's upstream pool towards its members.

    Attributes
    ----------
    domains_out : frozenset of str
        Failure domains that operators have drained.
    active_versions : frozenset of str
        Versions that receive traffic or are warmed up for it.
    warm_latency : SlidingQuantile
        Latency of warm upstreams in seconds.
    """

    metrics: Metrics
    shares: ShareView
    domains_out: frozenset[str]
    active_versions: frozenset[str]
    warm_latency: SlidingQuantile

    @abstractmethod
    def median_latency(self) -> float | None:
        """Return the median latency of warm upstreams in seconds, or None with too few replies."""

    @abstractmethod
    def notify_capacity(self) -> None:
        """Notify listeners that an upstream may have free capacity."""

    @abstractmethod
    def invalidate_plans(self) -> None:
        """Invalidate all plans after a change of snapshots or upstreams."""

    @abstractmethod
    def publish_ramp(self, name: str, state: RampState) -> None:
        """Publish a new ramp state to the other instances."""


class Upstream(PolledUpstream):
    """Connections, limits and health of one upstream.

    Each data connection has a task that serves calls one at a time; another task polls the status
    over a control connection.
    """

    def __init__(
        self,
        name: str,
        address: str,
        failure_domain: str,
        version: str,
        spec: ServiceSpec,
        transport: Transport,
        pool: UpstreamGroup,
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.version = version
        self.spec = spec
        self.transport = transport
        self.pool = pool
        self.metrics = pool.metrics
        self.shares = pool.shares
        self.ramp = Ramp(spec["cold_concurrency"], spec["slots"] + spec["queue"])
        self.health = Health()
        self.tasks = TaskSet()
        self.poller = StatusPoller(self)
        self.status: messages.UpstreamStatus | None = None
        self.listed_leaving = False
        self.reported_draining = False
        self.reserved_for: str | None = None
        self.restart_suspected = False
        self.closed = False
        self.latency = INITIAL_LATENCY_SECONDS
        self.in_flight = 0
        self.workers = 0
        self.idle_workers: deque[asyncio.Future[Call]] = deque()
        self.linger_deadlines: deque[float] = deque()
        self.cached_limit = 0
        self.limit_inputs: tuple[int, int, int] | None = None

    @property
    def is_active(self) -> bool:
        """Whether the upstream's version receives traffic or is warmed up for it."""
        return self.version in self.pool.active_versions

    async def start(self) -> None:
        """Start polling the status."""
        await self.poller.start()

    async def retire(self) -> None:
        """Accept no new calls, wait for those in flight to complete, then close."""
        self.listed_leaving = True
        until = now() + RETIRE_TIMEOUT_SECONDS
        try:
            while self.in_flight and now() < until:
                await asyncio.sleep(RETIRE_POLL_SECONDS)
        finally:
            await self.close()

    async def close(self) -> None:
        """Stop all tasks and close all connections; calls in flight fail as abandoned."""
        self.closed = True
        await self.tasks.close()
        self.poller.close()

    @property
    def limit(self) -> int:
        """Number of concurrent calls that this instance may send to the upstream."""
        inputs = (self.ramp.total, self.shares.epoch, len(self.linger_deadlines))
        if inputs != self.limit_inputs:
            self.limit_inputs = inputs
            self.cached_limit = self.compute_limit()
        return self.cached_limit

    def compute_limit(self) -> int:
        """Return the smaller of this instance's shares of concurrency and of connections."""
        concurrency = instance_limit(self.ramp.total, self.name, self.shares)
        connections = instance_limit(self.spec["connections"], self.name, self.shares)
        usable = connections - CONTROL_CONNECTIONS - len(self.linger_deadlines)
        return max(0, min(concurrency, usable))

    def available(self, at: float) -> bool:
        """Return whether new calls may be sent to the upstream at all."""
        return (
            not (
                self.closed
                or self.restart_suspected
                or self.listed_leaving
                or self.reported_draining
            )
            and self.shares.valid_until > at >= self.health.ejected_until
            and self.failure_domain not in self.pool.domains_out
        )

    def has_capacity(self, at: float) -> bool:
        """Return whether one more call may be sent now."""
        if self.reserved_for is not None:
            return False
        if self.linger_deadlines:
            self.expire_linger_deadlines(at)
        return self.in_flight < self.limit and self.available(at)

    def reserve(self, request: str, at: float) -> bool:
        """Reserve the upstream for one request; return True once nothing else is in flight.

        A request that was in flight when another upstream crashed runs alone, so that a second
        crash can be attributed to it and to no other request.
        """
        if not self.available(at) or self.limit == 0:
            return False
        if self.reserved_for is None:
            self.reserved_for = request
        return self.reserved_for == request and self.in_flight == 0

    def release(self, request: str) -> None:
        """Release a reservation held by a request."""
        if self.reserved_for == request:
            self.reserved_for = None
            self.pool.notify_capacity()

    def submit(self, call: Call) -> None:
        """Send a call; the caller has already checked `has_capacity`."""
        call.upstream = self
        call.started = now()
        self.in_flight += 1
        while self.idle_workers:
            waiter = self.idle_workers.popleft()
            if not waiter.done():
                waiter.set_result(call)
                return
        self.workers += 1
        self.tasks.spawn(self.serve_connection(call), f"connection {self.name}")

    async def serve_connection(self, call: Call) -> None:
        """Serve calls over one data connection until there are more connections than the limit."""
        fresh = self.spec["kind"] == "run"
        connection = self.transport.open(self.address, fresh, self.handle_closed)
        call.may_include_connect = not fresh
        try:
            while True:
                await self.serve_call(connection, call)
                failed = isinstance(call.outcome, ExchangeFailure)
                if self.workers > max(1, self.limit):
                    return
                waiter = asyncio.get_running_loop().create_future()
                self.idle_workers.append(waiter)
                call = await waiter
                call.may_include_connect = failed
        finally:
            self.workers -= 1
            connection.close()

    async def serve_call(self, connection: Connection, call: Call) -> None:
        """Perform the exchange of one call and record its outcome."""
        timeout = call.deadline - call.started + RESPONSE_GRACE_SECONDS
        try:
            call.outcome = await connection.exchange(call.path, call.body, max(timeout, 0.001))
        except ExchangeFailure as failure:
            call.outcome = failure
        except asyncio.CancelledError:
            call.outcome = ExchangeFailure(FailureKind.ABANDONED, True)
            self.metrics.count("exchange_failed_abandoned")
            call.done(call)
            raise
        except Exception as error:
            # The request may have been written, whatever the error is.
            call.outcome = ExchangeFailure(FailureKind.ABANDONED, True)
            json_log.info("call raised", upstream=self.name, error=repr(error))
        at = asyncio.get_running_loop().time()
        call.elapsed = at - call.started
        self.in_flight -= 1
        if isinstance(call.outcome, Reply):
            self.health.record_success()
            self.latency += LATENCY_EWMA_WEIGHT * (call.elapsed - self.latency)
        else:
            self.handle_failure(call.outcome, at)
        call.done(call)
        self.pool.notify_capacity()

    def handle_closed(self) -> None:
        """Handle an idle connection closed by the upstream, which may have restarted.

        No more calls are sent until a status report tells whether the incarnation is the same;
        otherwise a cold upstream could receive the load of a warm one.
        """
        self.restart_suspected = True
        self.poller.poll_requested.set()

    def handle_failure(self, failure: ExchangeFailure, at: float) -> None:
        """Record a failed exchange.

        A connection given up after a timeout counts against the connection limit for `linger_ms`,
        because the upstream may keep it open for as long.
        """
        self.metrics.count(f"exchange_failed_{failure.kind}")
        if failure.kind is not FailureKind.TIMEOUT:
            self.handle_closed()
        if failure.kind is FailureKind.TIMEOUT:
            self.metrics.count("connections_given_up")
            self.linger_deadlines.append(at + self.spec["linger_ms"] / 1000)
        if self.health.record_failure(failure.kind, at):
            self.metrics.count("upstream_ejected")

    def expire_linger_deadlines(self, at: float) -> None:
        """Stop counting given-up connections that the upstream has closed in the meantime."""
        while self.linger_deadlines and self.linger_deadlines[0] <= at:
            self.linger_deadlines.popleft()

    def observe(self, call: Call, reported_warm: bool, incarnation: int) -> None:
        """Update the ramp from a reply: whether the upstream is warm or has restarted."""
        at = call.started + call.elapsed
        if self.ramp.restart(incarnation, at):
            self.publish_ramp("new incarnation")
        if call.latency_sample is not None:
            self.observe_latency(call.latency_sample, reported_warm)
        if self.ramp.appears_cold(reported_warm) and self.ramp.reset(at):
            self.metrics.count("cold_again")
            self.publish_ramp("cold again")
        if not self.ramp.warm:
            self.promote_if_leader(at)

    def observe_latency(self, elapsed: float, reported_warm: bool) -> None:
        """Compare a reply's latency with that of the service's warm upstreams."""
        if self.ramp.warm and reported_warm:
            self.pool.warm_latency.record(elapsed)
        self.ramp.observe(elapsed, self.pool.median_latency(), reported_warm)

    def promote_if_leader(self, at: float) -> None:
        """Enter the next slow-start stage if allowed and if this instance is the leader."""
        if self.ramp.can_promote(at) and is_leader(self.name, self.shares):
            self.ramp.promote(at)
            self.publish_ramp("promoted")

    def publish_ramp(self, reason: str) -> None:
        """Publish a new ramp state to the other instances."""
        state = self.ramp.state
        json_log.info("ramp state changed", upstream=self.name, reason=reason, stage=state.stage)
        self.pool.publish_ramp(self.name, state)

    def adopt_ramp(self, state: RampState) -> None:
        """Adopt a ramp state from another instance if it is later."""
        if self.ramp.adopt(state, now()):
            self.pool.notify_capacity()

    def discard_snapshot(self, snapshot: int) -> None:
        """Discard a snapshot that the upstream no longer has, and request a status poll."""
        if self.status is not None:
            held = [item for item in self.status["snapshots"] if item["id"] != snapshot]
            self.status["snapshots"] = held
        self.pool.invalidate_plans()
        self.poller.poll_requested.set()

    def observe_newest_snapshot(self, snapshot: int) -> None:
        """Request a status poll if the upstream has a newer snapshot than its last report."""
        known = self.status["snapshots"] if self.status is not None else []
        if not known or known[-1]["id"] < snapshot:
            self.poller.poll_requested.set()

    def accept_status(self, status: messages.UpstreamStatus) -> None:
        """Apply a status report: reachability, incarnation, draining state and snapshots."""
        at = now()
        if self.ramp.restart(status["incarnation"], at):
            self.publish_ramp("new incarnation")
        was_unavailable = self.restart_suspected or not self.health.available(at)
        self.health.record_success()
        self.restart_suspected = False
        if was_unavailable:
            self.pool.notify_capacity()
        if status["draining"] != self.reported_draining:
            json_log.info(
                "upstream draining state changed", upstream=self.name, draining=status["draining"]
            )
            self.reported_draining = status["draining"]
        changed = self.status is None or self.status["snapshots"] != status["snapshots"]
        self.status = status
        if changed:
            self.pool.invalidate_plans()
