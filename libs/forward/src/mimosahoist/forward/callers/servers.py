"""HTTP servers whose connections are bounded: for callers, and for the load balancer's checks."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from mimosahoist.forward.callers.stream import CallerStream

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1ServerConnection
    from tornado.iostream import IOStream

    from mimosahoist.forward.front import CallerFrontend

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
    """Server for callers, who may have to give way to each other."""

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, if there is room for it."""
        stream = CallerStream(stream.socket, self.frontend)
        if self.frontend.open_connection(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()


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
