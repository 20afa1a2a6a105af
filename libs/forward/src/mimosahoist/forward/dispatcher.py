"""From a caller's request to its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission import NO_REQUEST_ID, NO_ROUTE, Refusal, parse_time_left
from mimosahoist.forward.declarations import CallerLimits
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.headers import end_to_end
from mimosahoist.forward.outcomes import Forwarded, Gathered, NotRun, Parts, RequestOutcome
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.request import CallerRequest

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.delegation import Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.relay import Relays
    from mimosahoist.forward.state_cache import StateCache

NO_CONFIGURATION = NotRun("no configuration is known yet", 0.5)
CRASHES_UPSTREAMS = NotRun("upstreams crash under this request", 1.0)
CUT_OFF = NotRun("too few upstreams are within reach of this instance", 0.05)
CALLER_TRIP_SECONDS = 0.008
ANSWER_SECONDS = 0.01


class Dispatcher:
    """Finds the route of a request and has it gathered or forwarded.

    Attributes
    ----------
    hop : str
        What a request is here, in logs and counters.
    relays : Relays or None
        Other instances that may serve for this one.
    delegation : Delegation or None
        Other instances that may make first calls of searches gathered here.
    """

    hop = "request"

    def __init__(
        self,
        state_cache: StateCache,
        engine: ForwardEngine,
        names: HeaderNames,
        metrics: Metrics,
        relays: Relays | None = None,
        delegation: Delegation | None = None,
    ) -> None:
        self.state_cache = state_cache
        self.relays = relays
        self.delegation = delegation
        self.engine = engine
        self.names = names
        self.metrics = metrics
        self.own_headers = frozenset((names.time_left.lower(), names.wanted_upstream.lower()))

    @property
    def limits(self) -> CallerLimits:
        """Limits in force for callers."""
        routes = self.state_cache.routes
        return routes.configuration.limits if routes is not None else CallerLimits()

    async def dispatch(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RequestOutcome | Refusal:
        """Serve one request."""
        routes = self.state_cache.routes
        if routes is None:
            return NO_CONFIGURATION
        route = routes.find(headers.get("Host", ""), target)
        if route is None:
            return NO_ROUTE
        if not headers.get(self.names.request_id):
            return NO_REQUEST_ID
        if self.engine.reach.unreachable_domains and not self.engine.within_reach(route):
            return CUT_OFF
        request = self.make_request(route, method, target, headers, body)
        if self.engine.crashes.records and self.engine.crashes.is_rejected(request.fingerprint):
            return CRASHES_UPSTREAMS
        return await self.carry(request)

    async def carry(self, request: CallerRequest) -> RequestOutcome | Refusal:
        """Have a request gathered, here or elsewhere, or run by one upstream."""
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
        """Work out the times of a request."""
        arrived = now()
        left = parse_time_left(headers.get(self.names.time_left))
        if left is None:
            left = route.timeout
        waited = self.engine.timing(route).already_waited(left)
        caller_deadline = arrived + left
        return CallerRequest(
            headers[self.names.request_id],
            route,
            method,
            target,
            end_to_end(headers, self.own_headers),
            body,
            arrived,
            caller_deadline,
            min(arrived + route.timeout, caller_deadline - ANSWER_SECONDS),
            arrived + route.target_latency - waited - CALLER_TRIP_SECONDS,
            self.state_cache.routes.configuration.version,
        )

    def note_outcome(
        self, headers: HTTPHeaders, outcome: RequestOutcome | Refusal, elapsed: float
    ) -> None:
        """Count an outcome, and log one that is no plain success."""
        name = type(outcome).__name__.lower()
        self.metrics.count(f"{self.hop}s_{name}")
        self.metrics.latency(f"{self.hop}_{name}").record(elapsed)
        whole = isinstance(outcome, Gathered) and not outcome.missing
        if (
            whole
            or isinstance(outcome, Parts)
            or (isinstance(outcome, Forwarded) and outcome.answer.is_success)
        ):
            return
        json_log.info(
            f"{self.hop} ended",
            request=headers.get(self.names.request_id, ""),
            outcome=name,
            reason=getattr(outcome, "reason", ""),
            missing=getattr(outcome, "missing", 0),
            milliseconds=round(elapsed * 1000, 1),
            version=self.state_cache.routes.configuration.version if self.state_cache.routes else 0,
        )


def is_plain_success(outcome: RequestOutcome | Refusal) -> bool:
    """Whether nothing of an outcome calls for a line in the log."""
    if isinstance(outcome, Gathered):
        return not outcome.missing
    if isinstance(outcome, Forwarded):
        return outcome.answer.is_success
    return isinstance(outcome, Parts)
