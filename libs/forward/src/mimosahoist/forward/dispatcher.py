"""Entry point for callers' requests: matches the route and selects how the request is served.

A search is gathered from the upstreams of its shards, and a plain request is forwarded to one
upstream. Either may instead be relayed to another instance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.return_time import return_to_another_instance
from mimosahoist.forward.admission.validation import (
    NO_REQUEST_ID,
    NO_ROUTE,
    Refusal,
    parse_time_left,
)
from mimosahoist.forward.declarations import CallerLimits
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.headers import end_to_end_headers
from mimosahoist.forward.organisations.keys import CallerIdentity, replace_key
from mimosahoist.forward.organisations.usage_meter import RequestUsage
from mimosahoist.forward.outcomes import Forwarded, Gathered, NotRun, Parts, RequestOutcome
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.request import CallerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPHeaders

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.delegation import Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.organisations.usage_meter import UsageMeter
    from mimosahoist.forward.relay import RelayClient
    from mimosahoist.forward.routing import RouteTable
    from mimosahoist.forward.state_cache import StateCache

NO_CONFIGURATION = NotRun("no configuration is known yet", 0.5)
CRASHES_UPSTREAMS = NotRun("upstreams crash while running this request", 1.0)
STOPPING = NotRun("this instance is about to stop", 0.05, needs_new_connection=True)
CALLER_ROUND_TRIP_SECONDS = 0.008
CALLER_DEADLINE_MARGIN_SECONDS = 0.01
# A caller that has spent so much of its time before is one that returns.
RETURNED_SHARE = 0.05


class Dispatcher:
    """Validates requests, and has them gathered, forwarded or relayed.

    Attributes
    ----------
    label : str
        Name of a request in log events and metrics.
    serves_instances : bool
        Whether requests come from other instances instead of callers.
    relays : RelayClient or None
        Client for other instances that may serve requests for this one.
    delegation : Delegation or None
        Delegation of first calls for searches gathered here.
    stopping : bool
        Whether requests are rejected, because the instance stops before they could be answered.
    keys_current : callable
        Tells whether this instance may rely on the keys that it knows.
    usage_meter : UsageMeter or None
        Counts the requests of each organisation; None if they are not reported.
    """

    label = "request"
    serves_instances = False

    def __init__(
        self,
        state_cache: StateCache,
        engine: ForwardEngine,
        header_names: HeaderNames,
        metrics: Metrics,
        relays: RelayClient | None = None,
        delegation: Delegation | None = None,
    ) -> None:
        self.state_cache = state_cache
        self.relays = relays
        self.delegation = delegation
        self.engine = engine
        self.header_names = header_names
        self.metrics = metrics
        self.stopping = False
        self.keys_current: Callable[[], bool] = lambda: True
        self.usage_meter: UsageMeter | None = None
        self.rewritten_headers = frozenset(
            (header_names.time_left.lower(), header_names.wanted_upstream.lower())
        )

    @property
    def limits(self) -> CallerLimits:
        """Caller limits of the active configuration; the defaults until one is known."""
        routes = self.state_cache.routes
        return routes.configuration.limits if routes is not None else CallerLimits()

    def upstreams_called(self, target: str, headers: HTTPHeaders) -> int:
        """Number of upstreams that a request is sent to at first."""
        routes = self.state_cache.routes
        route = routes.find(headers.get("Host", ""), target) if routes is not None else None
        return max(1, len(route.shards)) if route is not None else 1

    async def dispatch(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RequestOutcome | Refusal:
        """Validate and serve one request."""
        if self.stopping:
            return STOPPING
        routes = self.state_cache.routes
        if routes is None:
            return NO_CONFIGURATION
        route = routes.find(headers.get("Host", ""), target)
        if route is None:
            return NO_ROUTE
        if not headers.get(self.header_names.request_id):
            return NO_REQUEST_ID
        identity = self.identify(routes, route, headers)
        if not isinstance(identity, CallerIdentity):
            return identity
        if self.engine.reachability.unreachable_domains and not self.engine.is_reachable(route):
            return self.reject_unreachable()
        request = self.make_request(route, method, target, headers, body)
        self.set_identity(request, routes, identity)
        if self.engine.crashes.records and self.engine.crashes.is_rejected(request.fingerprint):
            return CRASHES_UPSTREAMS
        outcome = await self.execute(request)
        request.record_end(not isinstance(outcome, NotRun | Refusal))
        return outcome

    def identify(
        self, routes: RouteTable, route: Route, headers: HTTPHeaders
    ) -> CallerIdentity | Refusal | NotRun:
        """Identify the organisation of the caller, or refuse the request."""
        return routes.keys.identify(route, headers, self.header_names, self.keys_current())

    def set_identity(
        self, request: CallerRequest, routes: RouteTable, identity: CallerIdentity
    ) -> None:
        """Pass the organisation on in place of the key, and count the request for it."""
        if identity.priority is not None:
            request.priority = identity.priority
        if not routes.keys.enabled or self.serves_instances:
            return
        replace_key(request.headers, self.header_names, identity)
        if self.usage_meter is not None and identity.organisation is not None:
            request.usage = RequestUsage(self.usage_meter, identity.organisation)

    def reject_unreachable(self) -> NotRun:
        """Reject a request that too few upstreams within reach of this instance could serve."""
        since = self.engine.reachability.suspected_since
        return NotRun(
            "too few upstreams are within reach of this instance",
            return_to_another_instance(since, now(), self.engine.rng),
            needs_new_connection=True,
        )

    async def execute(self, request: CallerRequest) -> RequestOutcome | Refusal:
        """Relay a request, or gather or forward it from this instance."""
        outcome = None
        if self.relays is not None and request.route.repeatable:
            outcome = await self.relays.relay(request)
        if outcome is not None:
            return outcome
        if request.route.shards:
            return await ScatterGather(self.engine, request, self.delegation).run()
        return await PlainForward(self.engine, request).run()

    def make_request(
        self, route: Route, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> CallerRequest:
        """Build a request, with its deadlines on the event loop's clock."""
        arrived = now()
        left = parse_time_left(headers.get(self.header_names.time_left))
        if left is None:
            left = route.timeout
        waited = self.engine.timing(route).already_waited(left)
        caller_deadline = arrived + left
        return CallerRequest(
            headers[self.header_names.request_id],
            route,
            method,
            target,
            end_to_end_headers(headers, self.rewritten_headers),
            body,
            arrived,
            caller_deadline,
            min(arrived + route.timeout, caller_deadline - CALLER_DEADLINE_MARGIN_SECONDS),
            arrived + route.target_latency - waited - CALLER_ROUND_TRIP_SECONDS,
            self.state_cache.routes.configuration.version,
            route.priority,
            waited > RETURNED_SHARE * left,
        )

    def record_outcome(
        self, headers: HTTPHeaders, outcome: RequestOutcome | Refusal, elapsed: float
    ) -> None:
        """Count an outcome, and log it unless it is a complete success."""
        name = type(outcome).__name__.lower()
        self.metrics.count(f"{self.label}s_{name}")
        self.metrics.latency(f"{self.label}_{name}").record(elapsed)
        if is_complete_success(outcome):
            return
        json_log.info(
            f"{self.label} ended",
            request=headers.get(self.header_names.request_id, ""),
            outcome=name,
            reason=getattr(outcome, "reason", ""),
            missing=getattr(outcome, "missing", 0),
            milliseconds=round(elapsed * 1000, 1),
            version=self.state_cache.routes.configuration.version if self.state_cache.routes else 0,
        )


def is_complete_success(outcome: RequestOutcome | Refusal) -> bool:
    """Whether an outcome needs no log entry."""
    if isinstance(outcome, Gathered):
        return not outcome.missing
    if isinstance(outcome, Forwarded):
        return outcome.answer.is_success
    return isinstance(outcome, Parts)
