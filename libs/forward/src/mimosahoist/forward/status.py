"""Status of an instance over HTTP: readiness for the load balancer, metrics for operators.

Served without `tornado.web`, which nothing else here needs and whose import takes a megabyte of
memory.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from http.client import responses
from typing import TYPE_CHECKING, NamedTuple

from tornado.httputil import HTTPHeaders, ResponseStartLine

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

METRICS_PATH = "/metrics"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405
STATUS_UNAVAILABLE = 503


class StatusSource(ABC):
    """What the status reports on."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""

    @abstractmethod
    def render_metrics(self) -> str:
        """All counters and latencies as text."""


class StatusResponse(NamedTuple):
    """Status code and body of a response."""

    status: int
    body: bytes = b""


class StatusService:
    """Answers the requests of the load balancer and of operators; for use with `HTTPServer`."""

    def __init__(self, source: StatusSource, readiness_path: str) -> None:
        self.source = source
        self.readiness_path = readiness_path

    def __call__(self, request: HTTPServerRequest) -> None:
        """Respond to one request."""
        response = self.respond(request.method or "", request.path)
        headers = HTTPHeaders({"Content-Type": "text/plain"})
        headers["Content-Length"] = str(len(response.body))
        line = ResponseStartLine("HTTP/1.1", response.status, responses[response.status])
        body = b"" if request.method == "HEAD" else response.body
        request.connection.write_headers(line, headers, body)
        request.connection.finish()

    def respond(self, method: str, path: str) -> StatusResponse:
        """Choose the response to a request."""
        if method not in ("GET", "HEAD"):
            return StatusResponse(STATUS_METHOD_NOT_ALLOWED)
        if path == self.readiness_path:
            return StatusResponse(STATUS_OK if self.source.ready else STATUS_UNAVAILABLE)
        if path == METRICS_PATH:
            return StatusResponse(STATUS_OK, self.source.render_metrics().encode())
        return StatusResponse(STATUS_NOT_FOUND)
