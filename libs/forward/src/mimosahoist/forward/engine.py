"""State and operations shared by all requests of an instance."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.admission.gate import AdmissionGate
from mimosahoist.forward.balancing.choice import ChoiceContext, choose
from mimosahoist.forward.completion import required_parts
from mimosahoist.forward.crash_tracker import CrashTracker
from mimosahoist.forward.domain_reachability import DomainReachability
from mimosahoist.forward.outcomes import Answered, LossKind, Lost, Refused, Unreached
from mimosahoist.forward.route_timing import RouteTiming

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from mimosahoist.core.merging import PartMerger
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.outcomes import CallOutcome
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.upstream import Upstream


CallListener = Callable[["Upstream", "Route", "CallOutcome | None", float], None]
"""Receives each call's upstream, route, outcome (None if it was cancelled) and time in seconds."""


# Cancelling a call closes its connection, so calls that are no longer needed get time to end.
SUPERSEDED_CALL_GRACE_SECONDS = 0.4
# A cancelled call says nothing about its upstream unless it took clearly longer than usual.
OVERDUE_LATENCY_MULTIPLE = 3.0


STATUS_UNAVAILABLE = 503


class Availability(enum.Enum):
    """Whether a service without a selectable upstream is likely to have one soon."""

    SOON = "soon"
    UNCERTAIN = "uncertain"
    NONE = "none"


