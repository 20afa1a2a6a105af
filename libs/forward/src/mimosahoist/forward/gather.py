"""Scatter-gather execution of one search over all shards of a route."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.completion import Progress, Verdict, decide, required_parts
from mimosahoist.forward.delegation import (
    FAILED_SHARDS_HEADER,
    PENDING_SHARDS_HEADER,
    REFUSED_SHARDS_HEADER,
    decode_shards,
)
from mimosahoist.forward.domain_reachability import REACHABILITY_INTERVAL_SECONDS
from mimosahoist.forward.engine import Availability, certainly_not_run
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    Failed,
    Gathered,
    NotRun,
    Refused,
    RequestOutcome,
    Unreached,
)

if TYPE_CHECKING:
    from mimosahoist.forward.delegation import Delegate, Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.upstream import Upstream

# Reserved before the soft deadline for returning the answer to the caller.
SOFT_DEADLINE_MARGIN_SECONDS = 0.008
DELEGATION_ROUND_TRIP_SECONDS = 0.02
# Cancelling a call closes its connection, so calls that are no longer needed get time to end.
SUPERSEDED_CALL_GRACE_SECONDS = 0.4
DELEGATED_CALL_GRACE_SECONDS = 0.1
MAX_LOGGED_SHARDS = 3
CAPACITY_RETRY_SECONDS = 0.02
RETRY_AFTER_RANGE_SECONDS = (0.05, 0.25)


class Part(NamedTuple):
    """Contribution of one shard to the merged answer.

    For shards whose parts arrive merged in one answer, the first one holds all records and
    signatures, and the others are empty.
    """

    body: bytes
    signatures: list[str]


class ShardSearch:
    """State of one shard within a search.

    Attributes
    ----------
    runs : int
        Failed calls that may have run.
    request_counted : bool
        Whether the request is counted in the service's repeat budget.
    next_send : float
        Loop time in seconds of the next hedge or retry.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.part: Part | None = None
        self.calls: dict[asyncio.Task[None], Upstream] = {}
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.request_counted = False
        self.next_send = 0.0


