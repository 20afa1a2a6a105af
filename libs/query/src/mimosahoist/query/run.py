"""Requests that one upstream executes, at most once unless they are idempotent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from mimosahoist.core import tracing
from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import now
from mimosahoist.query.idempotency import Claim, Replay
from mimosahoist.query.request import RunRequest, RunResult
from mimosahoist.query.service import CallObservation
from mimosahoist.upstream import messages
from mimosahoist.upstream.call import Call
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind, Reply

if TYPE_CHECKING:
    from mimosahoist.query.idempotency import IdempotencyStore
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.upstream import Upstream

MAX_ATTEMPTS = 4
SAVE_WAIT_SECONDS = 0.2
CAPACITY_POLL_SECONDS = 0.005
RETRY_PAUSE_SECONDS = 0.01


class Run:
    """Runs a request on one upstream and reports whether it may have been executed."""

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
        self.exclusive = False

    async def run(self) -> RunResult:
        """Run the request within its deadline.

        Raises
        ------
        Problem
            Its `run` says whether the request may have been executed.
        """
        self.service.crash_guard.raise_if_rejected(self.request.fingerprint)
        if self.request.idempotency_key is None:
            return RunResult(self.request.request_id, await self.run_admitted(), False)
        claim = await self.claim()
        if isinstance(claim, Replay):
            result = msgspec.json.decode(claim.answer)
            return RunResult(self.request.request_id, result, True)
        return await self.run_claimed(claim)

    async def claim(self) -> Claim | Replay:
        """Claim the request's idempotency key."""
        request = self.request
        scope = f"{self.service.organisation}/{self.service.spec['name']}/{self.caller}"
        body = msgspec.json.encode(request.operation, order="sorted")
        return await self.idempotency.claim(
            scope, request.idempotency_key, body, request.request_id, request.deadline
        )

    async def run_claimed(self, claim: Claim) -> RunResult:
        """Run the request under a claim and store the outcome."""
        try:
            result = await self.run_admitted()
        except Problem as problem:
            state = "released" if problem.run is RunState.NOT_RUN else "unknown"
            await self.idempotency.store_outcome(claim, state, "", SAVE_WAIT_SECONDS)
            raise
        except asyncio.CancelledError:
            await self.idempotency.store_outcome(claim, "unknown", "", SAVE_WAIT_SECONDS)
            raise
        answer = msgspec.json.encode(result).decode()
        await self.idempotency.store_outcome(claim, "done", answer, SAVE_WAIT_SECONDS)
        return RunResult(self.request.request_id, result, False)

    async def run_admitted(self) -> Any:
        """Wait for admission, then send the request."""
        await self.service.admission.acquire(self.request.priority, self.request.deadline)
        started = now()
        try:
            return await self.send_with_retries()
        finally:
            self.service.admission.release(now() - started)

    async def send_with_retries(self) -> Any:
        """Send the request; retry only if it certainly did not run or is idempotent."""
        self.service.retry_budget.earn()
        while True:
            upstream = await self.wait_for_upstream()
            call = await self.exchange(upstream)
            if isinstance(call.outcome, ExchangeFailure):
                problem = self.failure_problem(call, call.outcome)
            elif call.outcome.status == messages.STATUS_OK:
                return self.decode_response(call, call.outcome)
            else:
                problem = self.refusal_problem(call, call.outcome)
            if not self.may_retry(problem):
                raise problem
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def may_retry(self, problem: Problem) -> bool:
        """Return whether another attempt is allowed; take a token from the retry budget if so."""
        safe = problem.run is RunState.NOT_RUN or self.service.spec["idempotent"]
        if not safe or self.attempts >= MAX_ATTEMPTS or now() >= self.request.deadline:
            return False
        if problem.kind is ProblemKind.REJECTED_REQUEST:
            return False
        return self.service.retry_budget.spend()

    async def wait_for_upstream(self) -> Upstream:
        """Wait for an upstream with free capacity, or for an exclusive one if suspect."""
        while True:
            upstream = self.choose_upstream()
            if upstream is not None:
                return upstream
            if now() + CAPACITY_POLL_SECONDS >= self.request.deadline:
                raise Problem(
                    ProblemKind.OVERLOADED,
                    "no upstream had free capacity before the request's deadline",
                    "retry later, or with a longer deadline",
                )
            await asyncio.sleep(CAPACITY_POLL_SECONDS)

    def choose_upstream(self) -> Upstream | None:
        """Choose an upstream that can accept the request now."""
        pool = self.service.pool
        versions = self.service.allowed_versions(self.version)
        upstreams = [item for item in pool.upstreams.values() if item.version in versions]
        self.exclusive = self.service.crash_guard.is_suspect(self.request.fingerprint)
        if not self.exclusive:
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
        attempt_id = f"{self.request.request_id}.{self.attempts}"
        remaining = max(1, int((self.request.deadline - now()) * 1000))
        body = msgspec.json.encode(
            messages.RunCall(
                request=attempt_id,
                operation=self.request.operation,
                route=self.request.route,
                deadline_ms=remaining,
            )
        )
        finished: asyncio.Future[Call] = asyncio.get_running_loop().create_future()
        call = Call(
            messages.RUN_PATH,
            body,
            attempt_id,
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
        self.record_observation(call)
        return call

    def record_observation(self, call: Call) -> None:
        """Report the outcome of a call, used to compare versions during a move.

        Refusals and missed deadlines do not count against a version.
        """
        refused = isinstance(call.outcome, Reply) and call.outcome.status in (
            messages.STATUS_REFUSED,
            messages.STATUS_DEADLINE,
        )
        if refused:
            return
        failed = not isinstance(call.outcome, Reply) or call.outcome.status != messages.STATUS_OK
        self.service.publish_observation(
            CallObservation(call.upstream.version, self.request.route, failed, call.latency_sample)
        )

    def decode_response(self, call: Call, reply: Reply) -> Any:
        """Decode a response and verify that it matches the call."""
        try:
            response = messages.run_response_decoder.decode(reply.body)
        except DECODE_ERRORS:
            response = None
        if response is None or response["request"] != call.request:
            self.service.metrics.count("answers_discarded")
            raise outcome_unknown_problem("the upstream's response did not match this request")
        self.service.crash_guard.record_response(self.request.fingerprint)
        call.upstream.observe(call, response["warm"], response["incarnation"])
        return response["result"]

    def failure_problem(self, call: Call, failure: ExchangeFailure) -> Problem:
        """Return the problem for a call that ended without a reply."""
        if not failure.may_have_run:
            return Problem(
                ProblemKind.UNAVAILABLE,
                "no upstream accepted a connection",
                "retry the request",
            )
        if failure.kind is FailureKind.BROKEN:
            self.service.crash_guard.record_crash(
                self.request.fingerprint, call.upstream.name, self.exclusive
            )
        return outcome_unknown_problem("the connection to the upstream gave no answer")

    def refusal_problem(self, call: Call, reply: Reply) -> Problem:
        """Return the problem for a reply with an error status."""
        if reply.status == messages.STATUS_REFUSED:
            self.service.metrics.count("upstream_refused")
            call.upstream.poller.poll_requested.set()
            return Problem(
                ProblemKind.OVERLOADED, "the upstream refused the request", "retry later"
            )
        if reply.status == messages.STATUS_DEADLINE:
            return Problem(
                ProblemKind.DEADLINE,
                "the deadline passed before the upstream started the request",
                "retry with a longer deadline",
            )
        return outcome_unknown_problem(f"the upstream returned status {reply.status}")


def outcome_unknown_problem(reason: str) -> Problem:
    """Return the problem for a request that may or may not have run."""
    return Problem(
        ProblemKind.UNKNOWN,
        f"{reason}, so it may or may not have run",
        "check with the service whether it took effect; use an idempotency key for safe retries",
        RunState.UNKNOWN,
    )
