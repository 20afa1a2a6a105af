"""A caller's request while an instance processes it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.organisations.usage_meter import RequestUsage


@dataclass
class CallerRequest:
    """One attempt of a caller; times are loop times in seconds.

    Attributes
    ----------
    headers : HTTPHeaders
        End-to-end headers to forward.
    caller_deadline : float
        When the caller stops waiting.
    deadline : float
        When an answer is due: at the route's timeout or shortly before `caller_deadline`,
        whichever is earlier.
    soft_deadline : float
        When an answer stops earning full credit.
    version : int
        Version of the configuration that the route belongs to.
    priority : int
        Rank of the request, 0 being the highest.
    has_returned : bool
        Whether the caller seems to have been turned away before.
    usage : RequestUsage or None
        Count for the organisation; None if there is none, or another instance counts it.
    """

    id: str
    route: Route
    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    arrived: float
    caller_deadline: float
    deadline: float
    soft_deadline: float
    version: int = 0
    priority: int = 0
    has_returned: bool = False
    usage: RequestUsage | None = None

    def record_call(self) -> None:
        """Count the request for its organisation, as one of its calls begins."""
        if self.usage is not None:
            self.usage.begin()

    def record_call_not_run(self) -> None:
        """Take a plain request out of the count, as its call did not run; the next one counts."""
        if self.usage is not None and not self.route.shards:
            self.usage.withdraw()

    def record_end(self, may_have_run: bool) -> None:
        """Settle whether the request counts, at its end."""
        if self.usage is None:
            return
        if may_have_run:
            self.usage.begin()
        else:
            self.usage.withdraw()

    @property
    def fingerprint(self) -> str:
        """Hash of the request's content, equal for all attempts, callers and upstreams."""
        digest = xxhash.xxh64(f"{self.route.host} {self.method} {self.target}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()
