"""HTTP server of simulated searchers."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer

from mimosahoist.lab.searcher_model import ModelReply, Outcome, SearcherFaults, SearcherModel

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

CONTROL_PREFIX = "/lab/"


class SearcherServer(httputil.HTTPServerConnectionDelegate):
    """Serves one simulated searcher on one port."""

    def __init__(self, model: SearcherModel) -> None:
        self.model = model
        self.server = HTTPServer(self)
        self.open_connections: dict[Any, HTTP1Connection] = {}
        self.blackholed: set[Any] = set()
        model.crash_listeners.append(self.close_connections)

    def listen(self, port: int) -> None:
        """Listen on the loopback interface."""
        self.server.listen(port, address="127.0.0.1")

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.stop()
        await self.server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return a reader for a new request."""
        return RequestReader(self, server_conn, request_conn)

    def release_closed(self) -> None:
        """Release connections that closed between two requests, of which the server is not told."""
        for server_conn, connection in list(self.open_connections.items()):
            if connection.stream.closed():
                self.release(server_conn)

    def release(self, server_conn: object) -> None:
        """Release a connection in the model if it is counted there."""
        self.blackholed.discard(server_conn)
        if self.open_connections.pop(server_conn, None) is not None:
            self.model.close_connection()

    def close_connections(self) -> None:
        """Close all counted connections, as a crash does."""
        for connection in list(self.open_connections.values()):
            connection.stream.close()

    async def serve(
        self, server_conn: object, connection: HTTP1Connection, path: str, body: bytes
    ) -> None:
        """Serve one request; a connection counts in the model from its first protocol request."""
        if path.startswith(CONTROL_PREFIX):
            await write_reply(connection, self.handle_control(path, body))
            return
        is_new = server_conn not in self.open_connections
        if is_new:
            self.release_closed()
            if not self.model.accept_connection():
                connection.stream.close()
                return
            self.open_connections[server_conn] = connection
        # A caller may leave while its request is served, or may have left before it was.
        connection.set_close_callback(functools.partial(self.release, server_conn))
        if connection.stream.closed():
            self.release(server_conn)
            return
        if is_new:
            await asyncio.sleep(self.model.spec.connect_ms / 1000)
        if server_conn in self.blackholed:
            return
        reply = await self.model.handle(path, body)
        if reply.outcome is Outcome.NO_REPLY:
            self.blackholed.add(server_conn)
        elif reply.outcome is Outcome.DISCONNECT:
            connection.stream.close()
        else:
            await write_reply(connection, reply)

    def handle_control(self, path: str, body: bytes) -> ModelReply:
        """Serve a control request: set faults, read the record, or change the searcher's state."""
        value: Any = {}
        if path == "/lab/faults":
            self.model.faults = msgspec.convert(
                {**msgspec.to_builtins(self.model.faults), **msgspec.json.decode(body)},
                SearcherFaults,
            )
        elif path == "/lab/record":
            value = self.model.record.to_wire()
        elif path == "/lab/turn-cold":
            self.model.turn_cold()
        elif path == "/lab/start-cold":
            self.model.start_cold()
        elif path == "/lab/crash":
            self.model.crash()
        elif path == "/lab/swap":
            change = msgspec.json.decode(body)
            self.model.swap_snapshot(change["snapshot"], change["total"], change["keep"])
        return ModelReply(Outcome.ANSWER, 200, msgspec.json.encode(value))


class RequestReader(httputil.HTTPMessageDelegate):
    """Collects the path and body of a request, then passes it to the server."""

    def __init__(self, server: SearcherServer, server_conn: object, connection: Any) -> None:
        self.server = server
        self.server_conn = server_conn
        self.connection = connection
        self.path = ""
        self.chunks: list[bytes] = []

    def headers_received(self, start_line: Any, headers: httputil.HTTPHeaders) -> None:
        """Store the path."""
        self.path = start_line.path

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Start serving the request."""
        work = self.server.serve(
            self.server_conn, self.connection, self.path, b"".join(self.chunks)
        )
        asyncio.get_running_loop().create_task(work)


async def write_reply(connection: HTTP1Connection, reply: ModelReply) -> None:
    """Write an answer unless the connection is closed."""
    if connection.stream.closed():
        return
    headers = httputil.HTTPHeaders({"Content-Length": str(len(reply.body))})
    start = httputil.ResponseStartLine("HTTP/1.1", reply.status, "")
    try:
        await connection.write_headers(start, headers, reply.body)
        connection.finish()
    except (OSError, httputil.HTTPInputError):
        return
