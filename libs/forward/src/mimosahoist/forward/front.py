"""HTTP server for callers: reads requests, enforces their limits and writes responses."""

from __future__ import annotations

import asyncio
from http.client import responses
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary, WeakSet

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from mimosahoist.core import json_log
from mimosahoist.core.decimal_text import parse_integer
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.admission.validation import Refusal
from mimosahoist.forward.delegation import (
    FAILED_SHARDS_HEADER,
    PENDING_SHARDS_HEADER,
    REFUSED_SHARDS_HEADER,
    encode_shards,
)
from mimosahoist.forward.headers import end_to_end_headers
from mimosahoist.forward.outcomes import (
    Abandoned,
    Failed,
    Forwarded,
    Gathered,
    NotRun,
    Parts,
    RequestOutcome,
)
from mimosahoist.forward.relay import ATTEMPTED_HEADER, OVERLOAD_HEADER, UPSTREAM_HEADER

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
    from tornado.httputil import RequestStartLine

    from mimosahoist.forward.dispatcher import Dispatcher

STATUS_REQUEST_TIMEOUT = 408
TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
STATUS_OK = 200
END_TIMEOUT_SECONDS = 0.2
# The request was passed on and may have run.
ENDED_BY_STOP = Failed("this instance stops before the answer has come", timed_out=True)
ENDED_BY_ERROR = Failed("an internal error ended the request, which may have run")
MAX_LOGGED_ERROR_CHARACTERS = 200
NO_BODY_STATUSES = frozenset((204, 304))


class CallerFrontend(HTTPServerConnectionDelegate):
    """Reads callers' requests and writes the responses.

    Attributes
    ----------
    draining : bool
        Whether responses tell callers to close their connections.
    ending : bool
        Whether open requests are ended because the instance stops, not because their callers left.
    open_requests : int
        Number of requests that were read and not yet answered.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.draining = False
        self.ending = False
        self.open_requests = 0
        self.tasks = TaskSet()
        self.connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.active_connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.headers_started: WeakKeyDictionary[HTTP1ServerConnection, float] = WeakKeyDictionary()

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Create the delegate that reads one request."""
        self.connections.add(server_conn)
        self.active_connections.discard(server_conn)
        return CallerMessageDelegate(self, server_conn, request_conn)

    @property
    def open_connections(self) -> int:
        """Number of open connections from callers."""
        return sum(not connection.stream.closed() for connection in self.connections)

    def refuse_slow_headers(self, at: float) -> None:
        """Respond with 408 to callers whose headers started but were not completed in time.

        Tornado has a single time-out for slow headers and idle connections.

        Parameters
        ----------
        at : float
            Loop time in seconds.
        """
        for connection in list(self.connections):
            if connection in self.active_connections or not buffered_bytes(connection.stream):
                self.headers_started.pop(connection, None)
                continue
            started_at = self.headers_started.setdefault(connection, at)
            if at - started_at > self.dispatcher.limits.header_timeout:
                self.dispatcher.metrics.count(f"answers_{STATUS_REQUEST_TIMEOUT}")
                connection.stream.write(TIMEOUT_RESPONSE)
                connection.stream.close()

    def close_idle_connections(self) -> None:
        """Close all connections that carry no request, without yielding to the event loop.

        Otherwise a request could be read on a connection that is about to be closed. A connection
        whose pending read has just ended holds a request that is about to be served, so it is kept.
        """
        for connection in list(self.connections):
            if connection not in self.active_connections and connection.stream.reading():
                connection.stream.close()

    def stop_accepting(self) -> None:
        """Reject requests that are complete only from now on, since they could be cut later."""
        self.dispatcher.stopping = True

    async def end_open_requests(self) -> None:
        """Answer the requests that are still open, because the instance stops now."""
        self.ending = True
        open_tasks = list(self.tasks.tasks)
        for task in open_tasks:
            task.cancel()
        if open_tasks:
            await asyncio.wait(open_tasks, timeout=END_TIMEOUT_SECONDS)


