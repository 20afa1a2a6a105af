"""Reads one request of a caller, has it served and writes its response."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from http.client import responses
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, ResponseStartLine
from tornado.iostream import StreamClosedError

from mimosahoist.core import json_log
from mimosahoist.core.decimal_text import parse_integer
from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.validation import Refusal
from mimosahoist.forward.callers.bulk import SMALL_BODY_BYTES
from mimosahoist.forward.callers.intake import FIELD_BYTES, Phase
from mimosahoist.forward.connection import write_message
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
    from weakref import WeakKeyDictionary, WeakSet

    from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
    from tornado.httputil import RequestStartLine
    from tornado.iostream import IOStream

    from mimosahoist.core.tasks import TaskSet
    from mimosahoist.forward.callers.bulk import BulkLane
    from mimosahoist.forward.callers.intake import Holding, Intake
    from mimosahoist.forward.dispatcher import Dispatcher

STATUS_REQUEST_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
STATUS_OK = 200
# The request was passed on and may have run.
ENDED_BY_STOP = Failed("this instance stops before the answer has come", timed_out=True)
ENDED_BY_ERROR = Failed("an internal error ended the request, which may have run")
TOO_MANY_LARGE_BODIES = NotRun("too many requests with large bodies are being served", 0.5)
MAX_LOGGED_ERROR_CHARACTERS = 200
# Seconds in which a crowd that takes up an instance's memory makes way.
RETRY_AFTER_CROWD = "0.500"
# Header fields are copied for the request, and again for an instance that gathers for this one.
SERVING_COPIES = 2
NO_BODY_STATUSES = frozenset((204, 304))


class MessageOwner(ABC):
    """What a request on a connection needs of the frontend that reads it.

    Attributes
    ----------
    draining : bool
        Whether responses tell callers to close their connections.
    ending : bool
        Whether open requests are ended because the instance stops, not because their callers left.
    open_requests : int
        Number of requests that were read and not yet answered.
    intake : Intake
        Bounds on what callers hold together.
    bulk_lane : BulkLane
        Bounds on what is being sent for requests with large bodies.
    written : WeakKeyDictionary
        Bytes that callers have taken, by connection, as of the last look.
    """

    dispatcher: Dispatcher
    draining: bool
    ending: bool
    open_requests: int
    intake: Intake
    bulk_lane: BulkLane
    tasks: TaskSet
    active_connections: WeakSet[HTTP1ServerConnection]
    written: WeakKeyDictionary[IOStream, int]

    @abstractmethod
    def holding(self, stream: IOStream) -> Holding:
        """Return what is held for a connection."""


class CallerMessageDelegate(HTTPMessageDelegate):
    """Reads one request of a caller and writes its response."""

    def __init__(
        self,
        frontend: MessageOwner,
        server_connection: HTTP1ServerConnection,
        request_connection: HTTP1Connection,
    ) -> None:
        self.frontend = frontend
        self.server_connection = server_connection
        self.request_connection = request_connection
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.holding = frontend.holding(server_connection.stream)
        self.holding.release()
        if self.holding.phase is not Phase.NEW:
            self.holding.enter(Phase.IDLE, now())
        self.refused = False
        self.body_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Check the declared size before any of the body is read; the head is within its limit."""
        self.frontend.active_connections.add(self.server_connection)
        self.start_line = start_line
        self.headers = headers
        limits = self.frontend.dispatcher.limits
        fields = list(headers.get_all())
        self.holding.enter(Phase.READING, now())
        size = sum(len(name) + len(value) + 4 for name, value in fields)
        # Tornado rejects a length that is no number.
        length = parse_integer(headers.get("Content-Length", "0")) or 0
        if length > limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        elif not self.holding.add(size + FIELD_BYTES * len(fields), now()):
            self.refuse(STATUS_UNAVAILABLE)
        else:
            seconds = limits.header_timeout
            loop = asyncio.get_running_loop()
            self.body_timer = loop.call_later(seconds, self.refuse, STATUS_REQUEST_TIMEOUT)

    def data_received(self, chunk: bytes) -> None:
        """Collect a chunk of the body, up to the size limit."""
        if self.refused:
            return
        self.body += chunk
        if len(self.body) > self.frontend.dispatcher.limits.body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        elif not self.holding.add(len(chunk), now()):
            self.refuse(STATUS_UNAVAILABLE)

    def refuse(self, status: int) -> None:
        """Respond with an error status at once, without forwarding the request."""
        self.stop_body_timer()
        self.refused = True
        self.body = bytearray()
        self.holding.release()
        self.frontend.dispatcher.metrics.count(f"answers_{status}")
        headers = HTTPHeaders()
        if status == STATUS_UNAVAILABLE:
            headers["Retry-After"] = RETRY_AFTER_CROWD
        self.write_response(status, headers, b"")

    def stop_body_timer(self) -> None:
        """Stop the timer for the body, which is complete or no longer needed."""
        if self.body_timer is not None:
            self.body_timer.cancel()

    def finish(self) -> None:
        """Start serving the complete request."""
        self.stop_body_timer()
        if self.refused:
            return
        if self.server_connection.stream.closed():
            # The end of the body was read before, and nobody waits for the answer.
            self.on_connection_close()
            return
        if not self.holding.add(self.serving_bytes(), now()):
            self.refuse(STATUS_UNAVAILABLE)
            return
        self.holding.enter(Phase.SERVING, now())
        self.frontend.open_requests += 1
        self.task = self.frontend.tasks.spawn(self.serve(), "request")
        self.request_connection.set_close_callback(self.handle_disconnect)

    @property
    def is_incomplete(self) -> bool:
        """Whether the head was read, and the body is on its way."""
        return self.start_line is not None and not self.refused and self.task is None

    def serving_bytes(self) -> int:
        """Bytes that copies of the header fields take while the request is served."""
        return SERVING_COPIES * FIELD_BYTES * len(self.headers)

    def on_connection_close(self) -> None:
        """Discard a request whose connection was closed before it was complete."""
        self.stop_body_timer()
        self.body = bytearray()
        self.holding.release()

    def handle_disconnect(self) -> None:
        """Cancel the work for a caller that closed the connection before the response."""
        if self.task is not None:
            self.task.cancel()

    async def serve(self) -> None:
        """Dispatch the request and write the response."""
        arrived = now()
        dispatcher = self.frontend.dispatcher
        outcome: RequestOutcome | Refusal = Abandoned()
        body = bytes(self.body)
        self.body = bytearray()
        try:
            outcome = await self.dispatch(body)
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

    async def dispatch(self, body: bytes) -> RequestOutcome | Refusal:
        """Dispatch the request, through the bulk lane if its body is large."""
        dispatcher = self.frontend.dispatcher
        method, target = self.start_line.method, self.start_line.path
        if len(body) <= SMALL_BODY_BYTES:
            return await dispatcher.dispatch(method, target, self.headers, body)
        size = len(body) * dispatcher.upstreams_called(target, self.headers)
        if not await self.frontend.bulk_lane.enter(size):
            return TOO_MANY_LARGE_BODIES
        try:
            return await dispatcher.dispatch(method, target, self.headers, body)
        finally:
            self.frontend.bulk_lane.leave(size)

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
            self.holding.release()
            self.holding.enter(Phase.WRITING, now())
            write_message(self.request_connection, line, headers, body)
            self.hold_unread(len(body))
        except StreamClosedError:
            json_log.info("response not written", reason="caller closed the connection")

    def hold_unread(self, size: int) -> None:
        """Hold an answer until it is read, unless the caller has taken it at once."""
        stream = self.server_connection.stream
        if not stream.writing():
            return
        self.frontend.written[stream] = written_bytes(stream)
        if not self.holding.add(size, now()):
            self.frontend.intake.end(self.holding)


def written_bytes(stream: IOStream) -> int:
    """Number of bytes that the caller has taken, for which tornado has no public attribute."""
    return stream._total_write_done_index
