"""Forwarding of a plain request to one upstream, with retries and hedging."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.return_time import return_after_wait
from mimosahoist.forward.engine import SUPERSEDED_CALL_GRACE_SECONDS, certainly_not_run
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    Failed,
    Forwarded,
    LossKind,
    Lost,
    NotRun,
    RequestOutcome,
    Unreached,
)
from mimosahoist.forward.routing import pick_service

if TYPE_CHECKING:
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.upstream import Upstream

# Statuses by which callers take it that their request has not run and never will.
STATUSES_PROMISING_NOT_RUN = frozenset((408, 421, 429, 503))


class PlainForward:
    """Forwards a request to one upstream of the route's service.

    A call that certainly did not run is sent to another upstream, whatever the route's kind. A
    call that may have run is retried, and an overdue one hedged, only if the route is idempotent.

    Attributes
    ----------
    failure : Answered or None
        Latest 5xx answer, returned to the caller if no better answer comes.
    answered_by : str
        Upstream of the latest answer.
    runs : int
        Ended calls that may have run, also those that ended without an outcome.
    request_counted : bool
        Whether the request is counted in the service's repeat budget.
    """

    def __init__(self, engine: ForwardEngine, request: CallerRequest) -> None:
        self.engine = engine
        self.request = request
        self.route = request.route
        self.service = pick_service(request.route, engine.rng)
        self.tried: set[str] = set()
        self.calls: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()
        self.answer: Answered | None = None
        self.failure: Answered | None = None
        self.answered_by = ""
        self.runs = 0
        self.sends = 0
        self.request_counted = False
        self.ended = False

    async def run(self) -> RequestOutcome:
        """Forward until there is an answer or no further attempt is possible."""
        rejected = self.engine.gate.check(self.request, (self.service,))
        if rejected is not None:
            return rejected
        timing = self.engine.timing(self.route)
        hedge_at = now() + timing.hedge_delay(self.request.soft_deadline - now())
        self.send()
        try:
            while self.answer is None and self.calls and now() < self.request.deadline:
                await self.wait(hedge_at)
                if now() >= hedge_at and self.answer is None:
                    hedge_at = self.request.deadline
                    if self.route.repeatable and self.send():
                        self.log_hedge()
        finally:
            self.cancel_outstanding()
        return self.outcome()

    async def wait(self, hedge_at: float) -> None:
        """Wait until a call ends, the hedge is due or the deadline passes."""
        try:
            async with asyncio.timeout_at(min(hedge_at, self.request.deadline)):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def send(self) -> bool:
        """Send one call if attempts, available upstreams and the repeat budget allow it."""
        if self.runs + len(self.calls) >= (self.route.max_attempts if self.route.repeatable else 1):
            return False
        upstream = self.engine.choose(
            self.route, self.service, self.tried, self.request.soft_deadline
        )
        if upstream is None:
            return False
        budget = self.engine.fleet.budget(self.service)
        if not self.sends:
            self.count_request()
        elif not budget.spend(now()):
            self.engine.metrics.count("budget_exhausted")
            return False
        self.sends += 1
        self.tried.add(upstream.record.name)
        self.calls.add(self.engine.tasks.spawn(self.call(upstream), f"call {self.service}"))
        return True

    def count_request(self) -> None:
        """Count the request once in the service's repeat budget, however often sending fails."""
        if not self.request_counted:
            self.request_counted = True
            self.engine.fleet.budget(self.service).record_first_send(now())

    async def call(self, upstream: Upstream) -> None:
        """Make one call, then try another upstream if allowed."""
        task = asyncio.current_task()
        outcome: CallOutcome = Lost(LossKind.ABANDONED)
        try:
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
        finally:
            self.calls.discard(task)
            self.runs += not certainly_not_run(outcome)
            self.changed.set()
        if isinstance(outcome, Unreached):
            self.sends -= 1
        if isinstance(outcome, Answered) and self.answer is None:
            self.answered_by = upstream.record.name
            self.accept_answer(outcome)
        if not isinstance(outcome, Answered) or not outcome.is_success:
            self.log_failed_call(upstream, outcome)
        if self.answer is None and not self.ended and now() < self.request.deadline:
            self.send()

    def accept_answer(self, answer: Answered) -> None:
        """Keep an answer; on idempotent routes a 5xx is used only if no better answer comes."""
        if answer.is_success or answer.status < 500 or not self.route.repeatable:
            self.answer = answer
        else:
            self.failure = answer

    def cancel_outstanding(self) -> None:
        """Cancel calls whose answers are no longer needed, after a grace period."""
        self.ended = True
        for task in self.calls:
            asyncio.get_running_loop().call_later(SUPERSEDED_CALL_GRACE_SECONDS, task.cancel)

    def outcome(self) -> RequestOutcome:
        """Build the outcome of the request."""
        answer = self.answer or (self.failure if not self.calls else None)
        if answer is not None:
            if not self.route.repeatable and answer.status in STATUSES_PROMISING_NOT_RUN:
                # The upstream did not say so, and the status would make the caller send it again.
                return Failed(f"an upstream that may have run it answered {answer.status}")
            return Forwarded(answer, self.answered_by)
        if not self.runs and not self.calls:
            return NotRun(
                "no upstream accepted the request",
                return_after_wait(self.engine.callable_at(self.service), now(), self.engine.rng),
                was_attempted=self.request_counted,
            )
        return Failed("no upstream answered", timed_out=now() >= self.request.deadline)

    def log_hedge(self) -> None:
        """Log that the call was hedged at a second upstream."""
        json_log.info(
            "calls doubled",
            request=self.request.id,
            services=[self.service],
            after_milliseconds=round((now() - self.request.arrived) * 1000, 1),
            budget_left=round(self.engine.fleet.budget(self.service).remaining(now()), 1),
        )

    def log_failed_call(self, upstream: Upstream, outcome: CallOutcome) -> None:
        """Log a call without a usable answer."""
        json_log.info(
            "call failed",
            request=self.request.id,
            service=self.service,
            upstream=upstream.record.name,
            outcome=type(outcome).__name__,
            detail=str(outcome)[:120],
            repeatable=self.route.repeatable,
            budget_left=round(self.engine.fleet.budget(self.service).remaining(now()), 1),
        )
