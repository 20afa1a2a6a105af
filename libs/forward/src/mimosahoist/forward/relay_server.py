"""Server side of relaying: serves requests of other instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.core.decimal_text import parse_decimal
from mimosahoist.forward.admission.validation import Refusal
from mimosahoist.forward.delegation import ANSWER_WITHIN_HEADER, SHARDS_HEADER, DelegatedCalls
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.outcomes import NotRun, Parts, RequestOutcome
from mimosahoist.forward.relay import VERSION_HEADER

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.delegation import Delegation
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.organisations.keys import CallerIdentity
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.routing import RouteTable
    from mimosahoist.forward.state_cache import StateCache

UNFINISHED_RETENTION_SECONDS = 10.0
VERSION_MISMATCH = NotRun("another configuration version is in force on this instance", 0.05)
SHUTTING_DOWN = NotRun("this instance is about to stop", 0.05)
UNKNOWN_SHARDS = Refusal(
    400, "requested shards are not part of the route; compare configuration versions"
)
NO_TIME_TO_ANSWER = Refusal(400, "the time within which to answer is not a number of seconds")


class RelayDispatcher(Dispatcher):
    """Serves other instances; it has no relay client, so it never relays a request further.

    A search gathered for another instance delegates first calls like one of its own callers. The
    delegate makes calls only, so a request passes through two other instances at most.

    An instance answers its callers from configuration versions in increasing order, so it must not
    receive a response produced by a version that is not in force there.

    Attributes
    ----------
    draining : bool
        Whether new requests are refused, so that other instances go elsewhere.
    unfinished : dict
        Delegated calls in progress, by request ID.
    """

    label = "relayed_request"
    serves_instances = True

    def __init__(
        self,
        state_cache: StateCache,
        engine: ForwardEngine,
        header_names: HeaderNames,
        metrics: Metrics,
        delegation: Delegation | None = None,
    ) -> None:
        super().__init__(state_cache, engine, header_names, metrics, delegation=delegation)
        self.draining = False
        self.unfinished: dict[str, DelegatedCalls] = {}

    async def dispatch(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RequestOutcome | Refusal:
        """Serve one relayed request."""
        if self.draining and headers.get(self.header_names.request_id) not in self.unfinished:
            return SHUTTING_DOWN
        routes = self.state_cache.routes
        version = headers.pop(VERSION_HEADER, "")
        if routes is None or version != str(routes.configuration.version):
            return VERSION_MISMATCH
        return await super().dispatch(method, target, headers, body)

    def identify(self, routes: RouteTable, route: Route, headers: HTTPHeaders) -> CallerIdentity:
        """Return the identity that the instance found that took the request from its caller."""
        return routes.keys.identified_before(headers, self.header_names)

    async def execute(self, request: CallerRequest) -> RequestOutcome | Refusal:
        """Start or poll delegated calls if requested, or execute the whole request."""
        encoded_shards = request.headers.pop(SHARDS_HEADER, "")
        answer_within = request.headers.pop(ANSWER_WITHIN_HEADER, "")
        if not answer_within:
            return await super().execute(request)
        seconds = parse_decimal(answer_within)
        if seconds is None:
            return NO_TIME_TO_ANSWER
        if not encoded_shards:
            return await self.poll_unfinished(request, seconds)
        shards = encoded_shards.split(",")
        if not set(shards) <= set(request.route.shards):
            return UNKNOWN_SHARDS
        calls = DelegatedCalls(self.engine, request, shards)
        calls.start()
        self.unfinished[request.id] = calls
        return await self.poll(request.id, calls, seconds, len(shards))

    async def poll_unfinished(
        self, request: CallerRequest, seconds: float
    ) -> RequestOutcome | Refusal:
        """Return results since the last response as soon as there are any."""
        calls = self.unfinished.get(request.id)
        if calls is None:
            return UNKNOWN_SHARDS
        return await self.poll(request.id, calls, seconds, 1)

    async def poll(
        self, request_id: str, calls: DelegatedCalls, seconds: float, enough: int
    ) -> Parts:
        """Return new results and drop the calls once all are done."""
        try:
            return await calls.poll(seconds, enough)
        finally:
            if not calls.calls:
                self.unfinished.pop(request_id, None)
            else:
                asyncio.get_running_loop().call_later(
                    UNFINISHED_RETENTION_SECONDS, self.unfinished.pop, request_id, None
                )
