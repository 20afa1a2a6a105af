"""Upstreams of one service, and the selection among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.upstream.upstream import Upstream, UpstreamGroup

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.platform.kinds import InstanceRecord, ServiceSpec
    from mimosahoist.upstream.quota import ShareView
    from mimosahoist.upstream.ramp import RampState
    from mimosahoist.upstream.transport import Transport

COLD_PICK_PROBABILITY = 0.1
MEDIAN_PERCENT = 50.0
OTHER_VERSION_PENALTY = 1000.0


class UpstreamPool(UpstreamGroup):
    """All upstreams of one service."""

    def __init__(
        self,
        spec: ServiceSpec,
        transport: Transport,
        shares: ShareView,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.spec = spec
        self.transport = transport
        self.shares = shares
        self.metrics = metrics
        self.rng = rng
        self.upstreams: dict[str, Upstream] = {}
        self.tasks = TaskSet()
        self.domains_out: frozenset[str] = frozenset()
        self.warm_latency = SlidingQuantile(MEDIAN_PERCENT, 0.0)
        self.active_versions = frozenset((spec["version"],))
        self.plan_epoch = 0
        self.capacity_listeners: list[Callable[[], None]] = []
        self.ramp_listeners: list[Callable[[str, RampState], None]] = []

    async def close(self) -> None:
        """Close all upstreams."""
        await self.tasks.close()
        for upstream in self.upstreams.values():
            await upstream.close()

    async def add(self, name: str, record: InstanceRecord) -> Upstream:
        """Start using an upstream."""
        upstream = Upstream(
            name,
            record["address"],
            record["failure_domain"],
            record.get("version", ""),
            self.spec,
            self.transport,
            self,
        )
        self.upstreams[name] = upstream
        await upstream.start()
        self.invalidate_plans()
        return upstream

    async def remove(self, name: str) -> None:
        """Stop using an upstream that is no longer listed; calls in flight may complete."""
        upstream = self.upstreams.pop(name)
        self.invalidate_plans()
        self.tasks.spawn(upstream.retire(), f"retire {name}")

    def median_latency(self) -> float | None:
        """Return the median latency of warm upstreams in seconds, or None with too few replies."""
        return self.warm_latency.value or None

    def notify_capacity(self) -> None:
        """Notify listeners that an upstream may have free capacity."""
        for listener in self.capacity_listeners:
            listener()

    def invalidate_plans(self) -> None:
        """Invalidate all plans made from the previous set of upstreams and snapshots."""
        self.plan_epoch += 1

    def publish_ramp(self, name: str, state: RampState) -> None:
        """Notify listeners of a ramp state that this instance has decided."""
        for listener in self.ramp_listeners:
            listener(name, state)
        self.notify_capacity()

    def pick(
        self,
        candidates: Iterable[Upstream],
        versions: tuple[str, ...],
        excluded: Iterable[Upstream] = (),
    ) -> Upstream | None:
        """Choose an upstream with free capacity, or None if there is none.

        The lowest product of own in-flight calls and latency wins; the first of `versions` takes
        precedence over the others. Some calls go to a cold upstream of that version regardless,
        so that its ramp advances. Load reported by upstreams is not used, as it lags and misleads.
        """
        at = now()
        best = None
        best_score = 0.0
        for upstream in candidates:
            if upstream.version not in versions or upstream in excluded:
                continue
            if not upstream.has_capacity(at):
                continue
            score = (upstream.in_flight + 1) * upstream.latency
            if upstream.version != versions[0]:
                score += OTHER_VERSION_PENALTY
            elif not upstream.ramp.warm and self.rng.random() < COLD_PICK_PROBABILITY:
                return upstream
            if best is None or score < best_score:
                best = upstream
                best_score = score
        return best
