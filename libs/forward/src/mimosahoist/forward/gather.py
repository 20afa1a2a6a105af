"""A search over all shards of a route."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.completion import Progress, Verdict, decide, needed_parts
from mimosahoist.forward.delegation import FAILED_HEADER, PENDING_HEADER, decode_shards
from mimosahoist.forward.engine import Outlook, certainly_not_run
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

RETURN_SECONDS = 0.008
DELEGATE_TRIP_SECONDS = 0.02
LOSER_SECONDS = 0.4
UNWATCHED_SECONDS = 0.1
DESCRIBED_SHARDS = 3
ROOM_RETRY_SECONDS = 0.02
RETRY_AFTER_SECONDS = (0.05, 0.25)


class Part(NamedTuple):
    """What a shard gives to the answer.

    Of shards that were asked for together the first one holds all records and signatures.
    """

    body: bytes
    signatures: list[str]


class ShardSearch:
    """One shard of a search: its calls and, in the end, its part."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.part: Part | None = None
        self.calls: dict[asyncio.Task[None], Upstream] = {}
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.counted = False
        self.next_send = 0.0


class Gather:
    """Sends a request to one upstream of each shard and merges the parts.

    A call that is overdue is doubled at another upstream of the shard within the shard's budget;
    a failed one is replaced at once.
    """

    def __init__(
        self, engine: ForwardEngine, request: CallerRequest, delegation: Delegation | None = None
    ) -> None:
        self.engine = engine
        self.delegation = delegation
        self.request = request
        self.route = request.route
        self.shards = [ShardSearch(service) for service in self.route.shards]
        self.needed = needed_parts(len(self.shards), self.route.min_coverage)
        self.changed = asyncio.Event()
        self.cut = request.aim - RETURN_SECONDS
        self.doubled: list[str] = []

    async def run(self) -> RequestOutcome:
        """Search until the decision is to answer."""
        delay = self.engine.timing(self.route).hedge_delay(self.cut - now())
        self.delegate(delay)
        for shard in self.shards:
            if not shard.calls:
                sent = self.send(shard)
                shard.next_send = now() + (delay if sent else ROOM_RETRY_SECONDS)
        try:
            while True:
                self.send_due()
                decision = decide(self.progress(), now())
                if decision.verdict is not Verdict.WAIT:
                    break
                await self.wait(decision.until)
        finally:
            self.release()
            self.log_doubled(delay)
        return self.outcome(decision.verdict)

    def progress(self) -> Progress:
        """State for the decision."""
        answered = hopeful = doubtful = 0
        for shard in self.shards:
            if shard.part is not None:
                answered += 1
            elif shard.calls:
                hopeful += 1
            elif shard.runs < self.route.max_attempts:
                outlook = self.engine.outlook(shard.service, shard.tried)
                hopeful += outlook is Outlook.SOON
                doubtful += outlook is Outlook.DOUBTFUL
        return Progress(
            answered,
            hopeful,
            doubtful,
            len(self.shards),
            self.needed,
            self.request.arrived,
            self.cut,
            self.request.deadline,
        )

    async def wait(self, until: float) -> None:
        """Wait for a call's end, the next send that falls due, or `until`."""
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
        """Double overdue calls, and try shards again that had no upstream with room."""
        at = now()
        for shard in self.shards:
            if shard.part is None and at >= shard.next_send:
                if shard.calls:
                    self.engine.note_overdue(shard.calls.values())
                    if self.send(shard):
                        self.doubled.append(shard.service)
                    shard.next_send = self.request.deadline
                else:
                    shard.next_send = at + ROOM_RETRY_SECONDS
                    self.send(shard)

    def send(self, shard: ShardSearch) -> bool:
        """Send one call of a shard, if an upstream, the attempts and the budget allow it."""
        if shard.runs + len(shard.calls) >= self.route.max_attempts:
            return False
        upstream = self.engine.choose(self.route, shard.service, shard.tried)
        if upstream is None:
            return False
        budget = self.engine.fleet.budget(shard.service)
        if not shard.sends:
            self.note_first(shard)
        elif not budget.spend(now()):
            self.engine.metrics.count("budget_exhausted")
            return False
        shard.sends += 1
        shard.tried.add(upstream.record.name)
        task = self.engine.tasks.spawn(self.call(shard, upstream), f"call {shard.service}")
        shard.calls[task] = upstream
        return True

    def note_first(self, shard: ShardSearch) -> None:
        """Count a request for a shard's service once, however often it is not reached."""
        if not shard.counted:
            shard.counted = True
            self.engine.fleet.budget(shard.service).note_first(now())

    async def call(self, shard: ShardSearch, upstream: Upstream) -> None:
        """Carry one call, then replace it if it failed."""
        task = asyncio.current_task()
        outcome: CallOutcome = Unreached("cancelled")
        try:
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
        finally:
            shard.calls.pop(task, None)
            self.changed.set()
        if isinstance(outcome, Unreached):
            shard.sends -= 1
        if isinstance(outcome, Answered) and outcome.good:
            part = Part(outcome.body, [outcome.headers[self.engine.names.signature]])
            shard.part = shard.part or part
            return
        if not certainly_not_run(outcome):
            shard.runs += 1
        if shard.part is None and not self.finished():
            self.log_failed_call(shard, upstream, outcome)
            if isinstance(outcome, Refused):
                shard.tried.discard(upstream.record.name)
            if not shard.calls:
                self.send_again(shard)
            else:
                self.send(shard)

    def delegate(self, delay: float) -> None:
        """Leave the first calls of shards that this domain lacks to instances that have them."""
        if self.delegation is None:
            return
        by_name = {shard.service: shard for shard in self.shards}
        for delegate in self.delegation.delegates(list(by_name)):
            group = [by_name[name] for name in delegate.shards]
            task = self.engine.tasks.spawn(self.ask(delegate, group, delay), "ask for parts")
            for shard in group:
                self.note_first(shard)
                shard.sends = 1
                shard.calls[task] = delegate.target
                shard.next_send = now() + delay + DELEGATE_TRIP_SECONDS

    async def ask(self, delegate: Delegate, group: list[ShardSearch], delay: float) -> None:
        """Take the parts that another instance gets, the later ones as they come."""
        task = asyncio.current_task()
        pending = {shard.service: shard for shard in group}
        outcome: CallOutcome = Unreached("cancelled")
        begun = False
        try:
            outcome = await self.delegation.ask(delegate, self.request, delay, first=True)
            begun = not certainly_not_run(outcome)
            while isinstance(outcome, Answered) and self.take_news(outcome, pending, task):
                left = self.request.deadline - now()
                outcome = await self.delegation.ask(delegate, self.request, left, first=False)
        finally:
            for shard in pending.values():
                shard.calls.pop(task, None)
            self.changed.set()
        for shard in pending.values():
            self.note_failed(shard, "", begun)

    def take_news(
        self, answer: Answered, pending: dict[str, ShardSearch], task: asyncio.Task[None] | None
    ) -> bool:
        """Take an answer of the other instance; whether to ask for more.

        Shards that are no longer `pending` are taken out of it.
        """
        later = decode_shards(answer.headers.get(PENDING_HEADER, ""))
        failed = decode_shards(answer.headers.get(FAILED_HEADER, ""))
        done = [pending.pop(name) for name in list(pending) if name not in later]
        for shard in done:
            shard.calls.pop(task, None)
        answered = [shard for shard in done if shard.service not in failed]
        if not self.take_parts(answered, answer):
            for shard in answered:
                self.note_failed(shard, "", True)
        for shard in done:
            if shard.service in failed:
                self.note_failed(shard, failed[shard.service], bool(failed[shard.service]))
        for name, shard in pending.items():
            shard.tried.add(later[name])
            if len(shard.calls) == 1:
                shard.next_send = min(shard.next_send, now())
        self.changed.set()
        return any(shard.part is None for shard in pending.values()) and not self.finished()

    def note_failed(self, shard: ShardSearch, upstream: str, may_have_run: bool) -> None:
        """Go on with a shard whose call at the other instance failed."""
        shard.runs += may_have_run
        if upstream:
            shard.tried.add(upstream)
        if not may_have_run:
            shard.sends -= 1
        if shard.part is None and not shard.calls and not self.finished():
            self.send_again(shard)

    def take_parts(self, shards: list[ShardSearch], answer: Answered) -> bool:
        """Take merged parts; they replace what single calls brought meanwhile.

        False, and nothing is taken, unless there is one signature for each of the shards.
        """
        value = answer.headers.get(self.engine.names.part_signatures, "")
        signatures = [item.strip() for item in value.split(",") if item.strip()]
        if len(signatures) != len(shards):
            return False
        parts = Part(answer.body, signatures)
        for shard in shards:
            shard.part = parts
            parts = Part(b"", [])
        return True

    def send_again(self, shard: ShardSearch) -> None:
        """Send the next call of a shard at once, or soon if no upstream has room."""
        if not self.send(shard):
            shard.next_send = now() + ROOM_RETRY_SECONDS

    def finished(self) -> bool:
        """Whether nobody waits for parts any more."""
        return now() >= self.request.deadline

    def release(self) -> None:
        """End calls whose parts are no longer wanted, leaving late ones a moment to end."""
        loop = asyncio.get_running_loop()
        for shard in self.shards:
            for task, upstream in shard.calls.items():
                # The other instance leaves its calls a moment of its own.
                elsewhere = upstream.record.service != shard.service
                loop.call_later(UNWATCHED_SECONDS if elsewhere else LOSER_SECONDS, task.cancel)

    def outcome(self, verdict: Verdict) -> RequestOutcome:
        """Tagged outcome of the search."""
        if verdict is Verdict.ANSWER:
            parts = [shard.part for shard in self.shards if shard.part is not None]
            body = self.engine.merger.merge([part.body for part in parts], self.route.result_limit)
            signatures = [signature for part in parts for signature in part.signatures]
            return Gathered(body, signatures, len(self.shards) - len(parts))
        missing = [shard for shard in self.shards if shard.part is None]
        idle = [shard for shard in missing if not shard.calls] or missing
        reason = f"no answer of {len(missing)} shards, {len(idle)} without a call: "
        reason += "; ".join(self.describe(shard) for shard in idle[:DESCRIBED_SHARDS])
        if not any(shard.runs or shard.calls or shard.part for shard in self.shards):
            return NotRun(reason, self.engine.rng.uniform(*RETRY_AFTER_SECONDS))
        return Failed(reason, timed_out=now() >= self.request.deadline)

    def describe(self, shard: ShardSearch) -> str:
        """Why a shard has no call under way, for the log."""
        at = now()
        upstreams = self.engine.fleet.eligible_upstreams(shard.service)
        states = [f"{upstream.record.name} {upstream.state(at)}" for upstream in upstreams]
        tried = f"{shard.sends} sent, {shard.runs} run"
        return f"{shard.service} ({tried}): {', '.join(states) or 'none listed'}"

    def log_doubled(self, delay: float) -> None:
        """Log once a search for which shards a second upstream was asked, and after what time."""
        if self.doubled:
            json_log.change(
                "calls doubled",
                request=self.request.id,
                services=self.doubled,
                after_milliseconds=round(delay * 1000, 1),
                budget_left=round(self.engine.fleet.budget(self.doubled[0]).left(now()), 1),
            )

    def log_failed_call(self, shard: ShardSearch, upstream: Upstream, outcome: CallOutcome) -> None:
        """Log a call that brought no part."""
        json_log.change(
            "call failed",
            request=self.request.id,
            service=shard.service,
            upstream=upstream.record.name,
            outcome=type(outcome).__name__,
            detail=str(outcome)[:120],
            budget_left=round(self.engine.fleet.budget(shard.service).left(now()), 1),
        )
