"""Turns requests away that would be begun in vain, with what this instance knows of upstreams."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.decision import Candidate, Rejection, decide, needed_repeats
from mimosahoist.forward.admission.outlook import ServiceOutlook, service_outlook
from mimosahoist.forward.admission.return_time import return_after_wait
from mimosahoist.forward.balancing.health import RefusalRate
from mimosahoist.forward.completion import required_parts
from mimosahoist.forward.outcomes import Answered, NotRun, Refused

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Configuration, Route
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.outcomes import CallOutcome
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.route_timing import RouteTiming
    from mimosahoist.forward.upstream import Upstream

# Time after a call that was turned away, lost or met a queue in which its service is looked at.
SHORTAGE_SECONDS = 1.0
# A service gets many more calls than a single upstream, and a few refusals in a row say little.
SERVICE_SMOOTHING = 0.06


class Competition(NamedTuple):
    """The routes that share services with one.

    Attributes
    ----------
    priorities : tuple of int
        Their priorities in order, the most urgent first.
    urgent_seconds : float
        Target latency of the most urgent of them.
    """

    priorities: tuple[int, ...]
    urgent_seconds: float


class AdmissionGate:
    """Decides on each request before anything is sent for it.

    Attributes
    ----------
    timing, usable_upstreams : callable
        Give the latencies of a route, and the upstreams of a service that are within reach.
    competitions : dict
        Routes with which each route shares services, by its name.
    refusals : dict
        Share of calls turned away, by service; without those that never turned one away.
    reserved : dict
        Repeats set aside for requests in progress, by service.
    short_until : dict
        Loop time until which a service counts as short of room. The others are not looked at: most
        are not, and a search has very many.
    """

    def __init__(
        self,
        fleet: UpstreamFleet,
        timing: Callable[[Route], RouteTiming],
        usable_upstreams: Callable[[str], list[Upstream]],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet
        self.timing = timing
        self.usable_upstreams = usable_upstreams
        self.metrics = metrics
        self.rng = rng
        self.competitions: dict[str, Competition] = {}
        self.refusals: dict[str, RefusalRate] = {}
        self.reserved: dict[str, float] = {}
        self.short_until: dict[str, float] = {}

    def record_call(self, upstream: Upstream, outcome: CallOutcome) -> None:
        """Record how a call ended, and whether its service is short of room."""
        service = upstream.record.service
        if isinstance(outcome, Answered):
            self.record_refusal(service, False)
            if upstream.load is not None and upstream.load.is_queueing:
                self.short_until[service] = now() + SHORTAGE_SECONDS
            return
        self.short_until[service] = now() + SHORTAGE_SECONDS
        if isinstance(outcome, Refused):
            self.record_refusal(service, True)

    def record_refusal(self, service: str, was_refused: bool) -> None:
        """Record whether a call to a service was turned away."""
        rate = self.refusals.get(service)
        if rate is None:
            if not was_refused:
                return
            rate = self.refusals.setdefault(service, RefusalRate(SERVICE_SMOOTHING))
        rate.record(was_refused, now())

    def refusal_rate(self, service: str) -> float:
        """Share of the recent calls to a service that were turned away."""
        rate = self.refusals.get(service)
        return 0.0 if rate is None else rate.value(now())

    def reserve(self, service: str) -> float:
        """Set aside the repeats that a call is expected to need; return how many."""
        needed = needed_repeats(self.refusal_rate(service))
        if needed:
            self.reserved[service] = self.reserved.get(service, 0.0) + needed
        return needed

    def release(self, service: str, repeats: float) -> None:
        """Return repeats that were set aside."""
        if repeats:
            self.reserved[service] = max(0.0, self.reserved.get(service, 0.0) - repeats)

    def configure(self, configuration: Configuration) -> None:
        """Find out which routes compete for the same services."""
        self.competitions = find_competitions(configuration)

    def is_short(self, service: str, at: float) -> bool:
        """Whether a service is short of room, or has no upstream at all."""
        if self.short_until.get(service, 0.0) >= at:
            return True
        return not self.fleet.services.get(service)

    def outlooks(self, route: Route, services: tuple[str, ...]) -> list[ServiceOutlook]:
        """Outlooks for services of a route."""
        at = now()
        usual_seconds = self.timing(route).unloaded_seconds
        usual = ServiceOutlook(0.0, at + usual_seconds, 0.0, math.inf)
        return [
            (
                usual
                if not self.is_short(service, at)
                else service_outlook(
                    self.usable_upstreams(service),
                    usual_seconds,
                    self.refusal_rate(service),
                    self.fleet.budget(service).remaining(at) - self.reserved.get(service, 0.0),
                    at,
                )
            )
            for service in services
        ]

    def check(self, request: CallerRequest, services: tuple[str, ...]) -> NotRun | None:
        """Turn a request away that would be begun in vain; None if it is to be begun."""
        at = now()
        if not any(self.is_short(service, at) for service in services):
            return None
        route = request.route
        competition = self.competitions.get(route.name)
        if competition is None:
            competition = Competition((route.priority,), route.target_latency)
        candidate = Candidate(
            self.outlooks(route, services),
            required_parts(len(services), route.min_coverage) if route.shards else 1,
            sum(priority < request.priority for priority in competition.priorities),
            request.has_returned,
            request.deadline,
            competition.urgent_seconds,
        )
        rejection = decide(candidate, at, self.rng)
        if rejection is None:
            return None
        return self.reject(request, services, candidate, rejection)

    def reject(
        self,
        request: CallerRequest,
        services: tuple[str, ...],
        candidate: Candidate,
        rejection: Rejection,
    ) -> NotRun:
        """Log a rejection and return it; the request still counts for the services' budgets."""
        at = now()
        for service in services:
            self.fleet.budget(service).record_first_send(at)
        self.metrics.count(f"requests_rejected_{rejection.reason.name.lower()}")
        wait = rejection.possible_at - at
        json_log.info(
            "request not begun",
            request=request.id,
            reason=rejection.reason.name.lower(),
            rank=candidate.rank,
            has_returned=candidate.has_returned,
            possible_in_milliseconds=round(wait * 1000, 1) if math.isfinite(wait) else None,
            repeats_left=round(min(item.repeats_left for item in candidate.outlooks), 1),
        )
        return NotRun(
            str(rejection.reason),
            return_after_wait(rejection.possible_at, at, self.rng),
            is_overload=True,
        )


def find_competitions(configuration: Configuration) -> dict[str, Competition]:
    """Find for each route the routes that share a service with it, itself among them.

    A configuration may have thousands of routes, but they name few sets of services.
    """
    ranks: defaultdict[str, set[tuple[int, float]]] = defaultdict(set)
    for route in configuration.routes:
        for service in services_of(route):
            ranks[service].add((route.priority, route.target_latency))
    by_services: dict[frozenset[str], Competition] = {}
    found = {}
    for route in configuration.routes:
        services = services_of(route)
        if services not in by_services:
            sharing = set().union(*(ranks[service] for service in services))
            by_services[services] = make_competition(sharing, route)
        found[route.name] = by_services[services]
    return found


def make_competition(sharing: set[tuple[int, float]], route: Route) -> Competition:
    """Competition among the priorities and target latencies of routes that share services."""
    sharing = sharing or {(route.priority, route.target_latency)}
    priorities = tuple(sorted({priority for priority, _ in sharing}))
    return Competition(priorities, min(sharing)[1])


def services_of(route: Route) -> frozenset[str]:
    """Services that a route's requests need."""
    return frozenset(route.shards) | {target.service for target in route.targets}
