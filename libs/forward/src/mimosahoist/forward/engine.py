"""What all requests of an instance share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.choice import ChoiceContext, choose
from mimosahoist.forward.outcomes import Answered, Refused, Unreached
from mimosahoist.forward.route_timing import RouteTiming

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.merge import PartMerger
    from mimosahoist.forward.outcomes import CallOutcome
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.upstream import Upstream


class ForwardEngine:
    """Chooses upstreams, sends calls and keeps what they teach."""

    def __init__(
        self,
        fleet: UpstreamFleet,
        names: HeaderNames,
        merger: PartMerger,
        failure_domain: str,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.names = names
        self.merger = merger
        self.failure_domain = failure_domain
        self.metrics = metrics
        self.rng = rng
        self.tasks = TaskSet()
        self.timings: dict[str, RouteTiming] = {}

    async def close(self) -> None:
        """End all calls."""
        await self.tasks.close()
        self.fleet.close()

    def timing(self, route: Route) -> RouteTiming:
        """Answer times of a route."""
        found = self.timings.get(route.name)
        if found is None:
            found = RouteTiming(route.target_latency)
            self.timings[route.name] = found
        return found

    def choose(self, route: Route, service: str, tried: set[str]) -> Upstream | None:
        """Upstream for one call of a route, or None if none has room."""
        context = ChoiceContext(
            now(),
            self.timing(route).median.value,
            self.failure_domain,
            self.fleet.domains_out,
            self.rng,
        )
        return choose(self.fleet.of(service), tried, context)

    async def call(self, upstream: Upstream, request: CallerRequest, until: float) -> CallOutcome:
        """Send one call and learn from its outcome."""
        self.metrics.count("calls")
        if upstream.record.failure_domain != self.failure_domain:
            self.metrics.count("calls_to_other_domains")
        outcome = await upstream.call(request, until)
        self.metrics.count(f"calls_{type(outcome).__name__.lower()}")
        if isinstance(outcome, Answered):
            if upstream.record.failure_domain != self.failure_domain:
                self.metrics.count("bytes_from_other_domains", len(outcome.body))
            self.learn(upstream, request.route, outcome)
        elif isinstance(outcome, Refused) and outcome.other_instance:
            self.fleet.remove(upstream.record.name, "another instance has its address")
        return outcome

    def learn(self, upstream: Upstream, route: Route, answer: Answered) -> None:
        """Take an answer time in."""
        timing = self.timing(route)
        if timing.median.value > 0:
            upstream.health.note_speed(answer.elapsed / timing.median.value)
        timing.record(answer.elapsed)


def certainly_not_run(outcome: CallOutcome) -> bool:
    """Whether the upstream cannot have run the call."""
    return isinstance(outcome, Refused | Unreached)
