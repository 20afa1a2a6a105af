"""Shared state of one service's requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.budget import TokenBudget
from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.query.admission import Admission
from mimosahoist.query.plan import make_plan

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.core.tracing import Traces
    from mimosahoist.platform.kinds import Preference, ServiceSpec
    from mimosahoist.query.crash_guard import CrashGuard
    from mimosahoist.query.plan import Plan
    from mimosahoist.query.search_context import SearchContext, WaitingTask
    from mimosahoist.upstream.pool import UpstreamPool

HEDGE_PERCENT = 97.0
HEDGE_RATIO = 0.045
HEDGE_CAP = 10.0
HEDGE_INITIAL = 1.0
INITIAL_HEDGE_DELAY = 0.05
RETRY_RATIO = 0.1
RETRY_CAP = 200.0
RETRY_INITIAL = 50.0
PLAN_SECONDS = 0.1
MAIN_WEIGHT = 0.5


class VersionRoute(NamedTuple):
    """Share of requests that go to the version `target` instead of `source`."""

    source: str
    target: str
    weight: float


class CallEvidence(NamedTuple):
    """How one exchange with a version of an upstream went.

    `elapsed` is in seconds, or None where a new connection makes it incomparable.
    """

    version: str
    route: str
    failed: bool
    elapsed: float | None


class Features(NamedTuple):
    """Mechanisms that an experiment can switch off."""

    hedging: bool = True
    canary: bool = True
    retries: bool = True
    cancel: bool = True


class Service:
    """What the requests of one service share: upstreams, admission, budgets, plan."""

    def __init__(
        self,
        organisation: str,
        spec: ServiceSpec,
        preference: Preference,
        pool: UpstreamPool,
        crash_guard: CrashGuard,
        metrics: Metrics,
        traces: Traces,
        rng: random.Random,
        features: Features,
    ) -> None:
        self.organisation = organisation
        self.spec = spec
        self.preference = preference
        self.pool = pool
        self.crash_guard = crash_guard
        self.metrics = metrics
        self.traces = traces
        self.rng = rng
        self.features = features
        self.tasks = TaskSet()
        self.admission = Admission(self.concurrency, metrics)
        self.hedge_delay = SlidingQuantile(HEDGE_PERCENT, INITIAL_HEDGE_DELAY)
        self.hedge_budget = TokenBudget(HEDGE_RATIO, HEDGE_CAP, HEDGE_INITIAL)
        self.retry_budget = TokenBudget(RETRY_RATIO, RETRY_CAP, RETRY_INITIAL)
        self.route = VersionRoute(spec["version"], spec["version"], 0.0)
        self.evidence_listeners: list[Callable[[CallEvidence], None]] = []
        self.parked: list[WaitingTask] = []
        self.cached_plans: dict[str, Plan | None] = {}
        self.cached_concurrency = 1
        self.plan_made_at = 0.0
        self.plan_epoch = -1
        pool.capacity_listeners.append(self.handle_room)

    async def close(self) -> None:
        """Stop background work and the upstreams."""
        await self.pool.close()
        await self.tasks.close()

    def plan(self, version: str | None = None) -> Plan | None:
        """Plan for a new search by version, made anew when upstreams changed."""
        at = now()
        if self.plan_epoch != self.pool.plan_epoch or at - self.plan_made_at > PLAN_SECONDS:
            self.cached_plans = {}
            self.plan_made_at = at
            self.plan_epoch = self.pool.plan_epoch
            self.cached_concurrency = self.compute_concurrency(at)
        version = version or self.main_version()
        if version not in self.cached_plans:
            upstreams = self.pool.upstreams.values()
            self.cached_plans[version] = make_plan(upstreams, self.versions_for(version), at)
        return self.cached_plans[version]

    def set_route(self, route: VersionRoute, target_wanted: bool) -> None:
        """Route by a move; an unwanted target is neither used nor warmed up."""
        self.route = route
        wanted = (route.source, route.target) if target_wanted else (route.source,)
        self.pool.active_versions = frozenset(wanted)
        self.pool.invalidate_plans()

    def main_version(self) -> str:
        """Version that most requests use."""
        return self.route.target if self.route.weight > MAIN_WEIGHT else self.route.source

    def versions_for(self, version: str) -> tuple[str, ...]:
        """Versions that a request may use, the wanted one first.

        A request for the new version may fall back on the old one, never the other way round;
        once the new version's weight is zero, nothing goes there.
        """
        if version == self.route.source or self.route.weight == 0.0:
            return (self.route.source,)
        return (version, self.route.source)

    def concurrency(self) -> int:
        """Requests that the upstreams bear at once from this instance."""
        self.plan()
        return self.cached_concurrency

    def compute_concurrency(self, at: float) -> int:
        """Concurrency of the narrowest shard group that can take work at all."""
        if self.spec["kind"] == "run":
            versions = self.versions_for(self.main_version())
            limits = [
                item.limit
                for item in self.pool.upstreams.values()
                if item.version in versions and item.available(at)
            ]
            return max(1, sum(limits))
        plan = self.plan()
        if plan is None:
            return 1
        totals = [
            sum(upstream.limit for upstream in group.upstreams if upstream.available(at))
            for group in plan.groups
        ]
        return max(1, min((total for total in totals if total > 0), default=1))

    def reaches_all(self) -> bool:
        """Whether there is an upstream with room for every part of the service."""
        at = now()
        if self.spec["kind"] == "run":
            return any(upstream.has_capacity(at) for upstream in self.pool.upstreams.values())
        plan = self.plan()
        return plan is not None and all(
            any(upstream.has_capacity(at) for upstream in group.upstreams) for group in plan.groups
        )

    def choose_version(self) -> str:
        """Version for a new request, by the weights of a move."""
        if self.route.weight > 0 and self.rng.random() < self.route.weight:
            return self.route.target
        return self.route.source

    def note_evidence(self, evidence: CallEvidence) -> None:
        """Tell listeners how an exchange went."""
        for listener in self.evidence_listeners:
            listener(evidence)

    def park(self, task: WaitingTask) -> None:
        """Keep a shard task until an upstream has room."""
        self.parked.append(task)

    def forget_parked(self, search: SearchContext) -> None:
        """Drop the parked tasks of a search that ended."""
        if self.parked:
            self.parked = [task for task in self.parked if task.search is not search]

    def handle_room(self) -> None:
        """Let parked shard tasks try again, oldest first."""
        if not self.parked:
            return
        waiting = self.parked
        self.parked = []
        for task in waiting:
            if not task.finished:
                task.launch()
        self.admission.wake()
