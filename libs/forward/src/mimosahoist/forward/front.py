"""HTTP server for callers."""

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
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.admission import Refusal
from mimosahoist.forward.delegation import FAILED_HEADER, PENDING_HEADER, encode_shards
from mimosahoist.forward.headers import end_to_end
from mimosahoist.forward.outcomes import (
    Abandoned,
    Failed,
    Forwarded,
    Gathered,
    NotRun,
    Parts,
    RequestOutcome,
)

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
    from tornado.httputil import RequestStartLine

    from mimosahoist.forward.dispatcher import Dispatcher

STATUS_TOO_SLOW = 408
TOO_SLOW_ANSWER = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
STATUS_OK = 200
NO_BODY_STATUSES = frozenset((204, 304))


class CallerFront(HTTPServerConnectionDelegate):
    """Reads callers' requests and writes their answers.

    Attributes
    ----------
    draining : bool
        Whether answers tell callers to close their connections.
    open_requests : int
        Requests that were read and not yet answered.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.draining = False
        self.open_requests = 0
        self.tasks = TaskSet()
        self.connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.busy: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.partial_since: WeakKeyDictionary[HTTP1ServerConnection, float] = WeakKeyDictionary()

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Begin to read one request."""
        self.connections.add(server_conn)
        self.busy.discard(server_conn)
        return CallerMessage(self, server_conn, request_conn)

    @property
    def open_connections(self) -> int:
        """Connections of callers that are not closed."""
        return sum(not connection.stream.closed() for connection in self.connections)

    def refuse_slow_headers(self, at: float) -> None:
        """Answer callers whose headers began and did not become whole in time.

        The server below knows one time for both a slow header and an idle connection.

        Parameters
        ----------
        at : float
            Loop time in seconds.
        """
        for connection in list(self.connections):
            if connection in self.busy or not unread_bytes(connection.stream):
                self.partial_since.pop(connection, None)
                continue
            since = self.partial_since.setdefault(connection, at)
            if at - since > self.dispatcher.limits.header_timeout:
                self.dispatcher.metrics.count(f"answers_{STATUS_TOO_SLOW}")
                connection.stream.write(TOO_SLOW_ANSWER)
                connection.stream.close()

    def close_idle(self) -> None:
        """Close all connections that carry no request, in one step.

        Between two steps a request could be read on a connection that is about to be closed. One
        whose pending read has just ended holds a request that is about to be served.
        """
        for connection in list(self.connections):
            if connection not in self.busy and connection.stream.reading():
                connection.stream.close()


class CallerMessage(HTTPMessageDelegate):
    """One request of a caller."""

    def __init__(
        self, front: CallerFront, carrier: HTTP1ServerConnection, connection: HTTP1Connection
    ) -> None:
        self.front = front
        self.carrier = carrier
        self.connection = connection
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.refused = False
        self.overdue: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Check the sizes that are told, before any of the body is read."""
        self.front.busy.add(self.carrier)
        self.start_line = start_line
        self.headers = headers
        limits = self.front.dispatcher.limits
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        length = headers.get("Content-Length", "0")
        if size + len(start_line.path) > limits.header_bytes:
            self.refuse(STATUS_HEADERS_TOO_LARGE)
        elif length.isdigit() and int(length) > limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        else:
            seconds = limits.header_timeout
            loop = asyncio.get_running_loop()
            self.overdue = loop.call_later(seconds, self.refuse, STATUS_TOO_SLOW)

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body, unless there is too much of it."""
        if self.refused:
            return
        self.size += len(chunk)
        self.chunks.append(chunk)
        if self.size > self.front.dispatcher.limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)

    def refuse(self, status: int) -> None:
        """Answer at once; nothing of the request is forwarded."""
        self.stop_timer()
        self.refused = True
        self.chunks = []
        self.front.dispatcher.metrics.count(f"answers_{status}")
        self.write(status, HTTPHeaders(), b"")

    def stop_timer(self) -> None:
        """The body is whole, or nobody waits for it."""
        if self.overdue is not None:
            self.overdue.cancel()

    def finish(self) -> None:
        """Begin to serve the request."""
        self.stop_timer()
        if self.refused:
            return
        self.front.open_requests += 1
        self.task = self.front.tasks.spawn(self.serve(), "request")
        self.connection.set_close_callback(self.handle_left)

    def on_connection_close(self) -> None:
        """The caller closed before its request was whole."""
        self.stop_timer()
        self.chunks = []

    def handle_left(self) -> None:
        """The caller closed before its answer: end the work at the upstreams."""
        if self.task is not None:
            self.task.cancel()

    async def serve(self) -> None:
        """Dispatch the request and write the answer."""
        arrived = now()
        dispatcher = self.front.dispatcher
        outcome: RequestOutcome | Refusal = Abandoned()
        try:
            outcome = await dispatcher.dispatch(
                self.start_line.method, self.start_line.path, self.headers, b"".join(self.chunks)
            )
        except asyncio.CancelledError:
            dispatcher.metrics.count("callers_left")
        finally:
            self.front.open_requests -= 1
            dispatcher.note_outcome(self.headers, outcome, now() - arrived)
        self.answer(outcome)

    def answer(self, outcome: RequestOutcome | Refusal) -> None:
        """Write the answer that fits an outcome."""
        names = self.front.dispatcher.names
        headers = HTTPHeaders()
        if isinstance(outcome, Forwarded):
            answer = outcome.answer
            kept = end_to_end(answer.headers, frozenset())
            self.write(answer.status, kept, answer.body, answer.reason)
        elif isinstance(outcome, Gathered):
            headers["Content-Type"] = "application/octet-stream"
            headers[names.part_signatures] = ", ".join(outcome.signatures)
            headers[names.missing_parts] = str(outcome.missing)
            self.write(STATUS_OK, headers, outcome.body)
        elif isinstance(outcome, Parts):
            headers[names.part_signatures] = ", ".join(outcome.signatures)
            headers[PENDING_HEADER] = encode_shards(outcome.pending)
            headers[FAILED_HEADER] = encode_shards(outcome.failed)
            self.write(STATUS_OK, headers, outcome.body)
        elif isinstance(outcome, NotRun):
            headers["Retry-After"] = f"{outcome.retry_after:.3f}"
            self.write(STATUS_UNAVAILABLE, headers, outcome.reason.encode())
        elif isinstance(outcome, Refusal):
            self.write(outcome.status, headers, outcome.reason.encode())
        elif isinstance(outcome, Failed):
            status = STATUS_TIMEOUT if outcome.timed_out else STATUS_BAD_GATEWAY
            self.write(status, headers, outcome.reason.encode())

    def write(self, status: int, headers: HTTPHeaders, body: bytes, reason: str = "") -> None:
        """Write a whole answer."""
        if self.front.draining:
            headers["Connection"] = "close"
        if status not in NO_BODY_STATUSES:
            headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, reason or responses.get(status, "Unknown"))
        try:
            if self.start_line.method == "HEAD":
                body = b""
            self.connection.write_headers(line, headers, body)
            self.connection.finish()
        except StreamClosedError:
            json_log.info("answer not written", reason="the caller closed the connection")


def unread_bytes(stream: IOStream) -> int:
    """Bytes that came and that nobody has taken yet; the stream itself does not tell."""
    return stream._read_buffer_size
