"""A caller's request while an instance processes it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.declarations import Route


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
        """Hash of the request's content, equal for all attempts, callers and upstreams."""
        digest = xxhash.xxh64(f"{self.route.host} {self.method} {self.target}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()
