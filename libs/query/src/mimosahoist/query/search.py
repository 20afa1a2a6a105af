"""A search over all shards of a service."""

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
MERGE_MARGIN = 0.005
MAX_RESTARTS = 3
MIN_HEDGE_DELAY = 0.002
CANARY_PATIENCE = 0.03


class Search(SearchContext):
    """Scatters a search, gathers the answers and merges them."""

    def __init__(self, service: Service, request: SearchRequest) -> None:
        self.service = service
        self.request = request
        self.version = service.choose_version()
        self.plan: Plan | None = None
        self.tasks: list[ShardTask] = []
        self.open_tasks = 0
        self.snapshot_lost = False
        self.encoded_prefix = b""
        self.wake: asyncio.Future[None] | None = None
        self.in_canary = False
        self.started = 0.0

    async def run(self) -> SearchResult:
        """Answer within the deadline.

        Raises
        ------
        Problem
            If the request is refused; its `run` tells whether anything was sent before.
        """
        self.service.crash_guard.check(self.request.fingerprint)
        await self.service.admission.enter(self.request.priority, self.request.deadline)
        self.started = now()
        try:
            return await self.search_snapshots()
        finally:
            self.abandon()
            self.service.admission.leave(now() - self.started)

    async def search_snapshots(self) -> SearchResult:
        """Search one snapshot, and another from the start if that one is lost."""
        for _ in range(MAX_RESTARTS):
            plan = self.service.plan(self.version)
            if plan is None:
                raise no_snapshot()
            if self.plan is not None and self.plan.snapshot == plan.snapshot:
                break
            self.plan = plan
            await self.search_plan()
            if not self.snapshot_lost or now() >= self.gather_until():
                break
            self.abandon()
            self.service.metrics.count("searches_restarted")
        return self.result()

    async def search_plan(self) -> None:
        """Scatter over the plan's groups and gather until all are done or time is up."""
        self.snapshot_lost = False
        self.encoded_prefix = self.encode_prefix()
        self.tasks = [
            ShardTask(self, self.service, self.plan, group, number)
            for number, group in enumerate(self.plan.groups)
        ]
        self.open_tasks = len(self.tasks)
        if self.needs_canary():
            self.in_canary = True
            await self.run_canaries()
            self.in_canary = False
            self.service.crash_guard.check(self.request.fingerprint, RunState.UNKNOWN)
            if self.needs_exclusive() or now() >= self.gather_until():
                return
        for task in self.tasks:
            if not task.launched:
                task.launch()
        await self.gather()

    def needs_canary(self) -> bool:
        """Whether one shard is asked first, since nothing answered this request before."""
        if self.needs_exclusive():
            return True
        if not self.service.features.canary or not self.service.spec["canary"]:
            return False
        return not self.service.crash_guard.proven(self.request.fingerprint)

    def needs_exclusive(self) -> bool:
        """Whether calls of this request must run alone on their upstream."""
        return self.service.crash_guard.suspect(self.request.fingerprint)

    async def run_canaries(self) -> None:
        """Ask one shard group until it is known whether the request is harmless.

        A group that gives no sign is left for the next one; a request that broke an upstream
        stays with its group, as it may have to be rejected.
        """
        at = now()
        ready = [task for task in self.tasks if task.has_room(at)]
        for task in ready or self.tasks:
            self.service.metrics.count("canaries")
            task.launch()
            await self.wait_for_canary(task)
            if task.finished or now() >= self.gather_until():
                return

    async def wait_for_canary(self, task: ShardTask) -> None:
        """Wait until a canary finished, or was silent for too long to delay all other shards."""
        hedge_at = now() + self.hedge_delay()
        patience = now() + max(CANARY_PATIENCE, 2 * self.hedge_delay())
        until = min(patience, self.gather_until())
        while not task.finished and now() < until:
            await self.sleep_until(min(hedge_at, until))
            if now() >= hedge_at:
                self.hedge(task)
                hedge_at = until
            if self.needs_exclusive():
                until = self.gather_until()

    def hedge(self, task: ShardTask) -> None:
        """Hedge a slow task if hedging is on."""
        if self.service.features.hedging:
            task.hedge()

    def hedge_delay(self) -> float:
        """Seconds after which a call counts as slow."""
        return max(MIN_HEDGE_DELAY, self.service.hedge_delay.value)

    async def gather(self) -> None:
        """Wait for the open tasks; hedge those that are slow."""
        until = self.gather_until()
        hedge_at = now() + self.hedge_delay()
        while self.open_tasks and now() < until:
            await self.sleep_until(min(hedge_at, until))
            if self.open_tasks and now() >= hedge_at:
                for task in self.tasks:
                    if not task.finished:
                        self.hedge(task)
                hedge_at = now() + self.hedge_delay()

    def gather_until(self) -> float:
        """Loop time at which a partial answer is returned.

        An organisation that weighs time over coverage gives up on the last shards earlier.
        """
        budget = self.request.deadline - self.started
        if self.service.preference == "tail":
            return self.started + budget * self.service.spec["soft_timeout_share"]
        return self.request.deadline - min(MERGE_MARGIN, budget / 2)

    async def sleep_until(self, at: float) -> None:
        """Sleep until a loop time, or until a task finishes that may end the search."""
        self.wake = asyncio.get_running_loop().create_future()
        timer = asyncio.get_running_loop().call_at(at, self.handle_timer)
        try:
            await self.wake
        finally:
            timer.cancel()
            self.wake = None

    def handle_timer(self) -> None:
        """Wake the search at a point in time."""
        if self.wake is not None and not self.wake.done():
            self.wake.set_result(None)

    def handle_finished(self, task: ShardTask) -> None:
        """Note a finished task."""
        self.open_tasks -= 1
        if task.hits is not None:
            self.service.crash_guard.answered(self.request.fingerprint)
        if self.open_tasks == 0 or self.in_canary:
            self.handle_timer()

    def abandon(self) -> None:
        """Drop tasks that did not finish in time."""
        for task in self.tasks:
            if not task.finished:
                task.finished = True
                task.release_reserved()
                task.cancel_losers()
        self.service.forget_parked(self)

    def encode_prefix(self) -> bytes:
        """Encode what all shard calls of a plan share."""
        request = self.request
        query = msgspec.json.encode(request.query)
        wanted = request.limit + request.offset
        return b'{"query":%s,"route":%s,"snapshot":%d,"limit":%d,"shards":' % (
            query,
            msgspec.json.encode(request.route),
            self.plan.snapshot,
            wanted,
        )

    def result(self) -> SearchResult:
        """Merge the answers of the one snapshot and state the coverage."""
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


def no_snapshot() -> Problem:
    """Problem for a service without any snapshot."""
    return Problem(
        ProblemKind.UNAVAILABLE,
        "no upstream of the service holds a snapshot",
        "send it again later; operators see 'mimosahoist status'",
    )
