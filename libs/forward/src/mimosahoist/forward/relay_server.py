"""The side that gathers for other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.outcomes import NotRun, RequestOutcome
from mimosahoist.forward.relay import VERSION_HEADER

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.admission import Refusal

OTHER_VERSION = NotRun("another version of the configuration is in force here", 0.05)
LEAVING = NotRun("this instance is about to stop", 0.05)


class RelayDispatcher(Dispatcher):
    """Serves other instances; it has no relays, so it never passes a request on.

    An instance answers its callers by one version after the other, so it must not get an answer
    of a version that is not in force there.

    Attributes
    ----------
    leaving : bool
        Whether new requests are refused, so that the other instance goes elsewhere.
    """

    hop = "relayed_request"
    leaving = False

    async def dispatch(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RequestOutcome | Refusal:
        """Serve one relayed request."""
        if self.leaving:
            return LEAVING
        routes = self.beliefs.routes
        version = headers.pop(VERSION_HEADER, "")
        if routes is None or version != str(routes.configuration.version):
            return OTHER_VERSION
        return await super().dispatch(method, target, headers, body)
