"""One upstream as this instance sees it."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.upstream.health import Health
from mimosahoist.upstream.quota import ShareView, leads, share_of
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
SILENCE_GRACE = 0.1
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY = 0.010
RETIRE_SECONDS = 60.0
RETIRE_POLL_SECONDS = 0.05


class UpstreamGroup(ABC):
    """The upstreams of a service as one of them uses the group.

    Attributes
    ----------
    domains_out : frozenset of str
        Failure domains that operators have taken out.
    versions_wanted : frozenset of str
        Versions that get traffic or are warmed up for it.
    median : SlidingQuantile
        Answer times of warm upstreams in seconds.
    """

    metrics: Metrics
    shares: ShareView
    domains_out: frozenset[str]
    versions_wanted: frozenset[str]
    median: SlidingQuantile

    @abstractmethod
    def typical_latency(self) -> float | None:
        """Median seconds of warm upstreams, if there are enough answers."""

    @abstractmethod
    def handle_room(self) -> None:
        """An upstream may have room."""

    @abstractmethod
    def handle_snapshots(self) -> None:
        """Snapshots or upstreams changed."""

    @abstractmethod
    def publish_ramp(self, name: str, state: RampState) -> None:
        """Tell the other instances of a new ramp state."""


class Upstream(PolledUpstream):
    """Connections, limits and health of one upstream.

    Each data connection has a task that takes calls one after the other; a further task polls the
    status over a control connection.
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
        self.exclusive_for: str | None = None
        self.unsure = False
        self.closed = False
        self.latency = INITIAL_LATENCY
        self.in_flight = 0
        self.workers = 0
        self.idle: deque[asyncio.Future[Call]] = deque()
        self.lingering: deque[float] = deque()
        self.cached_limit = 0
        self.limit_inputs: tuple[int, int, int] | None = None

    @property
    def wanted(self) -> bool:
        """Whether its version gets traffic or is warmed up for it."""
        return self.version in self.pool.versions_wanted

    async def start(self) -> None:
        """Begin to poll the status."""
        await self.poller.start()

    async def retire(self) -> None:
        """Take no new calls, let those in flight end, then close."""
        self.listed_leaving = True
        until = now() + RETIRE_SECONDS
        try:
            while self.in_flight and now() < until:
                await asyncio.sleep(RETIRE_POLL_SECONDS)
        finally:
            await self.close()

    async def close(self) -> None:
        """Stop all tasks and close all connections; calls in flight end as abandoned."""
        self.closed = True
        await self.tasks.close()
        self.poller.close()

    @property
    def limit(self) -> int:
        """Concurrent calls that this instance may have on the upstream."""
        inputs = (self.ramp.total, self.shares.epoch, len(self.lingering))
        if inputs != self.limit_inputs:
            self.limit_inputs = inputs
            self.cached_limit = self.compute_limit()
        return self.cached_limit

    def compute_limit(self) -> int:
        """Smaller of the shares of concurrency and of connections."""
        concurrency = share_of(self.ramp.total, self.name, self.shares)
        connections = share_of(self.spec["connections"], self.name, self.shares)
        usable = connections - CONTROL_CONNECTIONS - len(self.lingering)
        return max(0, min(concurrency, usable))

    def available(self, at: float) -> bool:
        """Whether new work may go to this upstream at all."""
        return (
            not (self.closed or self.unsure or self.listed_leaving or self.reported_draining)
            and self.shares.valid_until > at >= self.health.ejected_until
            and self.failure_domain not in self.pool.domains_out
        )

    def has_room(self, at: float) -> bool:
        """Whether one more call may be sent now."""
        if self.exclusive_for is not None:
            return False
        if self.lingering:
            self.expire_lingering(at)
        return self.in_flight < self.limit and self.available(at)

    def reserve(self, request: str, at: float) -> bool:
        """Keep the upstream free for one request; true once nothing else is in flight.

        A request that was in flight when another upstream broke runs alone, so that a second
        break can be put down to it and to no other.
        """
        if not self.available(at) or self.limit == 0:
            return False
        if self.exclusive_for is None:
            self.exclusive_for = request
        return self.exclusive_for == request and self.in_flight == 0

    def release(self, request: str) -> None:
        """End a reservation."""
        if self.exclusive_for == request:
            self.exclusive_for = None
            self.pool.handle_room()

    def submit(self, call: Call) -> None:
        """Send a call; the caller has checked `has_room`."""
        call.upstream = self
        call.started = now()
        self.in_flight += 1
        while self.idle:
            waiter = self.idle.popleft()
            if not waiter.done():
                waiter.set_result(call)
                return
        self.workers += 1
        self.tasks.spawn(self.serve_connection(call), f"connection {self.name}")

    async def serve_connection(self, call: Call) -> None:
        """Serve one data connection: one call after the other until there are too many."""
        fresh = self.spec["kind"] == "run"
        connection = self.transport.open(self.address, fresh, self.handle_closed)
        call.connecting = not fresh
        try:
            while True:
                await self.serve_call(connection, call)
                failed = isinstance(call.outcome, ExchangeFailure)
                if self.workers > max(1, self.limit):
                    return
                waiter = asyncio.get_running_loop().create_future()
                self.idle.append(waiter)
                call = await waiter
                call.connecting = failed
        finally:
            self.workers -= 1
            connection.close()

    async def serve_call(self, connection: Connection, call: Call) -> None:
        """Exchange one call and account for its outcome."""
        timeout = call.deadline - call.started + SILENCE_GRACE
        try:
            call.outcome = await connection.exchange(call.path, call.body, max(timeout, 0.001))
        except ExchangeFailure as failure:
            call.outcome = failure
        except asyncio.CancelledError:
            call.outcome = ExchangeFailure(FailureKind.ABANDONED, True)
            self.metrics.count("exchange_failed_abandoned")
            call.done(call)
            raise
        at = asyncio.get_running_loop().time()
        call.elapsed = at - call.started
        self.in_flight -= 1
        if isinstance(call.outcome, Reply):
            self.health.succeed()
            self.latency += LATENCY_WEIGHT * (call.elapsed - self.latency)
        else:
            self.handle_failure(call.outcome, at)
        call.done(call)
        self.pool.handle_room()

    def handle_closed(self) -> None:
        """The upstream closed an idle connection: it may have restarted.

        Nothing more is sent until its status tells whether it is the same incarnation; or else a
        warm upstream's load would meet a cold one.
        """
        self.unsure = True
        self.poller.refresh.set()

    def handle_failure(self, failure: ExchangeFailure, at: float) -> None:
        """Count a failed exchange and keep the connection budget."""
        self.metrics.count(f"exchange_failed_{failure.kind}")
        if failure.kind is not FailureKind.TIMEOUT:
            self.handle_closed()
        if failure.kind is FailureKind.TIMEOUT:
            self.metrics.count("connections_given_up")
            self.lingering.append(at + self.spec["linger_ms"] / 1000)
        if self.health.fail(failure.kind, at):
            self.metrics.count("upstream_ejected")

    def expire_lingering(self, at: float) -> None:
        """Stop counting given-up connections that the upstream has closed by now."""
        while self.lingering and self.lingering[0] <= at:
            self.lingering.popleft()

    def observe(self, call: Call, reported_warm: bool, incarnation: int) -> None:
        """Learn from an answer about warmth and restarts."""
        at = call.started + call.elapsed
        if self.ramp.restart(incarnation, at):
            self.publish_ramp("new incarnation")
        if call.comparable is not None:
            self.observe_latency(call.comparable, reported_warm)
        if self.ramp.looks_cold(reported_warm) and self.ramp.reset(at):
            self.metrics.count("cold_again")
            self.publish_ramp("cold again")
        if not self.ramp.warm:
            self.promote_if_leading(at)

    def observe_latency(self, elapsed: float, reported_warm: bool) -> None:
        """Hold an answer's latency against that of the service's warm upstreams."""
        if self.ramp.warm and reported_warm:
            self.pool.median.record(elapsed)
        self.ramp.observe(elapsed, self.pool.typical_latency(), reported_warm)

    def promote_if_leading(self, at: float) -> None:
        """Enter the next stage of slow start, if it is this instance that decides it."""
        if self.ramp.may_promote(at) and leads(self.name, self.shares):
            self.ramp.promote(at)
            self.publish_ramp("promoted")

    def publish_ramp(self, reason: str) -> None:
        """Tell the other instances of a new ramp state."""
        state = self.ramp.state
        json_log.info("ramp", upstream=self.name, reason=reason, stage=state.stage)
        self.pool.publish_ramp(self.name, state)

    def adopt_ramp(self, state: RampState) -> None:
        """Take a ramp state from another instance."""
        if self.ramp.adopt(state, now()):
            self.pool.handle_room()

    def forget_snapshot(self, snapshot: int) -> None:
        """Drop a snapshot that the upstream no longer has, and read its status soon."""
        if self.status is not None:
            held = [item for item in self.status["snapshots"] if item["id"] != snapshot]
            self.status["snapshots"] = held
        self.pool.handle_snapshots()
        self.poller.refresh.set()

    def note_newest(self, snapshot: int) -> None:
        """Read the status soon if the upstream has a snapshot that is not known here."""
        known = self.status["snapshots"] if self.status is not None else []
        if not known or known[-1]["id"] < snapshot:
            self.poller.refresh.set()

    def accept_status(self, status: messages.UpstreamStatus) -> None:
        """Learn from a status report: the upstream is there, in which state, with what."""
        at = now()
        if self.ramp.restart(status["incarnation"], at):
            self.publish_ramp("new incarnation")
        was_out = self.unsure or not self.health.available(at)
        self.health.succeed()
        self.unsure = False
        if was_out:
            self.pool.handle_room()
        if status["draining"] != self.reported_draining:
            json_log.info("upstream drain", upstream=self.name, draining=status["draining"])
            self.reported_draining = status["draining"]
        changed = self.status is None or self.status["snapshots"] != status["snapshots"]
        self.status = status
        if changed:
            self.pool.handle_snapshots()
