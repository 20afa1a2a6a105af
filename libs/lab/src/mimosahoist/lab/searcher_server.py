"""HTTP front of stand-in searchers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from tornado import httputil
from tornado.httpserver import HTTPServer

from mimosahoist.lab.searcher_model import Faults, ModelReply, Outcome, SearcherModel

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

LAB_PREFIX = "/lab/"


class SearcherServer(httputil.HTTPServerConnectionDelegate):
    """Serves one searcher on one port."""

    def __init__(self, model: SearcherModel) -> None:
        self.model = model
        self.server = HTTPServer(self)
        self.counted: dict[Any, HTTP1Connection] = {}
        self.silent: set[Any] = set()
        model.crash_listeners.append(self.break_connections)

    def listen(self, port: int) -> None:
        """Listen on loopback."""
        self.server.listen(port, address="127.0.0.1")

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.stop()
        await self.server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Take a request; a connection counts from its first one."""
        return RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Count a closed connection."""
        self.silent.discard(server_conn)
        if self.counted.pop(server_conn, None) is not None:
            self.model.close_connection()

    def break_connections(self) -> None:
        """Break all connections, as a crash does."""
        for connection in list(self.counted.values()):
            connection.stream.close()

    async def serve(
        self, server_conn: object, connection: HTTP1Connection, path: str, body: bytes
    ) -> None:
        """Serve one request on a connection."""
        if path.startswith(LAB_PREFIX):
            await respond(connection, self.control(path, body))
            return
        if server_conn not in self.counted:
            if not self.model.open_connection():
                connection.stream.close()
                return
            self.counted[server_conn] = connection
            await asyncio.sleep(self.model.spec.connect_ms / 1000)
        if server_conn in self.silent:
            return
        reply = await self.model.handle(path, body)
        if reply.outcome is Outcome.SILENCE:
            self.silent.add(server_conn)
        elif reply.outcome is Outcome.BREAK:
            connection.stream.close()
        else:
            await respond(connection, reply)

    def control(self, path: str, body: bytes) -> ModelReply:
        """Switch faults or read records."""
        value: Any = {}
        if path == "/lab/faults":
            self.model.faults = msgspec.convert(
                {**msgspec.to_builtins(self.model.faults), **msgspec.json.decode(body)}, Faults
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
    """Collects a request and passes it on."""

    def __init__(self, server: SearcherServer, server_conn: object, connection: Any) -> None:
        self.server = server
        self.server_conn = server_conn
        self.connection = connection
        self.path = ""
        self.chunks: list[bytes] = []

    def headers_received(self, start_line: Any, headers: httputil.HTTPHeaders) -> None:
        """Take the path."""
        self.path = start_line.path

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request."""
        work = self.server.serve(
            self.server_conn, self.connection, self.path, b"".join(self.chunks)
        )
        asyncio.get_running_loop().create_task(work)


async def respond(connection: HTTP1Connection, reply: ModelReply) -> None:
    """Write an answer."""
    if connection.stream.closed():
        return
    headers = httputil.HTTPHeaders({"Content-Length": str(len(reply.body))})
    start = httputil.ResponseStartLine("HTTP/1.1", reply.status, "")
    try:
        await connection.write_headers(start, headers, reply.body)
        connection.finish()
    except (OSError, httputil.HTTPInputError):
        return
