"""The part of a search that asks one group of shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from mimosahoist.core import tracing
from mimosahoist.core.tasks import now
from mimosahoist.query.search_context import WaitingTask
from mimosahoist.query.service import CallEvidence
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
REASON_NO_ROOM = "overloaded"
REASON_NO_UPSTREAM = "no-upstream"
REASON_COLD = "cold"
REASON_FAILED = "failed"
REASON_SNAPSHOT = "snapshot-gone"
REASON_REJECTED = "request-crashes-upstreams"


class ShardTask(WaitingTask):
    """Asks one shard group's upstreams until one answers, with hedges and retries."""

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
        """Send the call to the best upstream, or wait for room."""
        self.begin()
        upstream = self.reserve() if self.search.needs_exclusive() else self.pick()
        if upstream is not None:
            self.send(upstream)
        elif not self.open_calls:
            self.wait_for_room()

    def begin(self) -> None:
        """Count the task towards the budgets, once."""
        if not self.launched:
            self.launched = True
            self.service.retry_budget.earn()
            self.service.hedge_budget.earn()

    def has_room(self, at: float) -> bool:
        """Whether an upstream of the group has room."""
        return any(upstream.has_capacity(at) for upstream in self.group.upstreams)

    def pick(self) -> Upstream | None:
        """Choose an upstream that was not tried yet, else any."""
        pool = self.service.pool
        versions = self.service.versions_for(self.search.version)
        chosen = pool.pick(self.group.upstreams, versions, self.tried)
        if chosen is None and self.tried and not self.open_calls:
            chosen = pool.pick(self.group.upstreams, versions)
        return chosen

    def reserve(self) -> Upstream | None:
        """Get an upstream on which the call runs alone."""
        at = now()
        if self.reserved is not None and self.reserved.available(at):
            candidates = [self.reserved]
        else:
            versions = self.service.versions_for(self.search.version)
            allowed = [item for item in self.group.upstreams if item.version in versions]
            candidates = [item for item in allowed if item not in self.tried] or allowed
        for upstream in sorted(candidates, key=lambda item: item.in_flight):
            ready = upstream.reserve(self.search.request.request_id, at)
            if upstream.reserved_for == self.search.request.request_id:
                self.reserved = upstream
                return upstream if ready else None
        return None

    def wait_for_room(self) -> None:
        """Park until an upstream has room, if any can ever have."""
        at = now()
        available = [item for item in self.group.upstreams if item.available(at)]
        if not available:
            self.reason = REASON_NO_UPSTREAM
        elif all(not item.ramp.warm for item in available):
            self.reason = REASON_COLD
        else:
            self.reason = REASON_NO_ROOM
        self.service.park(self)

    def send(self, upstream: Upstream) -> None:
        """Send one attempt."""
        search = self.search
        self.attempts += 1
        self.tried.append(upstream)
        self.reason = REASON_TIMEOUT
        request = f"{search.request.request_id}.{self.number}.{self.attempts}"
        call = Call(
            messages.SEARCH_PATH,
            self.encode(request),
            request,
            search.request.deadline,
            self.handle_done,
        )
        self.open_calls[request] = call
        if search.request.span is not None:
            self.spans[request] = self.service.traces.child(
                search.request.span, "shard-call", upstream=upstream.name, attempt=self.attempts
            )
        self.service.metrics.count("shard_calls")
        upstream.submit(call)

    def encode(self, request: str) -> bytes:
        """Encode the message of one attempt."""
        search = self.search
        remaining = max(1, int((search.request.deadline - now()) * 1000))
        return b"".join(
            (
                search.encoded_prefix,
                self.group.encoded,
                b',"request":"%s","deadline_ms":%d}' % (request.encode(), remaining),
            )
        )

    def hedge(self) -> None:
        """Send a second attempt elsewhere if the budget and the limits allow it."""
        if self.finished or self.hedged or self.search.needs_exclusive():
            return
        if len(self.open_calls) != 1:
            return
        versions = self.service.versions_for(self.search.version)
        upstream = self.service.pool.pick(self.group.upstreams, versions, self.tried)
        if upstream is None or not self.service.hedge_budget.spend():
            return
        self.hedged = True
        self.service.metrics.count("hedges")
        self.send(upstream)

    def handle_done(self, call: Call) -> None:
        """Take the outcome of an attempt."""
        del self.open_calls[call.request]
        if self.spans:
            tracing.finish(self.spans.pop(call.request), outcome=type(call.outcome).__name__)
        alone = self.release_reserved()
        if isinstance(call.outcome, ExchangeFailure):
            self.handle_failure(call, call.outcome, alone)
        else:
            self.handle_reply(call, call.outcome)

    def release_reserved(self) -> bool:
        """End the reservation of an upstream; true if there was one."""
        if self.reserved is None:
            return False
        self.reserved.release(self.search.request.request_id)
        self.reserved = None
        return True

    def handle_failure(self, call: Call, failure: ExchangeFailure, alone: bool) -> None:
        """Handle an attempt without an answer."""
        self.note(call, failed=True)
        if failure.kind is FailureKind.BROKEN:
            guard = self.service.crash_guard
            guard.blame(self.search.request.fingerprint, call.upstream.name, alone)
        reason = REASON_TIMEOUT if failure.kind is FailureKind.TIMEOUT else REASON_FAILED
        self.retry(reason)

    def handle_reply(self, call: Call, reply: Reply) -> None:
        """Handle an answer, whatever its status."""
        if reply.status == messages.STATUS_OK:
            self.handle_answer(call, reply)
        elif reply.status == messages.STATUS_CONFLICT:
            call.upstream.discard_snapshot(self.plan.snapshot)
            self.service.metrics.count("snapshot_gone")
            self.retry_other_holder()
        elif reply.status == messages.STATUS_CANCELLED:
            self.retry(REASON_FAILED)
        elif reply.status == messages.STATUS_DEADLINE:
            self.retry(REASON_TIMEOUT)
        elif reply.status == messages.STATUS_REFUSED:
            self.service.metrics.count("upstream_refused")
            call.upstream.poller.poll_requested.set()
            self.retry(REASON_NO_ROOM)
        else:
            self.note(call, failed=True)
            self.retry(REASON_FAILED)

    def handle_answer(self, call: Call, reply: Reply) -> None:
        """Check an answer against the call before counting the shards as covered."""
        answer = self.verify(call, reply)
        if answer is None:
            self.service.metrics.count("answers_discarded")
            self.note(call, failed=True)
            self.retry(REASON_FAILED)
            return
        self.note(call, failed=False)
        call.upstream.observe(call, answer["warm"], answer["incarnation"])
        call.upstream.observe_newest_snapshot(answer["newest"])
        self.service.hedge_delay.record(call.elapsed)
        if self.finished:
            self.service.metrics.count("answers_late")
            return
        self.hits = answer["hits"]
        self.finish()

    def verify(self, call: Call, reply: Reply) -> messages.SearchResponse | None:
        """Decode an answer; None unless it answers this very call in full."""
        try:
            answer = messages.search_response_decoder.decode(reply.body)
        except msgspec.DecodeError:
            return None
        plan = self.plan
        echoed = (
            answer["request"] == call.request
            and answer["snapshot"] == plan.snapshot
            and answer["total"] == plan.total
            and answer["shards"] == self.group.shards
        )
        return answer if echoed else None

    def note(self, call: Call, failed: bool) -> None:
        """Record how an exchange went for moves between versions."""
        service = self.service
        if service.evidence_listeners:
            route = self.search.request.route
            service.note_evidence(
                CallEvidence(call.upstream.version, route, failed, call.latency_sample)
            )

    def retry(self, reason: str) -> None:
        """Try another upstream if budget, attempts and time allow."""
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
        """Whether one more attempt is allowed."""
        if not self.service.features.retries or self.attempts >= MAX_ATTEMPTS:
            return False
        if now() >= self.search.request.deadline:
            return False
        return self.service.retry_budget.spend()

    def retry_other_holder(self) -> None:
        """Ask another holder of the snapshot, or give the snapshot up."""
        if self.finished or self.open_calls:
            return
        if any(item not in self.tried for item in self.group.upstreams) and self.may_retry():
            self.launch()
            return
        self.reason = REASON_SNAPSHOT
        self.search.snapshot_lost = True
        self.finish()

    def finish(self) -> None:
        """End the task and stop attempts that are still out."""
        self.finished = True
        self.release_reserved()
        if self.hits is not None:
            self.cancel_losers()
        self.search.handle_finished(self)

    def cancel_losers(self) -> None:
        """Ask upstreams to stop attempts that lost."""
        if not self.service.features.cancel:
            return
        for call in self.open_calls.values():
            self.service.tasks.spawn(call.upstream.poller.cancel(call.request), "cancel")