class CallerMessageDelegate(HTTPMessageDelegate):
    """Reads one request of a caller and writes its response."""

    def __init__(
        self,
        frontend: CallerFrontend,
        server_connection: HTTP1ServerConnection,
        request_connection: HTTP1Connection,
    ) -> None:
        self.frontend = frontend
        self.server_connection = server_connection
        self.request_connection = request_connection
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.refused = False
        self.body_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Check the declared sizes before any of the body is read."""
        self.frontend.active_connections.add(self.server_connection)
        self.start_line = start_line
        self.headers = headers
        limits = self.frontend.dispatcher.limits
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        # Tornado rejects a length that is no number.
        length = parse_integer(headers.get("Content-Length", "0")) or 0
        if size + len(start_line.path) > limits.header_bytes:
            self.refuse(STATUS_HEADERS_TOO_LARGE)
        elif length > limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        else:
            seconds = limits.header_timeout
            loop = asyncio.get_running_loop()
            self.body_timer = loop.call_later(seconds, self.refuse, STATUS_REQUEST_TIMEOUT)

    def data_received(self, chunk: bytes) -> None:
        """Collect a chunk of the body, up to the size limit."""
        if self.refused:
            return
        self.size += len(chunk)
        self.chunks.append(chunk)
        if self.size > self.frontend.dispatcher.limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)

    def refuse(self, status: int) -> None:
        """Respond with an error status at once, without forwarding the request."""
        self.stop_body_timer()
        self.refused = True
        self.chunks = []
        self.frontend.dispatcher.metrics.count(f"answers_{status}")
        self.write_response(status, HTTPHeaders(), b"")

    def stop_body_timer(self) -> None:
        """Stop the timer for the body, which is complete or no longer needed."""
        if self.body_timer is not None:
            self.body_timer.cancel()

    def finish(self) -> None:
        """Start serving the complete request."""
        self.stop_body_timer()
        if self.refused:
            return
        self.frontend.open_requests += 1
        self.task = self.frontend.tasks.spawn(self.serve(), "request")
        self.request_connection.set_close_callback(self.handle_disconnect)

    def on_connection_close(self) -> None:
        """Discard a request whose connection was closed before it was complete."""
        self.stop_body_timer()
        self.chunks = []

    def handle_disconnect(self) -> None:
        """Cancel the work for a caller that closed the connection before the response."""
        if self.task is not None:
            self.task.cancel()

    async def serve(self) -> None:
        """Dispatch the request and write the response."""
        arrived = now()
        dispatcher = self.frontend.dispatcher
        outcome: RequestOutcome | Refusal = Abandoned()
        try:
            outcome = await dispatcher.dispatch(
                self.start_line.method, self.start_line.path, self.headers, b"".join(self.chunks)
            )
        except asyncio.CancelledError:
            if self.frontend.ending:
                outcome = ENDED_BY_STOP
            else:
                dispatcher.metrics.count("callers_left")
        except Exception as error:
            outcome = ENDED_BY_ERROR
            self.log_error(error)
        finally:
            self.frontend.open_requests -= 1
            dispatcher.record_outcome(self.headers, outcome, now() - arrived)
        try:
            self.write_outcome(outcome)
        except Exception as error:
            self.log_error(error)
            self.write_outcome(ENDED_BY_ERROR)

    def log_error(self, error: Exception) -> None:
        """Log an error for which no outcome of a request is provided."""
        json_log.info(
            "request raised",
            request=self.headers.get(self.frontend.dispatcher.header_names.request_id, ""),
            error=repr(error)[:MAX_LOGGED_ERROR_CHARACTERS],
        )

    def write_outcome(self, outcome: RequestOutcome | Refusal) -> None:
        """Write the response for an outcome."""
        header_names = self.frontend.dispatcher.header_names
        headers = HTTPHeaders()
        if isinstance(outcome, Forwarded):
            answer = outcome.answer
            kept = end_to_end_headers(answer.headers, frozenset())
            if outcome.upstream and self.frontend.dispatcher.serves_instances:
                kept[UPSTREAM_HEADER] = outcome.upstream
            self.write_response(answer.status, kept, answer.body, answer.reason)
        elif isinstance(outcome, Gathered):
            headers["Content-Type"] = "application/octet-stream"
            headers[header_names.part_signatures] = ", ".join(outcome.signatures)
            headers[header_names.missing_parts] = str(outcome.missing)
            self.write_response(STATUS_OK, headers, outcome.body)
        elif isinstance(outcome, Parts):
            headers[header_names.part_signatures] = ", ".join(outcome.signatures)
            headers[PENDING_SHARDS_HEADER] = encode_shards(outcome.pending)
            headers[FAILED_SHARDS_HEADER] = encode_shards(outcome.failed)
            headers[REFUSED_SHARDS_HEADER] = encode_shards(outcome.refused)
            self.write_response(STATUS_OK, headers, outcome.body)
        elif isinstance(outcome, NotRun):
            headers["Retry-After"] = f"{outcome.retry_after:.3f}"
            if outcome.needs_new_connection:
                headers["Connection"] = "close"
            if outcome.was_attempted and self.frontend.dispatcher.serves_instances:
                headers[ATTEMPTED_HEADER] = "1"
            if outcome.is_overload and self.frontend.dispatcher.serves_instances:
                headers[OVERLOAD_HEADER] = "1"
            self.write_response(STATUS_UNAVAILABLE, headers, outcome.reason.encode())
        elif isinstance(outcome, Refusal):
            self.write_response(outcome.status, headers, outcome.reason.encode())
        elif isinstance(outcome, Failed):
            status = STATUS_GATEWAY_TIMEOUT if outcome.timed_out else STATUS_BAD_GATEWAY
            self.write_response(status, headers, outcome.reason.encode())

    def write_response(
        self, status: int, headers: HTTPHeaders, body: bytes, reason: str = ""
    ) -> None:
        """Write a complete response."""
        if self.frontend.draining:
            headers["Connection"] = "close"
        if status not in NO_BODY_STATUSES:
            headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, reason or responses.get(status, "Unknown"))
        try:
            if self.start_line.method == "HEAD":
                body = b""
            self.request_connection.write_headers(line, headers, body)
            self.request_connection.finish()
        except StreamClosedError:
            json_log.info("response not written", reason="caller closed the connection")


def buffered_bytes(stream: IOStream) -> int:
    """Number of received bytes not read yet, for which tornado has no public attribute."""
    return stream._read_buffer_size
