"""Part of a search that queries one shard group: sending, hedging, retries, verification."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import tracing
from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.tasks import now
from mimosahoist.query.search_context import WaitingTask
from mimosahoist.query.service import CallObservation
from mimosahoist.upstream import messages
from mimosahoist.upstream.call import Call
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind

if TYPE_CHECKING:
    from opentelemetry.trace import Span

    from mimosahoist.query.plan import Plan, ShardGroup
    from mimosahoist.query.search_context import SearchContext
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.transport import Reply
    from mimosahoist.upstream.upstream import Upstream

MAX_ATTEMPTS = 4

REASON_TIMEOUT = "timeout"
REASON_OVERLOADED = "overloaded"
REASON_NO_UPSTREAM = "no-upstream"
REASON_COLD = "cold"
REASON_FAILED = "failed"
REASON_SNAPSHOT_GONE = "snapshot-gone"
REASON_REJECTED = "request-crashes-upstreams"


class ShardTask(WaitingTask):
    """Queries the upstreams of one shard group until one answers, with hedging and retries."""

    def __init__(
        self,
        search: SearchContext,
        service: Service,
        plan: Plan,
        group: ShardGroup,
        number: int,
    ) -> None:
        self.search = search
        self.plan = plan
        self.service = service
        self.group = group
        self.number = number
        self.attempts = 0
        self.tried: list[Upstream] = []
        self.open_calls: dict[str, Call] = {}
        self.spans: dict[str, Span] = {}
        self.hedged = False
        self.launched = False
        self.finished = False
        self.hits: list[messages.Hit] | None = None
        self.reason = REASON_TIMEOUT
        self.reserved: Upstream | None = None

    def launch(self) -> None:
        """Send the call to the best upstream, or wait for free capacity."""
        self.earn_budgets()
        upstream = (
            self.reserve_upstream() if self.search.needs_exclusive() else self.pick_upstream()
        )
        if upstream is not None:
            self.send(upstream)
        elif not self.open_calls:
            self.wait_for_capacity()

    def earn_budgets(self) -> None:
        """Credit the retry and hedge budgets, once per task."""
        if not self.launched:
            self.launched = True
            self.service.retry_budget.earn()
            self.service.hedge_budget.earn()

    def has_capacity(self, at: float) -> bool:
        """Return whether an upstream of the group has free capacity."""
        return any(upstream.has_capacity(at) for upstream in self.group.upstreams)

    def pick_upstream(self) -> Upstream | None:
        """Choose an upstream, preferring those that have not been tried yet."""
        pool = self.service.pool
        versions = self.service.allowed_versions(self.search.version)
        chosen = pool.pick(self.group.upstreams, versions, self.tried)
        if chosen is None and self.tried and not self.open_calls:
            chosen = pool.pick(self.group.upstreams, versions)
        return chosen

    def reserve_upstream(self) -> Upstream | None:
        """Reserve an upstream for exclusive use; return it once nothing else is in flight."""
        at = now()
        if self.reserved is not None and self.reserved.available(at):
            candidates = [self.reserved]
        else:
            versions = self.service.allowed_versions(self.search.version)
            allowed = [item for item in self.group.upstreams if item.version in versions]
            candidates = [item for item in allowed if item not in self.tried] or allowed
        for upstream in sorted(candidates, key=lambda item: item.in_flight):
            ready = upstream.reserve(self.search.request.request_id, at)
            if upstream.reserved_for == self.search.request.request_id:
                self.reserved = upstream
                return upstream if ready else None
        return None

    def wait_for_capacity(self) -> None:
        """Park the task until an upstream has free capacity, and record why it waits."""
        at = now()
        available = [item for item in self.group.upstreams if item.available(at)]
        if not available:
            self.reason = REASON_NO_UPSTREAM
        elif all(not item.ramp.warm for item in available):
            self.reason = REASON_COLD
        else:
            self.reason = REASON_OVERLOADED
        self.service.park(self)

    def send(self, upstream: Upstream) -> None:
        """Send one attempt to an upstream."""
        search = self.search
        self.attempts += 1
        self.tried.append(upstream)
        self.reason = REASON_TIMEOUT
        attempt_id = f"{search.request.request_id}.{self.number}.{self.attempts}"
        call = Call(
            messages.SEARCH_PATH,
            self.encode_call(attempt_id),
            attempt_id,
            search.request.deadline,
            self.handle_outcome,
        )
        self.open_calls[attempt_id] = call
        if search.request.span is not None:
            self.spans[attempt_id] = self.service.traces.child(
                search.request.span, "shard-call", upstream=upstream.name, attempt=self.attempts
            )
        self.service.metrics.count("shard_calls")
        upstream.submit(call)

    def encode_call(self, attempt_id: str) -> bytes:
        """Encode the request body of one attempt."""
        search = self.search
        remaining = max(1, int((search.request.deadline - now()) * 1000))
        return b"".join(
            (
                search.encoded_prefix,
                self.group.encoded,
                b',"request":"%s","deadline_ms":%d}' % (attempt_id.encode(), remaining),
            )
        )

    def hedge(self) -> None:
        """Send a second attempt to another upstream if the budget and the limits allow it."""
        if self.finished or self.hedged or self.search.needs_exclusive():
            return
        if len(self.open_calls) != 1:
            return
        versions = self.service.allowed_versions(self.search.version)
        upstream = self.service.pool.pick(self.group.upstreams, versions, self.tried)
        if upstream is None or not self.service.hedge_budget.spend():
            return
        self.hedged = True
        self.service.metrics.count("hedges")
        self.send(upstream)

    def handle_outcome(self, call: Call) -> None:
        """Process the outcome of an attempt."""
        del self.open_calls[call.request]
        if self.spans:
            tracing.finish(self.spans.pop(call.request), outcome=type(call.outcome).__name__)
        exclusive = self.release_reservation()
        if isinstance(call.outcome, ExchangeFailure):
            self.handle_failure(call, call.outcome, exclusive)
        else:
            self.handle_reply(call, call.outcome)

    def release_reservation(self) -> bool:
        """Release the reserved upstream; return whether there was one."""
        if self.reserved is None:
            return False
        self.reserved.release(self.search.request.request_id)
        self.reserved = None
        return True

    def handle_failure(self, call: Call, failure: ExchangeFailure, exclusive: bool) -> None:
        """Handle an attempt that ended without a reply."""
        self.record_observation(call, failed=True)
        if failure.kind is FailureKind.BROKEN:
            guard = self.service.crash_guard
            guard.record_crash(self.search.request.fingerprint, call.upstream.name, exclusive)
        reason = REASON_TIMEOUT if failure.kind is FailureKind.TIMEOUT else REASON_FAILED
        self.retry(reason)

    def handle_reply(self, call: Call, reply: Reply) -> None:
        """Handle a reply according to its status."""
        if reply.status == messages.STATUS_OK:
            self.handle_response(call, reply)
        elif reply.status == messages.STATUS_CONFLICT:
            call.upstream.discard_snapshot(self.plan.snapshot)
            self.service.metrics.count("snapshot_gone")
            self.retry_after_snapshot_gone()
        elif reply.status == messages.STATUS_CANCELLED:
            self.retry(REASON_FAILED)
        elif reply.status == messages.STATUS_DEADLINE:
            self.retry(REASON_TIMEOUT)
        elif reply.status == messages.STATUS_REFUSED:
            self.service.metrics.count("upstream_refused")
            call.upstream.poller.poll_requested.set()
            self.retry(REASON_OVERLOADED)
        else:
            self.record_observation(call, failed=True)
            self.retry(REASON_FAILED)

    def handle_response(self, call: Call, reply: Reply) -> None:
        """Verify that a response matches the call before its shards count as covered."""
        response = self.decode_verified(call, reply)
        if response is None:
            self.service.metrics.count("answers_discarded")
            self.record_observation(call, failed=True)
            self.retry(REASON_FAILED)
            return
        self.record_observation(call, failed=False)
        call.upstream.observe(call, response["warm"], response["incarnation"])
        call.upstream.observe_newest_snapshot(response["newest"])
        self.service.hedge_delay.record(call.elapsed)
        if self.finished:
            self.service.metrics.count("answers_late")
            return
        self.hits = response["hits"]
        self.finish()

    def decode_verified(self, call: Call, reply: Reply) -> messages.SearchResponse | None:
        """Decode a response; return None unless it matches this call in full.

        Upstreams echo the attempt id, snapshot and shards, so a response that belongs to another
        call is detected.
        """
        try:
            response = messages.search_response_decoder.decode(reply.body)
        except DECODE_ERRORS:
            return None
        plan = self.plan
        matches = (
            response["request"] == call.request
            and response["snapshot"] == plan.snapshot
            and response["total"] == plan.total
            and response["shards"] == self.group.shards
        )
        return response if matches else None

    def record_observation(self, call: Call, failed: bool) -> None:
        """Report the outcome of a call, used to compare versions during a move."""
        service = self.service
        if service.observation_listeners:
            route = self.search.request.route
            service.publish_observation(
                CallObservation(call.upstream.version, route, failed, call.latency_sample)
            )

    def retry(self, reason: str) -> None:
        """Retry if the budget, the number of attempts and the deadline allow it."""
        if self.finished or self.open_calls:
            return
        self.reason = reason
        if self.service.crash_guard.is_rejected(self.search.request.fingerprint):
            self.reason = REASON_REJECTED
            self.finish()
            return
        if not self.may_retry():
            self.finish()
            return
        self.service.metrics.count("retries")
        self.launch()

    def may_retry(self) -> bool:
        """Return whether another attempt is allowed; take a token from the retry budget if so."""
        if not self.service.features.retries or self.attempts >= MAX_ATTEMPTS:
            return False
        if now() >= self.search.request.deadline:
            return False
        return self.service.retry_budget.spend()

    def retry_after_snapshot_gone(self) -> None:
        """Retry on an untried upstream of the group, or report the snapshot as lost."""
        if self.finished or self.open_calls:
            return
        if any(item not in self.tried for item in self.group.upstreams) and self.may_retry():
            self.launch()
            return
        self.reason = REASON_SNAPSHOT_GONE
        self.search.snapshot_lost = True
        self.finish()

    def finish(self) -> None:
        """Finish the task, and cancel other attempts if one has succeeded."""
        self.finished = True
        self.release_reservation()
        if self.hits is not None:
            self.cancel_open_calls()
        self.search.handle_task_finished(self)

    def cancel_open_calls(self) -> None:
        """Ask upstreams to cancel the attempts that are still open."""
        if not self.service.features.cancel:
            return
        for call in self.open_calls.values():
            self.service.tasks.spawn(call.upstream.poller.cancel(call.request), "cancel")