class ScatterGather:
    """Sends a request to one upstream of each shard and merges the parts.

    An overdue call is hedged at another upstream of the shard, within the repeat budget of the
    shard's service. A failed call is replaced immediately.
    """

    def __init__(
        self, engine: ForwardEngine, request: CallerRequest, delegation: Delegation | None = None
    ) -> None:
        self.engine = engine
        self.delegation = delegation
        self.request = request
        self.route = request.route
        self.shards = [ShardSearch(service) for service in self.route.shards]
        self.required = required_parts(len(self.shards), self.route.min_coverage)
        self.changed = asyncio.Event()
        self.soft_cutoff = request.soft_deadline - SOFT_DEADLINE_MARGIN_SECONDS
        self.hedged_services: list[str] = []
        self.ended = False

    async def run(self) -> RequestOutcome:
        """Run the search until `decide` ends it."""
        delay = self.engine.timing(self.route).hedge_delay(self.soft_cutoff - now())
        self.delegate(delay)
        for shard in self.shards:
            if not shard.calls:
                sent = self.send(shard)
                shard.next_send = now() + (delay if sent else CAPACITY_RETRY_SECONDS)
        try:
            while True:
                self.send_due()
                decision = decide(self.progress(), now())
                if decision.verdict is not Verdict.WAIT:
                    break
                await self.wait(decision.until)
        finally:
            self.cancel_outstanding()
            self.log_hedges(delay)
        return self.outcome(decision.verdict)

    def progress(self) -> Progress:
        """Snapshot of all shards, for `decide`."""
        answered = pending = uncertain = 0
        for shard in self.shards:
            if shard.part is not None:
                answered += 1
            elif self.has_reachable_call(shard):
                pending += 1
            elif shard.runs < self.route.max_attempts:
                availability = self.engine.availability(shard.service, shard.tried)
                pending += availability is Availability.SOON
                uncertain += availability is Availability.UNCERTAIN
        return Progress(
            answered,
            pending,
            uncertain,
            len(self.shards),
            self.required,
            self.request.arrived,
            self.soft_cutoff,
            self.request.deadline,
        )

    def has_reachable_call(self, shard: ShardSearch) -> bool:
        """Whether a call of a shard is in flight from which an answer can be expected."""
        unreachable = self.engine.reachability.unreachable_domains
        return any(
            upstream.record.failure_domain not in unreachable for upstream in shard.calls.values()
        )

    async def wait(self, until: float) -> None:
        """Wait until a call ends, the next send or the next look at reachability, or `until`."""
        until = min(until, now() + REACHABILITY_INTERVAL_SECONDS)
        for shard in self.shards:
            if shard.part is None and shard.next_send > now():
                until = min(until, shard.next_send)
        try:
            async with asyncio.timeout_at(until):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def send_due(self) -> None:
        """Hedge overdue calls, and retry shards for which no upstream had capacity."""
        at = now()
        for shard in self.shards:
            if shard.part is None and at >= shard.next_send:
                if shard.calls:
                    self.engine.record_overdue(shard.calls.values())
                    if self.send(shard):
                        self.hedged_services.append(shard.service)
                    shard.next_send = self.request.deadline
                else:
                    shard.next_send = at + CAPACITY_RETRY_SECONDS
                    self.send(shard)

    def send(self, shard: ShardSearch) -> bool:
        """Send one call for a shard if an upstream, the attempt limit and the budget allow it."""
        if shard.runs + len(shard.calls) >= self.route.max_attempts:
            return False
        upstream = self.engine.choose(self.route, shard.service, shard.tried)
        if upstream is None:
            return False
        budget = self.engine.fleet.budget(shard.service)
        if not shard.sends:
            self.count_request(shard)
        elif not budget.spend(now()):
            self.engine.metrics.count("budget_exhausted")
            return False
        shard.sends += 1
        shard.tried.add(upstream.record.name)
        task = self.engine.tasks.spawn(self.call(shard, upstream), f"call {shard.service}")
        shard.calls[task] = upstream
        return True

    def count_request(self, shard: ShardSearch) -> None:
        """Count the request once in the service's repeat budget, however often sending fails."""
        if not shard.request_counted:
            shard.request_counted = True
            self.engine.fleet.budget(shard.service).record_first_send(now())

    async def call(self, shard: ShardSearch, upstream: Upstream) -> None:
        """Make one call, and replace it if it failed."""
        task = asyncio.current_task()
        outcome: CallOutcome = Unreached("cancelled")
        try:
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
        finally:
            shard.calls.pop(task, None)
            self.changed.set()
        if isinstance(outcome, Unreached):
            shard.sends -= 1
        if isinstance(outcome, Answered) and outcome.is_success:
            part = Part(outcome.body, [outcome.headers[self.engine.header_names.signature]])
            shard.part = shard.part or part
            return
        if not certainly_not_run(outcome):
            shard.runs += 1
        self.log_failed_call(shard, upstream, outcome)
        if shard.part is None and not self.is_over:
            if isinstance(outcome, Refused):
                shard.tried.discard(upstream.record.name)
            if not shard.calls:
                self.send_replacement(shard)
            else:
                self.send(shard)

    def delegate(self, delay: float) -> None:
        """Delegate first calls of shards this failure domain lacks to domains that hold them."""
        if self.delegation is None:
            return
        by_name = {shard.service: shard for shard in self.shards}
        for delegate in self.delegation.assign_delegates(list(by_name)):
            group = [by_name[name] for name in delegate.shards]
            task = self.engine.tasks.spawn(
                self.call_delegate(delegate, group, delay), "call delegate"
            )
            for shard in group:
                self.count_request(shard)
                shard.sends = 1
                shard.calls[task] = delegate.target
                shard.next_send = now() + delay + DELEGATION_ROUND_TRIP_SECONDS

    async def call_delegate(
        self, delegate: Delegate, group: list[ShardSearch], delay: float
    ) -> None:
        """Collect the parts that another instance fetches, polling for those still pending."""
        task = asyncio.current_task()
        pending = {shard.service: shard for shard in group}
        outcome: CallOutcome = Unreached("cancelled")
        may_have_run = False
        try:
            outcome = await self.delegation.fetch_parts(delegate, self.request, delay, first=True)
            may_have_run = not certainly_not_run(outcome)
            while isinstance(outcome, Answered) and self.accept_update(outcome, pending, task):
                left = self.request.deadline - now()
                outcome = await self.delegation.fetch_parts(
                    delegate, self.request, left, first=False
                )
        finally:
            for shard in pending.values():
                shard.calls.pop(task, None)
            self.changed.set()
        for shard in pending.values():
            self.record_delegated_failure(shard, "", may_have_run, may_have_run)

    def accept_update(
        self, answer: Answered, pending: dict[str, ShardSearch], task: asyncio.Task[None] | None
    ) -> bool:
        """Process an answer of the other instance; return whether to poll again.

        Shards that the other instance has finished are removed from `pending`.
        """
        later = decode_shards(answer.headers.get(PENDING_SHARDS_HEADER, ""))
        failed = decode_shards(answer.headers.get(FAILED_SHARDS_HEADER, ""))
        refused = decode_shards(answer.headers.get(REFUSED_SHARDS_HEADER, ""))
        done = [pending.pop(name) for name in list(pending) if name not in later]
        for shard in done:
            shard.calls.pop(task, None)
        answered = [
            shard for shard in done if shard.service not in failed and shard.service not in refused
        ]
        if not self.accept_parts(answered, answer):
            for shard in answered:
                self.record_delegated_failure(shard, "", True, True)
        for shard in done:
            if shard.service in refused:
                self.engine.record_refusal(refused[shard.service])
                self.record_delegated_failure(shard, "", True, False)
            elif shard.service in failed:
                upstream = failed[shard.service]
                self.record_delegated_failure(shard, upstream, bool(upstream), bool(upstream))
        for name, shard in pending.items():
            shard.tried.add(later[name])
            if len(shard.calls) == 1:
                shard.next_send = min(shard.next_send, now())
        self.changed.set()
        return any(shard.part is None for shard in pending.values()) and not self.is_over

    def record_delegated_failure(
        self, shard: ShardSearch, upstream: str, was_sent: bool, may_have_run: bool
    ) -> None:
        """Record a shard's failed call at the other instance, and replace it if needed.

        Parameters
        ----------
        upstream : str
            Upstream that may have run the call, or "".
        was_sent : bool
            Whether the call arrived at an upstream, so that its replacement is a repeat.
        """
        shard.runs += may_have_run
        if upstream:
            shard.tried.add(upstream)
        if not was_sent:
            shard.sends -= 1
        if shard.part is None and not shard.calls and not self.is_over:
            self.send_replacement(shard)

    def accept_parts(self, shards: list[ShardSearch], answer: Answered) -> bool:
        """Store merged parts, replacing parts that single calls returned in the meantime.

        Returns False and stores nothing unless there is exactly one signature for each shard.
        """
        value = answer.headers.get(self.engine.header_names.part_signatures, "")
        signatures = [item.strip() for item in value.split(",") if item.strip()]
        if len(signatures) != len(shards):
            return False
        parts = Part(answer.body, signatures)
        for shard in shards:
            shard.part = parts
            parts = Part(b"", [])
        return True

    def send_replacement(self, shard: ShardSearch) -> None:
        """Send the next call of a shard now, or retry shortly if no upstream has capacity."""
        if not self.send(shard):
            shard.next_send = now() + CAPACITY_RETRY_SECONDS

    @property
    def is_over(self) -> bool:
        """Whether the search has ended or its deadline has passed, so that no part is needed."""
        return self.ended or now() >= self.request.deadline

    def cancel_outstanding(self) -> None:
        """Cancel calls whose parts are no longer needed, after a grace period."""
        self.ended = True
        loop = asyncio.get_running_loop()
        for shard in self.shards:
            for task, upstream in shard.calls.items():
                # The other instance applies its own grace period to its calls.
                delegated = upstream.record.service != shard.service
                loop.call_later(
                    DELEGATED_CALL_GRACE_SECONDS if delegated else SUPERSEDED_CALL_GRACE_SECONDS,
                    task.cancel,
                )

    def outcome(self, verdict: Verdict) -> RequestOutcome:
        """Outcome of the search for a verdict."""
        if verdict is Verdict.ANSWER:
            parts = [shard.part for shard in self.shards if shard.part is not None]
            body = self.engine.merger.merge([part.body for part in parts], self.route.result_limit)
            signatures = [signature for part in parts for signature in part.signatures]
            return Gathered(body, signatures, len(self.shards) - len(parts))
        missing = [shard for shard in self.shards if shard.part is None]
        idle = [shard for shard in missing if not shard.calls]
        reason = f"no answer of {len(missing)} shards, {len(idle)} without a call: "
        described = (idle or missing)[:MAX_LOGGED_SHARDS]
        reason += "; ".join(self.describe(shard) for shard in described)
        if not any(shard.runs or shard.calls or shard.part for shard in self.shards):
            return NotRun(
                reason,
                self.engine.rng.uniform(*RETRY_AFTER_RANGE_SECONDS),
                was_offered=any(shard.request_counted for shard in self.shards),
            )
        return Failed(reason, now() >= self.request.deadline, len(missing))

    def describe(self, shard: ShardSearch) -> str:
        """Explain for the log why a shard has no call in flight."""
        at = now()
        upstreams = self.engine.fleet.eligible_upstreams(shard.service)
        states = [f"{upstream.record.name} {upstream.state(at)}" for upstream in upstreams]
        tried = f"{shard.sends} sent, {shard.runs} run"
        return f"{shard.service} ({tried}): {', '.join(states) or 'none listed'}"

    def log_hedges(self, delay: float) -> None:
        """Log the hedged shards and the hedge delay, once per search."""
        if self.hedged_services:
            json_log.info(
                "calls doubled",
                request=self.request.id,
                services=self.hedged_services,
                after_milliseconds=round(delay * 1000, 1),
                budget_left=round(
                    self.engine.fleet.budget(self.hedged_services[0]).remaining(now()), 1
                ),
            )

    def log_failed_call(self, shard: ShardSearch, upstream: Upstream, outcome: CallOutcome) -> None:
        """Log a call that returned no part."""
        json_log.info(
            "call failed",
            request=self.request.id,
            service=shard.service,
            upstream=upstream.record.name,
            outcome=type(outcome).__name__,
            detail=str(outcome)[:120],
            budget_left=round(self.engine.fleet.budget(shard.service).remaining(now()), 1),
        )
