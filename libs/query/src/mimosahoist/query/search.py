"""Scatter-gather search over all shards of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import now
from mimosahoist.query.hit_merger import HitMerger
from mimosahoist.query.request import MissingShard, SearchResult
from mimosahoist.query.search_context import SearchContext
from mimosahoist.query.shard_task import REASON_NO_UPSTREAM, ShardTask

if TYPE_CHECKING:
    from mimosahoist.query.plan import Plan
    from mimosahoist.query.request import SearchRequest
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.messages import Hit

MERGER = HitMerger()
MERGE_MARGIN_SECONDS = 0.005
MAX_PLAN_ATTEMPTS = 3
MIN_HEDGE_DELAY_SECONDS = 0.002
MIN_CANARY_TIMEOUT_SECONDS = 0.03
# Once no more than this share of a search's shard groups is unfinished, the next search may begin.
STRAGGLER_SHARE = 0.5


class Search(SearchContext):
    """Sends a search to all shard groups, gathers the responses and merges them."""

    def __init__(self, service: Service, request: SearchRequest) -> None:
        self.service = service
        self.request = request
        self.version = service.choose_version()
        self.plan: Plan | None = None
        self.tasks: list[ShardTask] = []
        self.pending_tasks = 0
        self.snapshot_lost = False
        self.encoded_prefix = b""
        self.wakeup: asyncio.Future[None] | None = None
        self.in_canary = False
        self.started = 0.0
        self.holds_slot = False

    async def run(self) -> SearchResult:
        """Run the search within its deadline.

        Raises
        ------
        Problem
            If the request is refused; its `run` says whether anything was sent before that.
        """
        self.service.crash_guard.raise_if_rejected(self.request.fingerprint)
        await self.service.admission.acquire(self.request.priority, self.request.deadline)
        self.started = now()
        self.holds_slot = True
        try:
            return await self.search_with_restarts()
        finally:
            self.cancel_unfinished_tasks()
            self.release_slot()

    def release_slot(self) -> None:
        """Let the next search begin, unless that was done before."""
        if self.holds_slot:
            self.holds_slot = False
            self.service.admission.release(now() - self.started)

    async def search_with_restarts(self) -> SearchResult:
        """Search one snapshot, and start over with another if that snapshot is lost."""
        for _ in range(MAX_PLAN_ATTEMPTS):
            plan = self.service.plan(self.version)
            if plan is None:
                raise no_snapshot_problem()
            if self.plan is not None and self.plan.snapshot == plan.snapshot:
                break
            self.plan = plan
            await self.search_plan()
            if not self.snapshot_lost or now() >= self.gather_deadline():
                break
            self.cancel_unfinished_tasks()
            self.service.metrics.count("searches_restarted")
        return self.build_result()

    async def search_plan(self) -> None:
        """Query the plan's shard groups until all are done or the gather deadline passes."""
        self.snapshot_lost = False
        self.encoded_prefix = self.encode_prefix()
        self.tasks = [
            ShardTask(self, self.service, self.plan, group, number)
            for number, group in enumerate(self.plan.groups)
        ]
        self.pending_tasks = len(self.tasks)
        if self.needs_canary():
            self.in_canary = True
            await self.run_canaries()
            self.in_canary = False
            self.service.crash_guard.raise_if_rejected(self.request.fingerprint, RunState.UNKNOWN)
            if self.needs_exclusive() or now() >= self.gather_deadline():
                return
        for task in self.tasks:
            if not task.launched:
                task.launch()
        await self.gather()

    def needs_canary(self) -> bool:
        """Return whether to query one shard group first.

        This applies to a request that is suspect, or that no upstream has answered yet.
        """
        if self.needs_exclusive():
            return True
        if not self.service.features.canary or not self.service.spec["canary"]:
            return False
        return not self.service.crash_guard.is_known_good(self.request.fingerprint)

    def needs_exclusive(self) -> bool:
        """Return whether each call needs an upstream with no other call from this instance."""
        return self.service.crash_guard.is_suspect(self.request.fingerprint)

    async def run_canaries(self) -> None:
        """Query shard groups one at a time until one shows whether the request is safe.

        If a group does not respond in time, the next one is queried. A request that crashed an
        upstream stays with its group, because it may have to be rejected.
        """
        at = now()
        ready = [task for task in self.tasks if task.has_capacity(at)]
        for task in ready or self.tasks:
            self.service.metrics.count("canaries")
            task.launch()
            await self.wait_for_canary(task)
            if task.finished or now() >= self.gather_deadline():
                return

    async def wait_for_canary(self, task: ShardTask) -> None:
        """Wait for a canary to finish, but not so long that it holds up all other shards."""
        hedge_at = now() + self.hedge_delay()
        canary_deadline = now() + max(MIN_CANARY_TIMEOUT_SECONDS, 2 * self.hedge_delay())
        until = min(canary_deadline, self.gather_deadline())
        while not task.finished and now() < until:
            await self.sleep_until(min(hedge_at, until))
            if now() >= hedge_at:
                self.hedge(task)
                hedge_at = until
            if self.needs_exclusive():
                until = self.gather_deadline()

    def hedge(self, task: ShardTask) -> None:
        """Hedge a slow task if hedging is enabled."""
        if self.service.features.hedging:
            task.hedge()

    def hedge_delay(self) -> float:
        """Return the seconds after which a call is considered slow."""
        return max(MIN_HEDGE_DELAY_SECONDS, self.service.hedge_delay.value)

    async def gather(self) -> None:
        """Wait for the pending tasks and hedge the slow ones."""
        until = self.gather_deadline()
        hedge_at = now() + self.hedge_delay()
        while self.pending_tasks and now() < until:
            await self.sleep_until(min(hedge_at, until))
            if self.pending_tasks and now() >= hedge_at:
                for task in self.tasks:
                    if not task.finished:
                        self.hedge(task)
                hedge_at = now() + self.hedge_delay()

    def gather_deadline(self) -> float:
        """Return the event loop time at which to stop waiting and give a partial answer.

        Organisations that prefer low tail latency over coverage stop waiting earlier.
        """
        budget = self.request.deadline - self.started
        if self.service.preference == "tail":
            return self.started + budget * self.service.spec["soft_timeout_share"]
        return self.request.deadline - min(MERGE_MARGIN_SECONDS, budget / 2)

    async def sleep_until(self, at: float) -> None:
        """Sleep until the event loop time `at`, or until `wake_up` is called."""
        self.wakeup = asyncio.get_running_loop().create_future()
        timer = asyncio.get_running_loop().call_at(at, self.wake_up)
        try:
            await self.wakeup
        finally:
            timer.cancel()
            self.wakeup = None

    def wake_up(self) -> None:
        """End the current sleep, if any."""
        if self.wakeup is not None and not self.wakeup.done():
            self.wakeup.set_result(None)

    def handle_task_finished(self, task: ShardTask) -> None:
        """Process a finished task, and wake the search if it may be able to continue."""
        self.pending_tasks -= 1
        if not self.in_canary and self.pending_tasks <= STRAGGLER_SHARE * len(self.tasks):
            self.release_slot()
        if task.hits is not None:
            self.service.crash_guard.record_response(self.request.fingerprint)
        if self.pending_tasks == 0 or self.in_canary:
            self.wake_up()

    def cancel_unfinished_tasks(self) -> None:
        """Stop tasks that did not finish in time and cancel their calls."""
        for task in self.tasks:
            if not task.finished:
                task.finished = True
                task.release_reservation()
                task.cancel_open_calls()
        self.service.discard_parked(self)

    def encode_prefix(self) -> bytes:
        """Encode the start of the JSON body that all shard calls of a plan share."""
        request = self.request
        query = msgspec.json.encode(request.query)
        wanted = request.limit + request.offset
        return b'{"query":%s,"route":%s,"snapshot":%d,"limit":%d,"shards":' % (
            query,
            msgspec.json.encode(request.route),
            self.plan.snapshot,
            wanted,
        )

    def build_result(self) -> SearchResult:
        """Merge the responses, which all come from one snapshot, and list the missing shards."""
        parts: list[list[Hit]] = []
        missing = [MissingShard(shard, REASON_NO_UPSTREAM) for shard in self.plan.uncovered_shards]
        answered = 0
        for task in self.tasks:
            if task.hits is None:
                missing.extend(MissingShard(shard, task.reason) for shard in task.group.shards)
            else:
                answered += len(task.group.shards)
                parts.append(task.hits)
        return SearchResult(
            self.request.request_id,
            self.plan.snapshot,
            self.plan.total,
            answered,
            sorted(missing),
            MERGER.merge(parts, self.request.limit, self.request.offset),
        )


def no_snapshot_problem() -> Problem:
    """Return the problem for a service whose upstreams hold no snapshot."""
    return Problem(
        ProblemKind.UNAVAILABLE,
        "no upstream of the service holds a snapshot",
        "retry later; operators can check 'mimosahoist status'",
    )
