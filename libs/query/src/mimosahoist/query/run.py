"""A request that one upstream runs, at most once unless it is idempotent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from mimosahoist.core import tracing
from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import now
from mimosahoist.query.idempotency import Claim, Replay
from mimosahoist.query.request import RunRequest, RunResult
from mimosahoist.query.service import CallEvidence
from mimosahoist.upstream import messages
from mimosahoist.upstream.call import Call
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind, Reply

if TYPE_CHECKING:
    from mimosahoist.query.idempotency import IdempotencyStore
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.upstream import Upstream

MAX_ATTEMPTS = 4
SAVE_WAIT = 0.2
ROOM_POLL_SECONDS = 0.005
REFUSAL_PAUSE = 0.01


class Run:
    """Sends a request to one upstream and tells truthfully whether it may have run."""

    def __init__(
        self, service: Service, request: RunRequest, idempotency: IdempotencyStore, caller: str
    ) -> None:
        self.service = service
        self.request = request
        self.idempotency = idempotency
        self.caller = caller
        self.version = service.choose_version()
        self.attempts = 0
        self.tried: list[Upstream] = []
        self.alone = False

    async def run(self) -> RunResult:
        """Run the request within its deadline.

        Raises
        ------
        Problem
            Its `run` says whether the request may have been executed.
        """
        self.service.crash_guard.check(self.request.fingerprint)
        if self.request.idempotency_key is None:
            return RunResult(self.request.request_id, await self.admit(), False)
        claim = await self.claim()
        if isinstance(claim, Replay):
            result = msgspec.json.decode(claim.answer)
            return RunResult(self.request.request_id, result, True)
        return await self.run_claimed(claim)

    async def claim(self) -> Claim | Replay:
        """Claim the request's key."""
        request = self.request
        scope = f"{self.service.organisation}/{self.service.spec['name']}/{self.caller}"
        body = msgspec.json.encode(request.operation, order="sorted")
        return await self.idempotency.claim(
            scope, request.idempotency_key, body, request.request_id, request.deadline
        )

    async def run_claimed(self, claim: Claim) -> RunResult:
        """Run under a claim and store what became of it."""
        try:
            result = await self.admit()
        except Problem as problem:
            state = "released" if problem.run is RunState.NOT_RUN else "unknown"
            await self.idempotency.finish(claim, state, "", SAVE_WAIT)
            raise
        except asyncio.CancelledError:
            await self.idempotency.finish(claim, "unknown", "", SAVE_WAIT)
            raise
        answer = msgspec.json.encode(result).decode()
        await self.idempotency.finish(claim, "done", answer, SAVE_WAIT)
        return RunResult(self.request.request_id, result, False)

    async def admit(self) -> Any:
        """Wait for a place, then send."""
        await self.service.admission.enter(self.request.priority, self.request.deadline)
        started = now()
        try:
            return await self.send_until_definite()
        finally:
            self.service.admission.leave(now() - started)

    async def send_until_definite(self) -> Any:
        """Send the request; send it again only if it is certain that it did not run."""
        self.service.retry_budget.earn()
        while True:
            upstream = await self.wait_for_upstream()
            call = await self.exchange(upstream)
            if isinstance(call.outcome, ExchangeFailure):
                problem = self.judge_failure(call, call.outcome)
            elif call.outcome.status == messages.STATUS_OK:
                return self.take_answer(call, call.outcome)
            else:
                problem = self.judge_refusal(call, call.outcome)
            if not self.may_send_again(problem):
                raise problem
            await asyncio.sleep(REFUSAL_PAUSE)

    def may_send_again(self, problem: Problem) -> bool:
        """Whether another attempt is allowed."""
        safe = problem.run is RunState.NOT_RUN or self.service.spec["idempotent"]
        if not safe or self.attempts >= MAX_ATTEMPTS or now() >= self.request.deadline:
            return False
        if problem.kind is ProblemKind.REJECTED_REQUEST:
            return False
        return self.service.retry_budget.spend()

    async def wait_for_upstream(self) -> Upstream:
        """Get an upstream with room, or one that runs a suspect request alone."""
        while True:
            upstream = self.choose()
            if upstream is not None:
                return upstream
            if now() + ROOM_POLL_SECONDS >= self.request.deadline:
                raise Problem(
                    ProblemKind.OVERLOADED,
                    "no upstream had room before the request's deadline",
                    "send it again later, or with a longer deadline",
                )
            await asyncio.sleep(ROOM_POLL_SECONDS)

    def choose(self) -> Upstream | None:
        """Choose an upstream that can take the request now."""
        pool = self.service.pool
        versions = self.service.versions_for(self.version)
        upstreams = [item for item in pool.upstreams.values() if item.version in versions]
        self.alone = self.service.crash_guard.suspect(self.request.fingerprint)
        if not self.alone:
            return pool.pick(upstreams, versions, self.tried) or pool.pick(upstreams, versions)
        for upstream in sorted(upstreams, key=lambda item: item.in_flight):
            if upstream.reserve(self.request.request_id, now()):
                return upstream
            upstream.release(self.request.request_id)
        return None

    async def exchange(self, upstream: Upstream) -> Call:
        """Send one attempt and wait for its outcome."""
        self.attempts += 1
        self.tried.append(upstream)
        request = f"{self.request.request_id}.{self.attempts}"
        remaining = max(1, int((self.request.deadline - now()) * 1000))
        body = msgspec.json.encode(
            messages.RunCall(
                request=request,
                operation=self.request.operation,
                route=self.request.route,
                deadline_ms=remaining,
            )
        )
        finished: asyncio.Future[Call] = asyncio.get_running_loop().create_future()
        call = Call(
            messages.RUN_PATH,
            body,
            request,
            self.request.deadline,
            lambda done: finished.done() or finished.set_result(done),
        )
        span = self.service.traces.child(self.request.span, "run-call", upstream=upstream.name)
        self.service.metrics.count("run_calls")
        upstream.submit(call)
        try:
            await finished
        finally:
            upstream.release(self.request.request_id)
            tracing.finish(span, outcome=type(call.outcome).__name__)
        self.note(call)
        return call

    def note(self, call: Call) -> None:
        """Record how the exchange went for moves between versions."""
        refused = isinstance(call.outcome, Reply) and call.outcome.status in (
            messages.STATUS_REFUSED,
            messages.STATUS_DEADLINE,
        )
        if refused:
            return
        failed = not isinstance(call.outcome, Reply) or call.outcome.status != messages.STATUS_OK
        self.service.note_evidence(
            CallEvidence(call.upstream.version, self.request.route, failed, call.latency_sample)
        )

    def take_answer(self, call: Call, reply: Reply) -> Any:
        """Check an answer against the call."""
        try:
            answer = messages.run_response_decoder.decode(reply.body)
        except msgspec.DecodeError:
            answer = None
        if answer is None or answer["request"] != call.request:
            self.service.metrics.count("answers_discarded")
            raise unknown("the upstream's answer was not to this request")
        self.service.crash_guard.answered(self.request.fingerprint)
        call.upstream.observe(call, answer["warm"], answer["incarnation"])
        return answer["result"]

    def judge_failure(self, call: Call, failure: ExchangeFailure) -> Problem:
        """Problem for an exchange without an answer."""
        if not failure.may_have_run:
            return Problem(
                ProblemKind.UNAVAILABLE,
                "no upstream accepted a connection",
                "send it again",
            )
        if failure.kind is FailureKind.BROKEN:
            self.service.crash_guard.blame(self.request.fingerprint, call.upstream.name, self.alone)
        return unknown("the connection to the upstream gave no answer")

    def judge_refusal(self, call: Call, reply: Reply) -> Problem:
        """Problem for an answer that is no success."""
        if reply.status == messages.STATUS_REFUSED:
            self.service.metrics.count("upstream_refused")
            call.upstream.poller.poll_requested.set()
            return Problem(ProblemKind.OVERLOADED, "the upstream refused", "send it again later")
        if reply.status == messages.STATUS_DEADLINE:
            return Problem(
                ProblemKind.DEADLINE,
                "the deadline passed before the upstream began",
                "send it again with a longer deadline",
            )
        return unknown(f"the upstream answered status {reply.status}")


def unknown(reason: str) -> Problem:
    """Problem for a request that may have run."""
    return Problem(
        ProblemKind.UNKNOWN,
        f"{reason}, so it may or may not have run",
        "ask the service whether it took effect; send an idempotency key to make repeats safe",
        RunState.UNKNOWN,
    )
