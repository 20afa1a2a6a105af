"""HTTP servers of an entry instance, one for callers and one for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import tornado.httpserver
import tornado.web

from mimosahoist.entry import admin, handlers

if TYPE_CHECKING:
    from mimosahoist.entry.application import EntryApplication

# Above its own limit Tornado closes the connection without a typed error, so CallerHandler
# enforces MAX_BODY_BYTES instead.
UNLIMITED_BODY_BYTES = 1 << 40


def listen(app: EntryApplication) -> None:
    """Open both servers; the application stops them in `drain` and `close`."""
    app.server = tornado.httpserver.HTTPServer(
        create_caller_application(app), max_body_size=UNLIMITED_BODY_BYTES
    )
    bind_server(app.server, app.settings["listen"]["http"])
    app.admin_server = tornado.httpserver.HTTPServer(create_admin_application(app))
    bind_server(app.admin_server, app.settings["listen"]["admin"])


def create_caller_application(app: EntryApplication) -> tornado.web.Application:
    """Return the Tornado application with the paths for callers."""
    return tornado.web.Application(
        [
            (r"/v1/([^/]+)/([^/]+)/search", handlers.SearchHandler, {"app": app}),
            (r"/v1/([^/]+)/([^/]+)/run", handlers.RunHandler, {"app": app}),
            (r"/health", admin.HealthHandler, {"app": app}),
        ],
        default_handler_class=handlers.NotFoundHandler,
        default_handler_args={"app": app},
    )


def create_admin_application(app: EntryApplication) -> tornado.web.Application:
    """Return the Tornado application with the paths for operators."""
    return tornado.web.Application(
        [
            (r"/health", admin.HealthHandler, {"app": app}),
            (r"/metrics", admin.MetricsHandler, {"app": app}),
            (r"/traces", admin.TracesHandler, {"app": app}),
            (r"/status", admin.StatusHandler, {"app": app}),
        ]
    )


def bind_server(server: tornado.httpserver.HTTPServer, address: str) -> None:
    """Listen on an address of the form ``host:port``."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host)
