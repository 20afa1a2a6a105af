"""State shared by all requests to one service."""

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

HEDGE_PERCENTILE = 97.0
HEDGE_BUDGET_RATIO = 0.045
HEDGE_BUDGET_CAP = 10.0
HEDGE_BUDGET_INITIAL = 1.0
INITIAL_HEDGE_DELAY_SECONDS = 0.05
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_CAP = 200.0
RETRY_BUDGET_INITIAL = 50.0
PLAN_MAX_AGE_SECONDS = 0.1
MAJORITY_WEIGHT = 0.5


class VersionRoute(NamedTuple):
    """Traffic split between two versions; `weight` is the fraction that goes to `target`."""

    source: str
    target: str
    weight: float


class CallObservation(NamedTuple):
    """Outcome of one call to an upstream, used to compare versions.

    `elapsed` is in seconds, or None if it includes connection setup and is not comparable.
    """

    version: str
    route: str
    failed: bool
    elapsed: float | None


class FeatureFlags(NamedTuple):
    """Mechanisms that experiments can disable."""

    hedging: bool = True
    canary: bool = True
    retries: bool = True
    cancel: bool = True


class Service:
    """Upstreams, admission, budgets and plans shared by the requests to one service."""

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
        features: FeatureFlags,
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
        self.hedge_delay = SlidingQuantile(HEDGE_PERCENTILE, INITIAL_HEDGE_DELAY_SECONDS)
        self.hedge_budget = TokenBudget(HEDGE_BUDGET_RATIO, HEDGE_BUDGET_CAP, HEDGE_BUDGET_INITIAL)
        self.retry_budget = TokenBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_CAP, RETRY_BUDGET_INITIAL)
        self.route = VersionRoute(spec["version"], spec["version"], 0.0)
        self.observation_listeners: list[Callable[[CallObservation], None]] = []
        self.parked: list[WaitingTask] = []
        self.cached_plans: dict[str, Plan | None] = {}
        self.cached_concurrency = 1
        self.planned_at = 0.0
        self.plan_epoch = -1
        pool.capacity_listeners.append(self.retry_parked)

    async def close(self) -> None:
        """Close the upstreams and cancel background tasks."""
        await self.pool.close()
        await self.tasks.close()

    def plan(self, version: str | None = None) -> Plan | None:
        """Plan for a new search that prefers `version`, or None if no snapshot is available.

        Plans are cached, and recomputed when upstreams change or the cached plans are too old.
        """
        at = now()
        if self.plan_epoch != self.pool.plan_epoch or at - self.planned_at > PLAN_MAX_AGE_SECONDS:
            self.cached_plans = {}
            self.planned_at = at
            self.plan_epoch = self.pool.plan_epoch
            self.cached_concurrency = self.compute_concurrency(at)
        version = version or self.majority_version()
        if version not in self.cached_plans:
            upstreams = self.pool.upstreams.values()
            self.cached_plans[version] = make_plan(upstreams, self.allowed_versions(version), at)
        return self.cached_plans[version]

    def set_route(self, route: VersionRoute, target_wanted: bool) -> None:
        """Apply a move's traffic split.

        Without `target_wanted`, the target version is neither used nor warmed up.
        """
        self.route = route
        wanted = (route.source, route.target) if target_wanted else (route.source,)
        self.pool.active_versions = frozenset(wanted)
        self.pool.invalidate_plans()

    def majority_version(self) -> str:
        """Version that receives the majority of requests."""
        return self.route.target if self.route.weight > MAJORITY_WEIGHT else self.route.source

    def allowed_versions(self, version: str) -> tuple[str, ...]:
        """Versions that a request may use, with the preferred one first.

        A request for the new version may fall back to the old one, but never the other way round.
        Once the new version's weight is zero, it receives no requests at all.
        """
        if version == self.route.source or self.route.weight == 0.0:
            return (self.route.source,)
        return (version, self.route.source)

    def concurrency(self) -> int:
        """Maximum concurrent requests from this instance that the upstreams can serve."""
        self.plan()
        return self.cached_concurrency

    def compute_concurrency(self, at: float) -> int:
        """Concurrency limit of the bottleneck: the shard group with the lowest total limit.

        Groups without any capacity are ignored. A run service has no shards, so the limits of its
        upstreams are added up.
        """
        if self.spec["kind"] == "run":
            versions = self.allowed_versions(self.majority_version())
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

    def can_serve_all_shards(self) -> bool:
        """Whether every shard has an upstream with free capacity.

        For a run service, one upstream with free capacity is enough.
        """
        at = now()
        if self.spec["kind"] == "run":
            return any(upstream.has_capacity(at) for upstream in self.pool.upstreams.values())
        plan = self.plan()
        return plan is not None and all(
            any(upstream.has_capacity(at) for upstream in group.upstreams) for group in plan.groups
        )

    def choose_version(self) -> str:
        """Choose the version for a new request at random, according to the traffic split."""
        if self.route.weight > 0 and self.rng.random() < self.route.weight:
            return self.route.target
        return self.route.source

    def publish_observation(self, observation: CallObservation) -> None:
        """Pass the outcome of a call to the listeners."""
        for listener in self.observation_listeners:
            listener(observation)

    def park(self, task: WaitingTask) -> None:
        """Queue a shard task until an upstream has free capacity."""
        self.parked.append(task)

    def discard_parked(self, search: SearchContext) -> None:
        """Discard the parked tasks of a search that has ended."""
        if self.parked:
            self.parked = [task for task in self.parked if task.search is not search]

    def retry_parked(self) -> None:
        """Relaunch parked shard tasks in arrival order.

        If there were any, also admit queued requests.
        """
        if not self.parked:
            return
        waiting = self.parked
        self.parked = []
        for task in waiting:
            if not task.finished:
                task.launch()
        self.admission.admit_waiters()
