"""Status reports, probes and cancels of one upstream, over its control connection."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

from mimosahoist.core.tasks import now
from mimosahoist.upstream import messages
from mimosahoist.upstream.call import Call, CallTarget
from mimosahoist.upstream.quota import leads
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind, Reply

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.core.tasks import TaskSet
    from mimosahoist.platform.kinds import ServiceSpec
    from mimosahoist.upstream.health import Health
    from mimosahoist.upstream.quota import ShareView
    from mimosahoist.upstream.ramp import Ramp
    from mimosahoist.upstream.transport import Connection, Transport

STATUS_INTERVAL = 1.0
STATUS_INTERVAL_EJECTED = 0.25
STATUS_TIMEOUT = 1.0
CANCEL_TIMEOUT = 0.5
PROBE_TIMEOUT = 2.0
WARM_REPORT_SECONDS = 3.0


class PolledUpstream(CallTarget):
    """An upstream as its status poller uses it.

    Attributes
    ----------
    unsure : bool
        Whether it may have restarted since its last report.
    status : UpstreamStatus or None
        Its last report.
    """

    address: str
    spec: ServiceSpec
    transport: Transport
    tasks: TaskSet
    metrics: Metrics
    shares: ShareView
    ramp: Ramp
    health: Health
    unsure: bool
    status: messages.UpstreamStatus | None

    @property
    @abstractmethod
    def wanted(self) -> bool:
        """Whether its version gets traffic or is warmed up for it."""

    @abstractmethod
    def available(self, at: float) -> bool:
        """Whether new work may go to it at all."""

    @abstractmethod
    def has_capacity(self, at: float) -> bool:
        """Whether one more call may be sent now."""

    @abstractmethod
    def submit(self, call: Call) -> None:
        """Send a call."""

    @abstractmethod
    def observe(self, call: Call, reported_warm: bool, incarnation: int) -> None:
        """Learn from an answer about warmth and restarts."""

    @abstractmethod
    def promote_if_leading(self, at: float) -> None:
        """Enter the next stage of slow start, if it is this instance that decides it."""

    @abstractmethod
    def accept_status(self, status: messages.UpstreamStatus) -> None:
        """Learn from a status report."""

    @abstractmethod
    def handle_closed(self) -> None:
        """The upstream closed an idle connection: it may have restarted."""

    @abstractmethod
    def handle_failure(self, failure: ExchangeFailure, at: float) -> None:
        """Count a failed exchange."""


class StatusPoller:
    """The task that polls an upstream's status, and probes it while it warms up."""

    def __init__(self, upstream: PolledUpstream) -> None:
        self.upstream = upstream
        self.metrics = upstream.metrics
        self.control: Connection | None = None
        self.control_lock = asyncio.Lock()
        self.poll_requested = asyncio.Event()
        self.warm_since: float | None = None

    async def start(self) -> None:
        """Open the control connection and begin to poll."""
        upstream = self.upstream
        self.control = upstream.transport.open(upstream.address, False, upstream.handle_closed)
        upstream.tasks.spawn(self.poll_status(), f"status {upstream.name}")

    def close(self) -> None:
        """Close the control connection; the upstream has ended the task."""
        if self.control is not None:
            self.control.close()

    async def cancel(self, request: str) -> None:
        """Ask the upstream to stop a call, if the control connection is free."""
        if self.control_lock.locked():
            return
        body = msgspec.json.encode({"request": request})
        await self.exchange_control(messages.CANCEL_PATH, body, CANCEL_TIMEOUT)
        self.metrics.count("cancel_sent")

    async def exchange_control(self, path: str, body: bytes, timeout: float) -> Reply | None:
        """Exchange over the control connection; None if there is no answer."""
        async with self.control_lock:
            try:
                return await self.control.exchange(path, body, timeout)
            except ExchangeFailure as failure:
                if failure.kind is not FailureKind.TIMEOUT or path == messages.STATUS_PATH:
                    self.upstream.handle_failure(failure, now())
                return None

    async def poll_status(self) -> None:
        """Read the status at intervals, and probe while the upstream warms up."""
        while True:
            reply = await self.exchange_control(messages.STATUS_PATH, b"", STATUS_TIMEOUT)
            if reply is not None and reply.status == messages.STATUS_OK:
                self.take_status(reply)
            if self.needs_warm_up():
                await self.warm_up()
            await self.rest()

    async def rest(self) -> None:
        """Wait for the time of the next poll, or until someone wants one at once."""
        self.poll_requested.clear()
        timer = asyncio.get_running_loop().call_later(self.poll_interval(), self.poll_requested.set)
        try:
            await self.poll_requested.wait()
        finally:
            timer.cancel()

    def needs_warm_up(self) -> bool:
        """Whether it is this instance's task to gather evidence of warmth."""
        upstream = self.upstream
        cold = not upstream.ramp.warm and upstream.available(now())
        return upstream.wanted and cold and leads(upstream.name, upstream.shares)

    def poll_interval(self) -> float:
        """Seconds until the next poll."""
        upstream = self.upstream
        if upstream.ramp.warm and not upstream.unsure and upstream.health.available(now()):
            return STATUS_INTERVAL
        return STATUS_INTERVAL_EJECTED

    def take_status(self, reply: Reply) -> None:
        """Take a status report in."""
        try:
            status = messages.status_decoder.decode(reply.body)
        except msgspec.DecodeError:
            self.metrics.count("status_not_understood")
            return
        if not status["warm"]:
            self.warm_since = None
        elif self.warm_since is None:
            self.warm_since = now()
        self.upstream.accept_status(status)

    async def warm_up(self) -> None:
        """Gather evidence of warmth without waiting for callers' requests.

        A searcher gets a probe search. A service that runs operations cannot be probed, so a
        report that has been warm for longer than reports lag counts as one answer.
        """
        at = now()
        if self.upstream.spec["kind"] == "search":
            await self.probe()
        elif self.warm_since is not None and at - self.warm_since > WARM_REPORT_SECONDS:
            self.upstream.ramp.successes += 1
            self.upstream.promote_if_leading(at)

    async def probe(self) -> None:
        """Run a probe search within the upstream's present limit."""
        if (
            self.upstream.status is None
            or not self.upstream.status["snapshots"]
            or not self.upstream.has_capacity(now())
        ):
            return
        snapshot = self.upstream.status["snapshots"][-1]
        call = messages.SearchCall(
            request=f"probe-{self.upstream.name}",
            query={"text": ""},
            route="probe",
            snapshot=snapshot["id"],
            shards=snapshot["shards"],
            limit=1,
            deadline_ms=int(PROBE_TIMEOUT * 1000),
        )
        finished = asyncio.get_running_loop().create_future()
        body = msgspec.json.encode(call)
        self.metrics.count("probe_sent")
        self.upstream.submit(
            Call(
                messages.SEARCH_PATH,
                body,
                call["request"],
                now() + PROBE_TIMEOUT,
                lambda done: finished.done() or finished.set_result(done),
            )
        )
        done = await finished
        if isinstance(done.outcome, Reply) and done.outcome.status == messages.STATUS_OK:
            self.take_probe_answer(done, done.outcome)

    def take_probe_answer(self, call: Call, reply: Reply) -> None:
        """Learn from the answer to a probe."""
        try:
            answer = messages.search_answer_decoder.decode(reply.body)
        except msgspec.DecodeError:
            self.metrics.count("answer_not_understood")
            return
        self.upstream.observe(call, answer["warm"], answer["incarnation"])