class ForwardEngine:
    """Selects upstreams, sends calls and records their outcomes."""

    def __init__(
        self,
        fleet: UpstreamFleet,
        header_names: HeaderNames,
        merger: PartMerger[bytes],
        failure_domain: str,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.header_names = header_names
        self.merger = merger
        self.failure_domain = failure_domain
        self.metrics = metrics
        self.rng = rng
        self.tasks = TaskSet()
        self.crashes = CrashTracker()
        self.reachability = DomainReachability(failure_domain)
        self.timings: dict[str, RouteTiming] = {}
        self.gate = AdmissionGate(fleet, self.timing, self.usable_upstreams, metrics, rng)
        self.call_listeners: list[CallListener] = []

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        await self.tasks.close()
        self.fleet.close()

    def timing(self, route: Route) -> RouteTiming:
        """Call latencies of a route."""
        found = self.timings.get(route.name)
        if found is None:
            found = RouteTiming(route.target_latency)
            self.timings[route.name] = found
        return found

    def choose(
        self, route: Route, service: str, tried: set[str], due: float = math.inf
    ) -> Upstream | None:
        """Select an upstream for one call of a route; None if no untried one can take it.

        Parameters
        ----------
        due : float
            Loop time until which the call should be answered.
        """
        context = ChoiceContext(
            now(),
            self.timing(route).median.value,
            self.failure_domain,
            self.fleet.domains_out,
            self.reachability.unreachable_domains,
            self.rng,
            due - now() if due > now() else math.inf,
        )
        upstreams = self.fleet.eligible_upstreams(service)
        split = self.fleet.splits.get(service)
        if split is None:
            return choose(upstreams, tried, context)
        for group in split.candidate_groups(upstreams, route.name, not tried):
            chosen = choose(group, tried, context)
            if chosen is not None:
                split.record_call(chosen, route.name, not tried)
                return chosen
        return None

    def is_behind(self, service: str) -> bool:
        """Whether all copies of a service report that a round of their slots or more is waiting.

        A hedge is then answered no sooner, and makes all others wait longer.
        """
        at = now()
        usable = self.usable_upstreams(service)
        return bool(usable) and all(
            upstream.loads.tell_slowdown
            and upstream.load.is_recent(at)
            and upstream.load.waiting >= upstream.load.slots
            for upstream in usable
        )

    def is_reachable(self, route: Route, excluded: frozenset[str] | None = None) -> bool:
        """Whether enough of a route's services have an upstream in a reachable failure domain.

        Parameters
        ----------
        excluded : frozenset of str, optional
            Failure domains to leave out; by default the unreachable ones.
        """
        if excluded is None:
            excluded = self.reachability.unreachable_domains
        services = route.shards or tuple(target.service for target in route.targets)
        reached = sum(
            any(
                upstream.record.failure_domain not in excluded
                for upstream in self.fleet.eligible_upstreams(service)
            )
            for service in services
        )
        return reached >= required_parts(len(services), route.min_coverage if route.shards else 0.0)

    def availability(self, service: str, tried: set[str], by: float) -> Availability:
        """Expected availability of a service that has no selectable upstream now.

        Parameters
        ----------
        by : float
            Loop time in seconds; upstreams whose announcements allow no call before it are of no
            use to the request.
        """
        at = now()
        usable = self.usable_upstreams(service)
        listed = [upstream for upstream in usable if upstream.callable_at(at) <= by]
        untried = [item for item in listed if item.record.name not in tried]
        if any(
            item.health.ejected_until <= at and not item.health.on_probation for item in untried
        ):
            return Availability.SOON
        return Availability.UNCERTAIN if listed else Availability.NONE

    def usable_upstreams(self, service: str) -> list[Upstream]:
        """Upstreams of a service that stay and are within reach, whether they can be called now."""
        return [
            upstream
            for upstream in self.fleet.eligible_upstreams(service)
            if not (upstream.removed or upstream.leaving)
            and upstream.record.failure_domain not in self.fleet.domains_out
            and upstream.record.failure_domain not in self.reachability.unreachable_domains
        ]

    def callable_at(self, service: str) -> float:
        """Loop time from which announcements allow a call to a service; infinite if none do."""
        at = now()
        usable = self.usable_upstreams(service)
        return min((upstream.callable_at(at) for upstream in usable), default=math.inf)

    def record_refusal(self, upstream: str) -> None:
        """Record that an upstream refused a call that another instance made for this one."""
        found = self.fleet.by_name.get(upstream)
        if found is not None:
            found.health.record_refusal(now())
            self.gate.record_call(found, Refused(STATUS_UNAVAILABLE))

    def record_overdue(self, upstreams: Iterable[Upstream]) -> None:
        """Count calls not answered in the usual time as failures of their failure domains."""
        for upstream in upstreams:
            self.reachability.record_failure(upstream.record.failure_domain, now())

    async def call(self, upstream: Upstream, request: CallerRequest, until: float) -> CallOutcome:
        """Send one call and record its outcome."""
        self.metrics.count("calls")
        if upstream.record.failure_domain != self.failure_domain:
            self.metrics.count("calls_to_other_domains")
        started = now()
        outcome: CallOutcome | None = None
        try:
            outcome = await upstream.call(request, until)
        finally:
            if outcome is None:
                self.record_unanswered(upstream, request.route, now() - started)
            for listener in self.call_listeners:
                listener(upstream, request.route, outcome, now() - started)
        self.metrics.count(f"calls_{type(outcome).__name__.lower()}")
        self.gate.record_call(upstream, outcome)
        if isinstance(outcome, Answered | Refused):
            self.reachability.record_response(upstream.record.failure_domain, now())
        elif isinstance(outcome, Lost | Unreached):
            if outcome == Lost(LossKind.BROKEN):
                self.tasks.spawn(
                    self.check_for_crash(upstream, request), "check for upstream crash"
                )
            self.reachability.record_failure(upstream.record.failure_domain, now())
        if isinstance(outcome, Answered):
            if upstream.record.failure_domain != self.failure_domain:
                self.metrics.count("bytes_from_other_domains", len(outcome.body))
            self.record_answer(upstream, request.route, outcome)
            if self.crashes.records:
                self.crashes.clear(request.fingerprint)
        elif isinstance(outcome, Refused) and outcome.other_instance:
            self.fleet.remove(upstream.record.name, "its address belongs to another instance")
        return outcome

    async def check_for_crash(self, upstream: Upstream, request: CallerRequest) -> None:
        """Attribute a broken call to its request if the upstream accepts no new connection."""
        if not await upstream.accepts_connection():
            self.crashes.record_crash(request.fingerprint, upstream.record.name, request.id)

    def record_unanswered(self, upstream: Upstream, route: Route, elapsed: float) -> None:
        """Record that a cancelled call had no answer yet, if it was overdue.

        Otherwise an upstream whose calls hang would look as good as before, because a hedged
        search ends and cancels them long before they time out.
        """
        median = self.timing(route).median.value
        if median > 0 and elapsed > OVERDUE_LATENCY_MULTIPLE * median:
            upstream.health.record_latency_ratio(elapsed / median, now())

    def record_answer(self, upstream: Upstream, route: Route, answer: Answered) -> None:
        """Record an answer time for the route and for the upstream's relative speed."""
        timing = self.timing(route)
        if timing.median.value > 0:
            # What slows its machine down for the moment is known from its report.
            usual = answer.elapsed / upstream.loads.slowdown(now())
            upstream.health.record_latency_ratio(usual / timing.median.value, now())
        timing.record(answer.elapsed)


def certainly_not_run(outcome: CallOutcome) -> bool:
    """Whether it is certain that the upstream did not run the call."""
    return isinstance(outcome, Refused | Unreached)
