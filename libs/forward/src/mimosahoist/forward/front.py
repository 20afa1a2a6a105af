"""HTTP frontend for callers: their connections, what they hold, and the requests on them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary, WeakSet

from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.callers.bulk import BulkLane
from mimosahoist.forward.callers.intake import (
    ConnectionDecision,
    Holding,
    Intake,
    Phase,
    limits_of_machine,
)
from mimosahoist.forward.callers.message import (
    STATUS_HEADERS_TOO_LARGE,
    STATUS_REQUEST_TIMEOUT,
    STATUS_UNAVAILABLE,
    CallerMessageDelegate,
    MessageOwner,
    written_bytes,
)
from mimosahoist.forward.callers.stream import CallerStream, StreamOwner
from mimosahoist.forward.callers.turns import Turns

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
    from tornado.iostream import IOStream

    from mimosahoist.forward.callers.turns import RequestCost
    from mimosahoist.forward.dispatcher import Dispatcher

TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
END_TIMEOUT_SECONDS = 0.2


class CallerFrontend(MessageOwner, StreamOwner, HTTPServerConnectionDelegate):
    """Reads callers' requests and writes the responses.

    Attributes
    ----------
    holdings : WeakKeyDictionary
        What is held for each connection.
    """

    def __init__(self, dispatcher: Dispatcher, intake: Intake | None = None) -> None:
        self.dispatcher = dispatcher
        self.intake = intake or Intake(limits_of_machine(0, 0))
        self.turns = Turns()
        self.bulk_lane = BulkLane()
        self.holdings: WeakKeyDictionary[IOStream, Holding] = WeakKeyDictionary()
        self.written: WeakKeyDictionary[IOStream, int] = WeakKeyDictionary()
        self.draining = False
        self.ending = False
        self.open_requests = 0
        self.logged_gave_way = 0
        self.logged_short = False
        self.readers: dict[IOStream, CallerMessageDelegate] = {}
        self.tasks = TaskSet()
        self.connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.active_connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.headers_started: WeakKeyDictionary[HTTP1ServerConnection, float] = WeakKeyDictionary()

    @property
    def max_head_bytes(self) -> int:
        """Largest head of a request, by the configuration in force."""
        return self.dispatcher.limits.header_bytes

    @property
    def max_unread_bytes(self) -> int:
        """Bytes that the kernel keeps for a connection until they are read."""
        return self.intake.limits.unread_bytes

    def record_waiting(self, stream: CallerStream, cost: RequestCost) -> None:
        """Note that a request waits for its turn."""
        self.holding(stream).wait(cost.weighted_lines, now())

    def record_head_too_large(self) -> None:
        """Count a head that was refused."""
        self.dispatcher.metrics.count(f"answers_{STATUS_HEADERS_TOO_LARGE}")

    def must_wait(self) -> bool:
        """Whether a new connection has to wait until another may give way to it."""
        return self.intake.decide_on_connection(now()) is ConnectionDecision.LATER

    def open_connection(self, stream: IOStream) -> bool:
        """Take a new connection; return False if there is no room for it."""
        holding = self.intake.open(now(), lambda: self.give_way(stream))
        if holding is None:
            self.dispatcher.metrics.count("connections_refused")
            return False
        self.holdings[stream] = holding
        return True

    def close_connection(self, stream: IOStream) -> None:
        """Release what a connection holds, which was closed."""
        # A reader refers to its stream, so that a weak key alone would keep both.
        self.readers.pop(stream, None)
        holding = self.holdings.pop(stream, None)
        if holding is not None:
            holding.close()

    def holding(self, stream: IOStream) -> Holding:
        """What is held for a connection."""
        held = self.holdings.get(stream)
        if held is None:
            # The connection gave way, or came in through a server that bounds none.
            held = Holding(Intake(self.intake.limits), now(), lambda: None)
            self.holdings[stream] = held
        return held

    def give_way(self, stream: IOStream) -> None:
        """End a connection that makes no progress, so that others have room."""
        self.dispatcher.metrics.count("connections_gave_way")
        holding = self.holdings.get(stream)
        if holding is not None:
            self.dispatcher.metrics.count(f"connections_gave_way_{holding.phase.name.lower()}")
        reader = self.readers.get(stream)
        if reader is not None and reader.is_incomplete:
            reader.refuse(STATUS_UNAVAILABLE)
        stream.close()

    def close_stuck_writers(self, at: float) -> None:
        """Close connections whose callers read nothing of their answers for the idle time-out."""
        for stream, holding in list(self.holdings.items()):
            if holding.phase is Phase.WRITING:
                total = written_bytes(stream)
                if total != self.written.get(stream):
                    self.written[stream] = total
                    holding.progress(at)
        for holding in self.intake.stuck_writers(at - self.dispatcher.limits.idle_timeout):
            self.intake.end(holding)

    def close_left_connections(self) -> None:
        """Close connections whose callers have left while nothing was read from them."""
        for stream in list(self.holdings):
            if isinstance(stream, CallerStream) and stream.hides_close and stream.peer_has_closed():
                stream.close()

    def log_intake(self) -> None:
        """Log that connections had to give way, or that memory is short, since the last time."""
        if self.intake.is_short != self.logged_short:
            self.logged_short = self.intake.is_short
            json_log.info(
                "memory for callers",
                short=self.intake.is_short,
                held_bytes=self.intake.held_bytes,
                allowed_bytes=self.intake.allowed_bytes,
            )
        gave_way = self.intake.gave_way
        if gave_way != self.logged_gave_way:
            json_log.info(
                "connections gave way",
                count=gave_way - self.logged_gave_way,
                connections=len(self.intake.holdings),
                held_bytes=self.intake.held_bytes,
            )
            self.logged_gave_way = gave_way

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Create the delegate that reads one request."""
        self.connections.add(server_conn)
        self.active_connections.discard(server_conn)
        delegate = CallerMessageDelegate(self, server_conn, request_conn)
        self.readers[server_conn.stream] = delegate
        return delegate

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
            stream = connection.stream
            # A closed stream keeps what it has read, until the connection is collected.
            if (
                stream.closed()
                or connection in self.active_connections
                or not buffered_bytes(stream)
            ):
                self.headers_started.pop(connection, None)
                continue
            started_at = self.headers_started.setdefault(connection, at)
            if at - started_at > self.dispatcher.limits.header_timeout:
                self.dispatcher.metrics.count(f"answers_{STATUS_REQUEST_TIMEOUT}")
                stream.write(TIMEOUT_RESPONSE)
                stream.close()

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


def buffered_bytes(stream: IOStream) -> int:
    """Number of received bytes not read yet, for which tornado has no public attribute."""
    return stream._read_buffer_size
