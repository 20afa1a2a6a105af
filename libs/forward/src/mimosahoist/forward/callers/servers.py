"""HTTP servers whose connections are bounded: for callers, and for the load balancer's checks."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from mimosahoist.core import json_log
from mimosahoist.forward.callers.stream import CallerStream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.iostream import IOStream

    from mimosahoist.forward.front import CallerFrontend

# Connections accepted before other work has its turn.
MAX_ACCEPTED_PER_TURN = 32
ACCEPT_PAUSE_SECONDS = 0.02
MAX_STATUS_CONNECTIONS = 32
MAX_STATUS_HEADER_BYTES = 16 << 10
MAX_STATUS_BODY_BYTES = 16 << 10
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


class CallerServer(FrontendServer):
    """Server for callers, who may have to give way to each other.

    Connections that have to wait stay with the kernel, in the order in which they came.
    """

    def initialize(self, frontend: CallerFrontend, **parameters: Any) -> None:
        """Serve with a frontend, which knows how many connections it may have."""
        super().initialize(frontend, **parameters)
        self.listeners: list[socket.socket] = []
        self.resume_timers: dict[socket.socket, asyncio.TimerHandle] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listener in sockets:
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
            if self.frontend.must_wait():
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
            self.handle_stream(CallerStream(raw, self.frontend), address)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, if there is room for it."""
        if self.frontend.open_connection(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()

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


class StatusServer(HTTPServer):
    """Server for short requests without bodies; the oldest connection gives way to a new one."""

    def initialize(self, request_callback: Any) -> None:
        """Serve with a callback for whole requests."""
        super().initialize(
            request_callback,
            max_header_size=MAX_STATUS_HEADER_BYTES,
            max_body_size=MAX_STATUS_BODY_BYTES,
            idle_connection_timeout=STATUS_IDLE_SECONDS,
            body_timeout=STATUS_BODY_SECONDS,
        )
        self.streams: OrderedDict[IOStream, None] = OrderedDict()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection in place of the oldest one, if there are too many."""
        while len(self.streams) >= MAX_STATUS_CONNECTIONS:
            oldest, _ = self.streams.popitem(last=False)
            oldest.close()
        self.streams[stream] = None
        super().handle_stream(stream, address)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget the connection."""
        self.streams.pop(server_conn.stream, None)
        super().on_close(server_conn)
