"""Status polls, probes and cancellations of one upstream over its control connection."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec

from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.tasks import now
from mimosahoist.upstream import messages
from mimosahoist.upstream.call import Call, CallTarget
from mimosahoist.upstream.quota import is_leader
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind, Reply

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.core.tasks import TaskSet
    from mimosahoist.platform.kinds import ServiceSpec
    from mimosahoist.upstream.health import Health
    from mimosahoist.upstream.quota import ShareView
    from mimosahoist.upstream.ramp import Ramp
    from mimosahoist.upstream.transport import Connection, Transport

STATUS_INTERVAL_SECONDS = 1.0
FAST_STATUS_INTERVAL_SECONDS = 0.25
STATUS_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 2.0
MIN_WARM_REPORT_SECONDS = 3.0


class PolledUpstream(CallTarget):
    """Interface of an upstream towards its status poller.

    Attributes
    ----------
    restart_suspected : bool
        Whether the upstream may have restarted since its last status report.
    status : UpstreamStatus or None
        Last status report.
    """

    address: str
    spec: ServiceSpec
    transport: Transport
    tasks: TaskSet
    metrics: Metrics
    shares: ShareView
    ramp: Ramp
    health: Health
    restart_suspected: bool
    status: messages.UpstreamStatus | None

    @property
    @abstractmethod
    def is_active(self) -> bool:
        """Whether the upstream's version receives traffic or is warmed up for it."""

    @abstractmethod
    def available(self, at: float) -> bool:
        """Return whether new calls may be sent to the upstream at all."""

    @abstractmethod
    def has_capacity(self, at: float) -> bool:
        """Return whether one more call may be sent now."""

    @abstractmethod
    def submit(self, call: Call) -> None:
        """Send a call."""

    @abstractmethod
    def observe(self, call: Call, reported_warm: bool, incarnation: int) -> None:
        """Update the ramp from a reply: whether the upstream is warm or has restarted."""

    @abstractmethod
    def promote_if_leader(self, at: float) -> None:
        """Enter the next slow-start stage if allowed and if this instance is the leader."""

    @abstractmethod
    def accept_status(self, status: messages.UpstreamStatus) -> None:
        """Apply a status report."""

    @abstractmethod
    def handle_closed(self) -> None:
        """Handle an idle connection closed by the upstream, which may have restarted."""

    @abstractmethod
    def handle_failure(self, failure: ExchangeFailure, at: float) -> None:
        """Record a failed exchange."""


class StatusPoller:
    """Polls the status of an upstream, and probes the upstream while it warms up."""

    def __init__(self, upstream: PolledUpstream) -> None:
        self.upstream = upstream
        self.metrics = upstream.metrics
        self.control_connection: Connection | None = None
        self.control_lock = asyncio.Lock()
        self.poll_requested = asyncio.Event()
        self.warm_since: float | None = None

    async def start(self) -> None:
        """Open the control connection and start polling."""
        upstream = self.upstream
        self.control_connection = upstream.transport.open(
            upstream.address, False, upstream.handle_closed
        )
        upstream.tasks.keep_running(self.poll_status, f"status {upstream.name}")

    def close(self) -> None:
        """Close the control connection; the upstream has already ended the polling task."""
        if self.control_connection is not None:
            self.control_connection.close()

    async def cancel(self, request: str) -> None:
        """Ask the upstream to cancel a call unless the control connection is busy."""
        if self.control_lock.locked():
            return
        body = msgspec.json.encode({"request": request})
        await self.exchange_control(messages.CANCEL_PATH, body, CANCEL_TIMEOUT_SECONDS)
        self.metrics.count("cancel_sent")

    async def exchange_control(self, path: str, body: bytes, timeout: float) -> Reply | None:
        """Send a request over the control connection; return None if there is no reply."""
        async with self.control_lock:
            try:
                return await self.control_connection.exchange(path, body, timeout)
            except ExchangeFailure as failure:
                if failure.kind is not FailureKind.TIMEOUT or path == messages.STATUS_PATH:
                    self.upstream.handle_failure(failure, now())
                return None

    async def poll_status(self) -> None:
        """Poll the status periodically, and probe while the upstream warms up."""
        while True:
            reply = await self.exchange_control(messages.STATUS_PATH, b"", STATUS_TIMEOUT_SECONDS)
            if reply is not None and reply.status == messages.STATUS_OK:
                self.handle_status_reply(reply)
            if self.needs_warm_up():
                await self.warm_up()
            await self.wait_for_next_poll()

    async def wait_for_next_poll(self) -> None:
        """Wait until the next poll is due or one is requested."""
        self.poll_requested.clear()
        timer = asyncio.get_running_loop().call_later(self.poll_interval(), self.poll_requested.set)
        try:
            await self.poll_requested.wait()
        finally:
            timer.cancel()

    def needs_warm_up(self) -> bool:
        """Return whether this instance has to gather evidence that the upstream is warm."""
        upstream = self.upstream
        cold = not upstream.ramp.warm and upstream.available(now())
        return upstream.is_active and cold and is_leader(upstream.name, upstream.shares)

    def poll_interval(self) -> float:
        """Return the seconds until the next poll."""
        upstream = self.upstream
        if (
            upstream.ramp.warm
            and not upstream.restart_suspected
            and upstream.health.available(now())
        ):
            return STATUS_INTERVAL_SECONDS
        return FAST_STATUS_INTERVAL_SECONDS

    def handle_status_reply(self, reply: Reply) -> None:
        """Decode a status report and apply it."""
        try:
            status = messages.status_decoder.decode(reply.body)
        except DECODE_ERRORS:
            self.metrics.count("status_not_understood")
            return
        if not status["warm"]:
            self.warm_since = None
        elif self.warm_since is None:
            self.warm_since = now()
        self.upstream.accept_status(status)

    async def warm_up(self) -> None:
        """Gather evidence that the upstream is warm without waiting for callers' requests.

        An upstream of a search service receives a probe search. One that runs operations cannot
        be probed; once its reports have been warm for longer than reports lag, each counts as one
        successful reply.
        """
        at = now()
        if self.upstream.spec["kind"] == "search":
            await self.probe()
        elif self.warm_since is not None and at - self.warm_since > MIN_WARM_REPORT_SECONDS:
            self.upstream.ramp.successes += 1
            self.upstream.promote_if_leader(at)

    async def probe(self) -> None:
        """Send a probe search if the upstream's current limit allows one."""
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
            deadline_ms=int(PROBE_TIMEOUT_SECONDS * 1000),
        )
        finished = asyncio.get_running_loop().create_future()
        body = msgspec.json.encode(call)
        self.metrics.count("probe_sent")
        self.upstream.submit(
            Call(
                messages.SEARCH_PATH,
                body,
                call["request"],
                now() + PROBE_TIMEOUT_SECONDS,
                lambda done: finished.done() or finished.set_result(done),
            )
        )
        done = await finished
        if isinstance(done.outcome, Reply) and done.outcome.status == messages.STATUS_OK:
            self.handle_probe_reply(done, done.outcome)

    def handle_probe_reply(self, call: Call, reply: Reply) -> None:
        """Update the ramp from the reply to a probe."""
        try:
            response = messages.search_response_decoder.decode(reply.body)
        except DECODE_ERRORS:
            self.metrics.count("answer_not_understood")
            return
        self.upstream.observe(call, response["warm"], response["incarnation"])
