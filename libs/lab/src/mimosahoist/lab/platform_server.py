"""HTTP server of the simulated platform."""

from __future__ import annotations

import urllib.parse
from typing import Any

import msgspec
import tornado.httpserver
import tornado.web

from mimosahoist.core.problem import Problem
from mimosahoist.lab.platform_model import MAX_VALUE_BYTES, PlatformFaults, PlatformModel


class PlatformHandler(tornado.web.RequestHandler):
    """Base of all handlers: JSON answers and errors."""

    def initialize(self, model: PlatformModel) -> None:
        """Store the model that serves the requests."""
        self.model = model

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write a Problem as JSON; leave other errors to Tornado."""
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, Problem):
            self.set_status(error.status)
            self.finish(msgspec.json.encode(error.to_wire()))
        else:
            super().write_error(status_code, **kwargs)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected errors only; a Problem is a regular answer."""
        if not isinstance(value, Problem):
            super().log_exception(typ, value, tb)

    def answer(self, value: Any) -> None:
        """Finish the request with a JSON body."""
        self.finish(msgspec.json.encode(value))


class ObjectHandler(PlatformHandler):
    """Reads and writes one object or record."""

    async def get(self, key: str) -> None:
        """Answer with the stored object, or 404."""
        stored = await self.model.get(urllib.parse.unquote(key))
        if stored is None:
            self.set_status(404)
            self.answer({"kind": "not-found"})
            return
        self.answer(stored)

    async def put(self, key: str) -> None:
        """Write the object if its version is the expected one; reject oversized bodies."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            self.answer({"kind": "too-large"})
            return
        body = msgspec.json.decode(self.request.body)
        self.answer(
            await self.model.put(urllib.parse.unquote(key), body["value"], body["expected"])
        )


class ChangesHandler(PlatformHandler):
    """Serves the changes of a collection."""

    async def get(self, collection: str) -> None:
        """Answer with the changes after a revision, as a long poll."""
        since = int(self.get_query_argument("since"))
        wait = float(self.get_query_argument("wait"))
        self.answer(await self.model.changes(collection, since, wait))


class ControlHandler(PlatformHandler):
    """Controls the simulation."""

    def get(self, name: str) -> None:
        """Answer with the number of store calls by kind."""
        self.answer(dict(self.model.calls))

    def post(self, name: str) -> None:
        """Set faults, or set an instance's record in the instance list."""
        body = msgspec.json.decode(self.request.body)
        if name == "faults":
            faults = {**msgspec.to_builtins(self.model.faults), **body}
            self.model.faults = msgspec.convert(faults, PlatformFaults)
            self.model.set_down(self.model.faults.down)
        elif name == "instance":
            self.model.list_instance(body["name"], body["record"])
        self.answer({})


def create_platform_server(model: PlatformModel) -> tornado.httpserver.HTTPServer:
    """Create the HTTP server of a simulated platform."""
    arguments = {"model": model}
    return tornado.httpserver.HTTPServer(
        tornado.web.Application(
            [
                (r"/v1/(?:objects|records)/([^/]+)", ObjectHandler, arguments),
                (r"/v1/changes/(objects|instances)", ChangesHandler, arguments),
                (r"/lab/(\w+)", ControlHandler, arguments),
            ]
        )
    )
