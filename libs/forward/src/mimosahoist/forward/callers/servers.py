"""HTTP servers whose connections are bounded: for callers, and for the load balancer's checks."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.callers.status_connections import StatusConnections
from mimosahoist.forward.callers.stream import CallerStream, StreamOwner, limit_unread_bytes
from mimosahoist.forward.callers.turns import Turns

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.iostream import IOStream

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.callers.turns import RequestCost
    from mimosahoist.forward.front import CallerFrontend

# Connections accepted before other work has its turn.
MAX_ACCEPTED_PER_TURN = 32
ACCEPT_PAUSE_SECONDS = 0.02
MAX_STATUS_HEADER_BYTES = 16 << 10
MAX_STATUS_BODY_BYTES = 16 << 10
MAX_STATUS_UNREAD_BYTES = 8 << 10
# Fewer than of callers: a page of metrics is a long answer to a short request.
MAX_STATUS_LINES_PER_TURN = 100
STATUS_IDLE_SECONDS = 10.0
STATUS_BODY_SECONDS = 2.0


class FrontendServer(HTTPServer):
    """Server whose connections are known to a frontend, also when they close."""

    def initialize(self, frontend: CallerFrontend, **parameters: Any) -> None:
        """Serve with a frontend."""
        super().initialize(frontend, **parameters)
        self.frontend = frontend

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Release what the connection holds."""
        self.frontend.close_connection(server_conn.stream)
        super().on_close(server_conn)


class PacedServer(HTTPServer, ABC):
    """Server that accepts connections as far as there is room.

    Connections that have to wait stay with the kernel, in the order in which they came.
    """

    def initialize(self, *arguments: Any, **parameters: Any) -> None:
        """Serve as the base class does."""
        super().initialize(*arguments, **parameters)
        self.listeners: list[socket.socket] = []
        self.resume_timers: dict[socket.socket, asyncio.TimerHandle] = {}

    @abstractmethod
    def must_wait(self) -> bool:
        """Whether a new connection has to wait."""

    @abstractmethod
    def stream_owner(self) -> StreamOwner:
        """Return the owner of new connections' streams."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listener in sockets:
            # Connections have this size from the listener while they wait to be accepted.
            limit_unread_bytes(listener, self.stream_owner().max_unread_bytes)
            self.listeners.append(listener)
            self.resume(listener)

    def resume(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket from now on."""
        self.resume_timers.pop(listener, None)
        asyncio.get_running_loop().add_reader(listener, self.accept, listener)

    def pause(self, listener: socket.socket) -> None:
        """Accept no connections for a moment."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        self.resume_timers[listener] = loop.call_later(ACCEPT_PAUSE_SECONDS, self.resume, listener)

    def accept(self, listener: socket.socket) -> None:
        """Accept the connections that wait, as far as there is room."""
        for _ in range(MAX_ACCEPTED_PER_TURN):
            if self.must_wait():
                self.pause(listener)
                return
            try:
                raw, address = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                json_log.info("connection not accepted", error=str(error))
                self.pause(listener)
                return
            raw.setblocking(False)
            self.handle_stream(CallerStream(raw, self.stream_owner()), address)

    def stop(self) -> None:
        """Stop listening; open connections are kept."""
        loop = asyncio.get_running_loop()
        for listener in self.listeners:
            timer = self.resume_timers.pop(listener, None)
            if timer is not None:
                timer.cancel()
            loop.remove_reader(listener)
            listener.close()
        self.listeners.clear()
        super().stop()


class CallerServer(PacedServer, FrontendServer):
    """Server for callers, who may have to give way to each other."""

    def must_wait(self) -> bool:
        """Whether a new connection has to wait until another may give way to it."""
        return self.frontend.must_wait()

    def stream_owner(self) -> StreamOwner:
        """Return the frontend, whose limits hold for the streams."""
        return self.frontend

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, if there is room for it."""
        if self.frontend.open_connection(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()


class StatusStreams(StreamOwner):
    """Limits of connections on which short requests come."""

    max_head_bytes = MAX_STATUS_HEADER_BYTES
    max_unread_bytes = MAX_STATUS_UNREAD_BYTES

    def __init__(self) -> None:
        self.turns = Turns(MAX_STATUS_LINES_PER_TURN)

    def record_waiting(self, stream: CallerStream, cost: RequestCost) -> None:
        """Do nothing: the oldest connection gives way, whatever it waits for."""

    def record_head_too_large(self) -> None:
        """Do nothing: only callers' requests are counted."""


class StatusServer(PacedServer):
    """Server for short requests without bodies; the oldest connection gives way to a new one."""

    def initialize(self, request_callback: Any, metrics: Metrics) -> None:
        """Serve with a callback for whole requests."""
        super().initialize(
            request_callback,
            max_header_size=MAX_STATUS_HEADER_BYTES,
            max_body_size=MAX_STATUS_BODY_BYTES,
            idle_connection_timeout=STATUS_IDLE_SECONDS,
            body_timeout=STATUS_BODY_SECONDS,
        )
        self.metrics = metrics
        self.connections: StatusConnections[IOStream] = StatusConnections()
        self.owner = StatusStreams()

    def must_wait(self) -> bool:
        """Whether a new connection has to wait, so that the oldest one has its moment."""
        return self.connections.must_wait(now())

    def stream_owner(self) -> StreamOwner:
        """Return the limits that hold for the streams."""
        return self.owner

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, in place of the oldest one if there are too many."""
        oldest = self.connections.open(stream, now())
        if oldest is not None:
            self.metrics.count("status_connections_gave_way")
            oldest.close()
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget the connection."""
        self.connections.close(server_conn.stream)
        super().on_close(server_conn)
