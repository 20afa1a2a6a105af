"""One HTTP/1.1 connection to an upstream, one exchange at a time.

libcurl sends a request again by itself when a kept connection breaks before the first byte of an
answer, which may run it twice; so tornado's own HTTP/1.1 connection is used over its stream.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from mimosahoist.core.tasks import now
from mimosahoist.forward.outcomes import Answered, LossKind, Lost

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import ResponseStartLine

PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=64 * 1024, max_body_size=64 * 1024 * 1024, decompress=False
)
UNACKNOWLEDGED_MILLISECONDS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
CLOSE_EARLY_SECONDS = 0.3
DEFAULT_IDLE_SECONDS = 30.0


class UpstreamStream(IOStream):
    """A stream that tells whether bytes lie unread."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes came that no exchange has asked for."""
        return self._read_buffer_size > 0


class AnswerCollector(HTTPMessageDelegate):
    """Keeps an answer until it is complete."""

    def __init__(self) -> None:
        self.start_line: ResponseStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        """Take start line and headers."""
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Note the end of the answer."""
        self.complete = True

    @property
    def framed(self) -> bool:
        """Whether the answer tells its own length."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers


class UpstreamConnection:
    """Carries exchanges to one upstream."""

    def __init__(self, stream: UpstreamStream, handle_closed: Callable[[], None]) -> None:
        self.stream = stream
        self.handle_closed = handle_closed
        self.usable_until = now() + DEFAULT_IDLE_SECONDS
        self.closing = False

    @classmethod
    async def open(cls, address: str, handle_closed: Callable[[], None]) -> UpstreamConnection:
        """Connect.

        Parameters
        ----------
        address : str
            ``host:port``.
        handle_closed : callable
            Called when the connection closes while it carries no exchange.

        Raises
        ------
        StreamClosedError
            If the upstream does not accept.
        """
        host, _, port = address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_keepalive(raw)
        stream = UpstreamStream(raw)
        try:
            await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        return cls(stream, handle_closed)

    def usable(self, at: float) -> bool:
        """Whether another exchange may use the connection."""
        return not (
            self.closing or self.stream.closed() or self.stream.has_unread or at > self.usable_until
        )

    def idle(self) -> None:
        """Watch for the other end's close while no exchange runs."""
        self.stream.set_close_callback(self.handle_closed)

    def close(self) -> None:
        """Close; an exchange in progress ends as lost."""
        self.stream.set_close_callback(None)
        self.stream.close()

    async def exchange(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> Answered | Lost:
        """Send a request and read its answer.

        Any failure closes the connection, since what comes next on it belongs to no request.
        """
        started = now()
        collector = AnswerCollector()
        wire = HTTP1Connection(self.stream, True, PARAMETERS)
        self.stream.set_close_callback(None)
        try:
            wire.write_headers(RequestStartLine(method, target, "HTTP/1.1"), headers, body)
            wire.finish()
            await wire.read_response(collector)
        except StreamClosedError:
            self.close()
            return Lost(LossKind.BROKEN)
        if not collector.complete or collector.start_line is None:
            self.close()
            malformed = collector.start_line is None
            return Lost(LossKind.MALFORMED if malformed else LossKind.BROKEN)
        if self.stream.closed() and self.stream.error is not None and not collector.framed:
            return Lost(LossKind.BROKEN)
        self.note_keeping(collector)
        answer = collector.start_line
        elapsed = now() - started
        return Answered(
            answer.code, answer.reason, collector.headers, b"".join(collector.chunks), elapsed
        )

    def note_keeping(self, collector: AnswerCollector) -> None:
        """Read from an answer how long the connection stays open."""
        headers = collector.headers
        if "close" in headers.get("Connection", "").lower() or self.stream.has_unread:
            self.closing = True
        self.usable_until = now() + idle_seconds(headers.get("Keep-Alive", ""))


def idle_seconds(value: str) -> float:
    """Seconds for which an idle connection may be used, from a ``Keep-Alive`` header."""
    for item in value.split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - CLOSE_EARLY_SECONDS)
    return DEFAULT_IDLE_SECONDS


def configure_keepalive(raw: socket.socket) -> None:
    """Let the kernel find out that the other end is gone, also when it falls silent."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
