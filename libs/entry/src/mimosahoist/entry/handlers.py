"""HTTP handlers for callers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec
import tornado.web

from mimosahoist.core import tracing
from mimosahoist.core.decimal_text import parse_integer
from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import now
from mimosahoist.entry import bodies
from mimosahoist.query.request import RunRequest, RunResult, SearchRequest, SearchResult
from mimosahoist.query.run import Run
from mimosahoist.query.search import Search

if TYPE_CHECKING:
    from mimosahoist.entry.application import EntryApplication
    from mimosahoist.entry.directory import Caller
    from mimosahoist.query.service import Service

TRACE_HEADER = "X-Trace"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
BEARER_PREFIX = "Bearer "


@tornado.web.stream_request_body
class CallerHandler(tornado.web.RequestHandler):
    """Base class of caller handlers: body limits, authentication and error responses."""

    SUPPORTED_METHODS = ("POST",)

    def initialize(self, app: EntryApplication) -> None:
        """Store the application and reset the received body."""
        self.app = app
        self.chunks: list[bytes] = []
        self.size = 0
        self.counted_open = False

    def prepare(self) -> None:
        """Reject a body whose declared length is too large before reading it."""
        self.app.open_requests += 1
        self.counted_open = True
        # Tornado rejects a length that is no number.
        length = parse_integer(self.request.headers.get("Content-Length", "0")) or 0
        if length > bodies.MAX_BODY_BYTES:
            self.set_header("Connection", "close")
            raise too_large()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, up to the size limit."""
        self.size += len(chunk)
        if self.size > bodies.MAX_BODY_BYTES:
            raise too_large()
        self.chunks.append(chunk)

    def on_finish(self) -> None:
        """Remove the request from the count of open requests."""
        if self.counted_open:
            self.app.open_requests -= 1

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond with a typed JSON error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, Problem):
            error = self.problem_for_status(status_code)
        self.app.metrics.count(f"answers_{error.kind}".replace("-", "_"))
        self.set_status(error.status)
        self.finish_json(error.to_wire())

    def problem_for_status(self, status_code: int) -> Problem:
        """Return the Problem for an error that is not itself a Problem, by HTTP status."""
        if status_code < 500:
            return bodies.bad_request(
                f"HTTP status {status_code}", "send POST to a documented path"
            )
        self.app.metrics.count("internal_errors")
        return Problem(
            ProblemKind.UNKNOWN,
            "internal error",
            "report it to the operators with the time of the request",
            RunState.UNKNOWN,
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only unexpected errors, not those caused by the caller."""
        if not isinstance(value, Problem | tornado.web.HTTPError):
            super().log_exception(typ, value, tb)

    def finish_json(self, value: Any) -> None:
        """Finish the response with a JSON body; a draining instance closes the connection."""
        self.set_header("Content-Type", "application/json")
        if self.app.draining:
            self.set_header("Connection", "close")
        self.finish(msgspec.json.encode(value))

    def authenticate(self, organisation: str) -> Caller:
        """Return the caller that the bearer token belongs to."""
        header = self.request.headers.get("Authorization", "")
        token = header.removeprefix(BEARER_PREFIX)
        digest = hashlib.sha256(token.encode(errors="replace")).hexdigest()
        caller = (
            self.app.directory.callers.get(digest) if header.startswith(BEARER_PREFIX) else None
        )
        if caller is None:
            raise Problem(
                ProblemKind.UNAUTHENTICATED,
                "the bearer token is missing or unknown",
                "send 'Authorization: Bearer TOKEN' with the token of a declared caller",
            )
        if caller.organisation != organisation:
            raise Problem(
                ProblemKind.FORBIDDEN,
                f"the caller does not belong to organisation '{organisation}'",
                "use the path of the caller's own organisation",
            )
        return caller

    def find_service(self, organisation: str, name: str, kind: str) -> Service:
        """Return the service that a path names, if it is of the given kind."""
        service = self.app.directory.services.get((organisation, name))
        if service is None or service.spec["kind"] != kind:
            raise Problem(
                ProblemKind.NOT_FOUND,
                f"organisation '{organisation}' has no {kind} service '{name}'",
                "use a declared service with the path for its kind",
            )
        return service

    def received_body(self) -> bytes:
        """Return the complete body."""
        return b"".join(self.chunks)


class SearchHandler(CallerHandler):
    """Handles searches over all shards of a service."""

    async def post(self, organisation: str, name: str) -> None:
        """Run a search and respond with hits and coverage."""
        arrived = now()
        caller = self.authenticate(organisation)
        service = self.find_service(organisation, name, "search")
        body = bodies.decode(self.received_body(), bodies.SearchBody)
        request_id = self.app.next_request_id()
        route = body.get("route", bodies.DEFAULT_ROUTE)
        span = self.app.traces.begin(
            "search", TRACE_HEADER in self.request.headers, request=request_id, service=name
        )
        request = SearchRequest(
            request_id,
            body["query"],
            route,
            body.get("limit", bodies.DEFAULT_LIMIT),
            body.get("offset", 0),
            arrived + body["deadline_ms"] / 1000,
            caller.priority,
            bodies.fingerprint(organisation, name, [body["query"], route]),
            span,
        )
        try:
            result = await Search(service, request).run()
        finally:
            tracing.finish(span)
        self.app.record_search_metrics(name, result, now() - arrived)
        self.finish_json(search_answer(result))


class RunHandler(CallerHandler):
    """Handles requests that a single upstream executes."""

    async def post(self, organisation: str, name: str) -> None:
        """Execute the operation and respond with its result."""
        arrived = now()
        caller = self.authenticate(organisation)
        service = self.find_service(organisation, name, "run")
        body = bodies.decode(self.received_body(), bodies.RunBody)
        key = bodies.check_key(self.request.headers.get(IDEMPOTENCY_KEY_HEADER))
        request_id = self.app.next_request_id()
        route = body.get("route", bodies.DEFAULT_ROUTE)
        span = self.app.traces.begin(
            "run", TRACE_HEADER in self.request.headers, request=request_id, service=name
        )
        request = RunRequest(
            request_id,
            body["operation"],
            route,
            arrived + body["deadline_ms"] / 1000,
            caller.priority,
            bodies.fingerprint(organisation, name, [body["operation"], route]),
            key,
            span,
        )
        try:
            result = await Run(service, request, self.app.idempotency, caller.name).run()
        finally:
            tracing.finish(span)
        self.app.metrics.latency(f"run_{name}".replace("-", "_")).record(now() - arrived)
        self.finish_json(run_answer(result))


class NotFoundHandler(CallerHandler):
    """Handles all other paths."""

    def prepare(self) -> None:
        """Reject the request."""
        super().prepare()
        raise Problem(
            ProblemKind.NOT_FOUND,
            "there is no such path",
            "use POST /v1/ORGANISATION/SERVICE/search or /run",
        )


def search_answer(result: SearchResult) -> dict[str, Any]:
    """Return the response body of a search."""
    return {
        "request_id": result.request_id,
        "snapshot": result.snapshot,
        "coverage": {
            "shards": result.shards,
            "answered": result.answered,
            "missing": [item._asdict() for item in result.missing],
        },
        "hits": [hit._asdict() for hit in result.hits],
    }


def run_answer(result: RunResult) -> dict[str, Any]:
    """Return the response body of a run request."""
    return {
        "request_id": result.request_id,
        "result": result.result,
        "replayed": result.replayed,
    }


def too_large() -> Problem:
    """Return the Problem for a body that is too large."""
    return Problem(
        ProblemKind.TOO_LARGE,
        f"the body is larger than {bodies.MAX_BODY_BYTES} bytes",
        "send a smaller request",
    )
