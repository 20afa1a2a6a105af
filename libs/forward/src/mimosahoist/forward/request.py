"""A caller's request on its way through an instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.declarations import Route


@dataclass
class CallerRequest:
    """One attempt of a caller; times are of the event loop's clock, in seconds.

    Attributes
    ----------
    headers : HTTPHeaders
        End-to-end headers to forward.
    waits_until : float
        When the caller stops waiting.
    deadline : float
        When an answer must be given: the earlier of `waits_until` and the route's timeout.
    aim : float
        When an answer stops being worth its full credit.
    version : int
        Version of the configuration that found the route.
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

    @property
    def fingerprint(self) -> str:
        """Identity of what is asked, whoever carries it and however often it comes."""
        digest = xxhash.xxh64(f"{self.route.host} {self.method} {self.target}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()
