"""The side that serves other instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.forward.admission import Refusal
from mimosahoist.forward.delegation import SECONDS_HEADER, SHARDS_HEADER, FirstCalls
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.outcomes import NotRun, Parts, RequestOutcome
from mimosahoist.forward.relay import VERSION_HEADER

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.request import CallerRequest
    from mimosahoist.forward.state_cache import StateCache

KEPT_SECONDS = 10.0
OTHER_VERSION = NotRun("another version of the configuration is in force here", 0.05)
LEAVING = NotRun("this instance is about to stop", 0.05)
NO_SUCH_SHARDS = Refusal(400, "the shards asked for are not the route's; compare configurations")


class RelayDispatcher(Dispatcher):
    """Serves other instances; it has no relays, so it never passes a request on.

    An instance answers its callers by one version after the other, so it must not get an answer
    of a version that is not in force there.

    Attributes
    ----------
    leaving : bool
        Whether new requests are refused, so that the other instance goes elsewhere.
    unfinished : dict
        Calls for other instances that are under way, by request id.
    """

    hop = "relayed_request"

    def __init__(
        self, state_cache: StateCache, engine: ForwardEngine, names: HeaderNames, metrics: Metrics
    ) -> None:
        super().__init__(state_cache, engine, names, metrics)
        self.leaving = False
        self.unfinished: dict[str, FirstCalls] = {}

    async def dispatch(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RequestOutcome | Refusal:
        """Serve one relayed request."""
        if self.leaving and headers.get(self.names.request_id) not in self.unfinished:
            return LEAVING
        routes = self.state_cache.routes
        version = headers.pop(VERSION_HEADER, "")
        if routes is None or version != str(routes.configuration.version):
            return OTHER_VERSION
        return await super().dispatch(method, target, headers, body)

    async def carry(self, request: CallerRequest) -> RequestOutcome | Refusal:
        """Make the first calls of some shards, if that is asked for, or serve it whole."""
        shards = request.headers.pop(SHARDS_HEADER, "")
        seconds = request.headers.pop(SECONDS_HEADER, "")
        if not seconds:
            return await super().carry(request)
        if not shards:
            return await self.tell_more(request, float(seconds))
        names = shards.split(",")
        if not set(names) <= set(request.route.shards):
            return NO_SUCH_SHARDS
        calls = FirstCalls(self.engine, request, names)
        calls.start()
        self.unfinished[request.id] = calls
        return await self.tell(request.id, calls, float(seconds), len(names))

    async def tell_more(self, request: CallerRequest, seconds: float) -> RequestOutcome | Refusal:
        """Tell what has come since the last answer, as soon as there is something."""
        calls = self.unfinished.get(request.id)
        if calls is None:
            return NO_SUCH_SHARDS
        return await self.tell(request.id, calls, seconds, 1)

    async def tell(self, name: str, calls: FirstCalls, seconds: float, wanted: int) -> Parts:
        """Answer with news, and forget calls that are all done."""
        try:
            return await calls.answer(seconds, wanted)
        finally:
            if not calls.calls:
                self.unfinished.pop(name, None)
            else:
                asyncio.get_running_loop().call_later(KEPT_SECONDS, self.unfinished.pop, name, None)
