"""Scatter-gather execution of one search over all shards of a route."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.return_time import return_after_wait
from mimosahoist.forward.completion import (
    Progress,
    Verdict,
    answer_cutoff,
    decide,
    required_parts,
)
from mimosahoist.forward.delegated_gather import DelegatedGather, DelegatingSearch
from mimosahoist.forward.domain_reachability import REACHABILITY_INTERVAL_SECONDS
from mimosahoist.forward.engine import (
    SUPERSEDED_CALL_GRACE_SECONDS,
    Availability,
    certainly_not_run,
)
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    Failed,
    Gathered,
    LossKind,
    Lost,
    NotRun,
    Refused,
    RequestOutcome,
    Unreached,
)
from mimosahoist.forward.shard_search import Part, ShardSearch

if TYPE_CHECKING:
    from mimosahoist.forward.delegation import Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.upstream import Upstream

# Reserved before the soft deadline for returning the answer to the caller.
SOFT_DEADLINE_MARGIN_SECONDS = 0.008
DELEGATED_CALL_GRACE_SECONDS = 0.1
MAX_LOGGED_SHARDS = 3
CAPACITY_RETRY_SECONDS = 0.02


class ScatterGather(DelegatingSearch):
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
        self.unanswered = list(self.shards)
        self.required = required_parts(len(self.shards), self.route.min_coverage)
        self.changed = asyncio.Event()
        self.soft_cutoff = request.soft_deadline - SOFT_DEADLINE_MARGIN_SECONDS
        self.wait_cutoff = answer_cutoff(request.arrived, self.soft_cutoff, request.deadline)
        self.hedged_services: list[str] = []
        self.ended = False

    async def run(self) -> RequestOutcome:
        """Run the search until `decide` ends it."""
        if self.engine.fleet.is_restricted(now()):
            possible_at = self.coverage_possible_at()
            if possible_at > self.wait_cutoff:
                return self.reject_restricted(possible_at)
        rejected = self.engine.gate.check(self.request, self.route.shards)
        if rejected is not None:
            return rejected
        for shard in self.shards:
            shard.reserved = self.engine.gate.reserve(shard.service)
        delay = self.engine.timing(self.route).hedge_delay(self.soft_cutoff - now())
        if self.delegation is not None:
            DelegatedGather(self, self.delegation).start(delay)
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

    def coverage_possible_at(self) -> float:
        """Loop time from which announcements allow calls to enough shards."""
        callable_at = sorted(self.engine.callable_at(shard.service) for shard in self.shards)
        return callable_at[self.required - 1]

    def reject_restricted(self, possible_at: float) -> NotRun:
        """Reject a search before anything is sent; other instances may have shares left."""
        return NotRun(
            "upstreams of too many shards have asked for a wait or announced a limit",
            return_after_wait(possible_at, now(), self.engine.rng),
            needs_new_connection=True,
        )

    def progress(self) -> Progress:
        """Snapshot of all shards, for `decide`."""
        pending = uncertain = 0
        missing = self.missing_shards()
        for shard in missing:
            if self.has_reachable_call(shard):
                pending += 1
            elif shard.runs < self.route.max_attempts:
                availability = self.engine.availability(
                    shard.service, shard.tried, self.wait_cutoff
                )
                pending += availability is Availability.SOON
                uncertain += availability is Availability.UNCERTAIN
        return Progress(
            len(self.shards) - len(missing),
            pending,
            uncertain,
            len(self.shards),
            self.required,
            self.request.arrived,
            self.soft_cutoff,
            self.request.deadline,
        )

    def missing_shards(self) -> list[ShardSearch]:
        """Shards without a part."""
        # A shard that has a part keeps one, so that later calls need not look at it again.
        self.unanswered = [shard for shard in self.unanswered if shard.part is None]
        return self.unanswered

    def has_reachable_call(self, shard: ShardSearch) -> bool:
        """Whether a call of a shard is in flight from which an answer can be expected."""
        unreachable = self.engine.reachability.unreachable_domains
        if not unreachable:
            return bool(shard.calls)
        return any(
            upstream.record.failure_domain not in unreachable for upstream in shard.calls.values()
        )

    async def wait(self, until: float) -> None:
        """Wait until a call ends, the next send or the next look at reachability, or `until`."""
        at = now()
        until = min(until, at + REACHABILITY_INTERVAL_SECONDS)
        for shard in self.unanswered:
            if at < shard.next_send < until:
                until = shard.next_send
        try:
            async with asyncio.timeout_at(until):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def send_due(self) -> None:
        """Hedge overdue calls, and retry shards for which no upstream had capacity."""
        at = now()
        for shard in self.missing_shards():
            if at >= shard.next_send:
                if shard.calls:
                    self.engine.record_overdue(shard.calls.values())
                    if self.engine.is_behind(shard.service):
                        self.engine.metrics.count("hedges_withheld")
                    elif self.send(shard):
                        self.hedged_services.append(shard.service)
                    shard.next_send = self.request.deadline
                else:
                    shard.next_send = at + CAPACITY_RETRY_SECONDS
                    self.send(shard)

    def send(self, shard: ShardSearch) -> bool:
        """Send one call for a shard if an upstream, the attempt limit and the budget allow it."""
        if shard.runs + len(shard.calls) >= self.route.max_attempts:
            return False
        upstream = self.engine.choose(
            self.route, shard.service, shard.tried, self.request.soft_deadline
        )
        if upstream is None:
            return False
        budget = self.engine.fleet.budget(shard.service)
        if not shard.sends:
            self.count_request(shard)
        elif not budget.spend(now()):
            self.engine.metrics.count("budget_exhausted")
            return False
        else:
            self.release_repeats(shard, 1.0)
        shard.sends += 1
        shard.tried.add(upstream.record.name)
        task = self.engine.tasks.spawn(self.call(shard, upstream), f"call {shard.service}")
        shard.calls[task] = upstream
        return True

    def release_repeats(self, shard: ShardSearch, repeats: float) -> None:
        """Return repeats that were set aside for a shard, up to a number."""
        released = min(shard.reserved, repeats)
        shard.reserved -= released
        self.engine.gate.release(shard.service, released)

    def count_request(self, shard: ShardSearch) -> None:
        """Count the request once in the service's repeat budget, however often sending fails."""
        if not shard.request_counted:
            shard.request_counted = True
            self.engine.fleet.budget(shard.service).record_first_send(now())

    async def call(self, shard: ShardSearch, upstream: Upstream) -> None:
        """Make one call, and replace it if it failed."""
        task = asyncio.current_task()
        outcome: CallOutcome = Lost(LossKind.ABANDONED)
        try:
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
        finally:
            shard.calls.pop(task, None)
            shard.runs += not certainly_not_run(outcome)
            self.changed.set()
        if isinstance(outcome, Unreached):
            shard.sends -= 1
        if isinstance(outcome, Answered) and outcome.is_success:
            part = Part(outcome.body, [outcome.headers[self.engine.header_names.signature]])
            shard.part = shard.part or part
            self.release_repeats(shard, shard.reserved)
            return
        self.log_failed_call(shard, upstream, outcome)
        if shard.part is None and not self.is_over:
            if isinstance(outcome, Refused):
                shard.tried.discard(upstream.record.name)
            if not shard.calls:
                self.send_replacement(shard)
            else:
                self.send(shard)

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
            self.release_repeats(shard, shard.reserved)
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
        missing = self.missing_shards()
        idle = [shard for shard in missing if not shard.calls]
        reason = f"no answer of {len(missing)} shards, {len(idle)} without a call: "
        described = (idle or missing)[:MAX_LOGGED_SHARDS]
        reason += "; ".join(self.describe(shard) for shard in described)
        if not any(shard.runs or shard.calls or shard.part for shard in self.shards):
            return NotRun(
                reason,
                return_after_wait(self.coverage_possible_at(), now(), self.engine.rng),
                was_attempted=any(shard.request_counted for shard in self.shards),
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
