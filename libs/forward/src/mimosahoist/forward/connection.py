"""One HTTP/1.1 connection to an upstream, one exchange at a time.

libcurl silently resends a request when a reused connection breaks before the first response byte,
which may run the request twice; so Tornado's HTTP/1.1 connection is used directly on a stream.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from mimosahoist.core.decimal_text import parse_integer
from mimosahoist.core.tasks import now
from mimosahoist.forward.outcomes import Answered, LossKind, Lost
from mimosahoist.forward.receive_buffers import MAX_RESPONSE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import ResponseStartLine

    from mimosahoist.forward.receive_buffers import ReceiveBuffers

    HeadListener = Callable[[int, HTTPHeaders], None]
    HeadersSource = Callable[[], HTTPHeaders]

CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=64 * 1024, max_body_size=MAX_RESPONSE_BYTES, decompress=False
)
READ_BUFFER_BYTES = 256 * 1024
# Larger bodies are written apart from their head.
MAX_JOINED_BODY_BYTES = 8 << 10
# An upstream may announce its answer with a few 1xx responses.
MAX_INTERIM_RESPONSES = 8
# An upstream in trouble may send other numbers; callers must not get them.
STATUSES = range(100, 600)
TCP_USER_TIMEOUT_MILLISECONDS = 2000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
KEEP_ALIVE_MARGIN_SECONDS = 0.3
DEFAULT_KEEP_ALIVE_SECONDS = 30.0
MAX_KEEP_ALIVE_SECONDS = 24 * 3600


class UpstreamStream(IOStream):
    """Stream that reports whether its read buffer holds bytes."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes arrived that no exchange has read."""
        return self._read_buffer_size > 0


class ResponseCollector(HTTPMessageDelegate):
    """Buffers a response until it is complete.

    Attributes
    ----------
    on_head : callable
        Called once the head is complete, whether or not the body ever is.
    overflowed : bool
        Whether the response was dropped because it is too large.
    """

    def __init__(
        self, stream: UpstreamStream, receive_buffers: ReceiveBuffers, on_head: HeadListener
    ) -> None:
        self.stream = stream
        self.buffer = receive_buffers.open(self.drop)
        self.on_head = on_head
        self.overflowed = False
        self.interim_responses = 0
        self.start_line: ResponseStartLine | None = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        """Store the start line and headers; only the last of several responses counts."""
        if start_line.code not in STATUSES:
            self.drop()
            return
        if start_line.code < 200:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                self.drop()
            return
        self.start_line = start_line
        self.headers = headers
        self.on_head(start_line.code, headers)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body."""
        self.chunks.append(chunk)
        self.buffer.add(len(chunk))

    def drop(self) -> None:
        """Discard the response and close its connection."""
        self.overflowed = True
        self.chunks = []
        self.stream.close()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True

    def close(self) -> None:
        """Keep nothing of the request: errors of the connection refer to this collector."""
        self.buffer.close()
        self.on_head = ignore_head

    def take_body(self) -> bytes:
        """Return the body, and keep nothing of it: cyclic references outlast the exchange."""
        chunks, self.chunks = self.chunks, []
        return b"".join(chunks)

    @property
    def has_explicit_length(self) -> bool:
        """Whether the length is given by a header, not by the end of the connection."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers


class UpstreamConnection:
    """Persistent connection that runs one exchange at a time.

    Attributes
    ----------
    usable_until : float
        Loop time after which no exchange may start.
    closing : bool
        Whether the connection must not be reused.
    """

    def __init__(
        self,
        stream: UpstreamStream,
        on_close: Callable[[], None],
        receive_buffers: ReceiveBuffers,
    ) -> None:
        self.stream = stream
        self.receive_buffers = receive_buffers
        self.on_close = on_close
        self.usable_until = now() + DEFAULT_KEEP_ALIVE_SECONDS
        self.closing = False

    @classmethod
    async def open(
        cls, address: str, on_close: Callable[[], None], receive_buffers: ReceiveBuffers
    ) -> UpstreamConnection:
        """Open a connection.

        Parameters
        ----------
        address : str
            ``host:port``.
        on_close : callable
            Called when the connection closes while it is idle.
        receive_buffers : ReceiveBuffers
            Limits on the memory for responses.

        Raises
        ------
        StreamClosedError
            If the upstream does not accept the connection.
        """
        host, _, port = address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_keepalive(raw)
        stream = UpstreamStream(raw, max_buffer_size=READ_BUFFER_BYTES)
        try:
            await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        return cls(stream, on_close, receive_buffers)

    def usable(self, at: float) -> bool:
        """Whether the connection can be reused for another exchange."""
        return not (
            self.closing
            or self.stream.closed()
            or self.stream.has_unread_bytes
            or at > self.usable_until
        )

    def mark_idle(self) -> None:
        """Report a close by the upstream while no exchange is running."""
        self.stream.set_close_callback(self.on_close)

    def close(self) -> None:
        """Close the connection; an exchange in progress ends as lost."""
        self.stream.set_close_callback(None)
        self.stream.close()

    async def exchange(
        self, method: str, target: str, headers: HeadersSource, body: bytes, on_head: HeadListener
    ) -> Answered | Lost:
        """Send a request and read its response.

        Any failure closes the connection, since later bytes on it belong to no request.

        Parameters
        ----------
        headers : callable
            Gives the header fields, which are not kept while the response is awaited.
        on_head : callable
            Called with the response's status and headers, also if its body breaks off or the call
            is cancelled later.
        """
        collector = ResponseCollector(self.stream, self.receive_buffers, on_head)
        try:
            return await self.exchange_into(collector, method, target, headers, body)
        finally:
            collector.close()

    async def exchange_into(
        self,
        collector: ResponseCollector,
        method: str,
        target: str,
        headers: HeadersSource,
        body: bytes,
    ) -> Answered | Lost:
        """Send a request and collect its response."""
        started = now()
        http = HTTP1Connection(self.stream, True, CONNECTION_PARAMETERS)
        self.stream.set_close_callback(None)
        try:
            write_message(http, RequestStartLine(method, target, "HTTP/1.1"), headers(), body)
            await http.read_response(collector)
        except StreamClosedError as error:
            # Its frames refer to the request, and to a future that keeps the error.
            error.__traceback__ = None
            self.close()
            return Lost(LossKind.MALFORMED if collector.overflowed else LossKind.BROKEN)
        if collector.overflowed:
            self.close()
            return Lost(LossKind.MALFORMED)
        if not collector.complete or collector.start_line is None:
            self.close()
            malformed = collector.start_line is None
            return Lost(LossKind.MALFORMED if malformed else LossKind.BROKEN)
        if (
            self.stream.closed()
            and self.stream.error is not None
            and not collector.has_explicit_length
        ):
            return Lost(LossKind.BROKEN)
        self.update_keep_alive(collector)
        response = collector.start_line
        elapsed = now() - started
        body = collector.take_body()
        return Answered(response.code, response.reason, collector.headers, body, elapsed)

    def update_keep_alive(self, collector: ResponseCollector) -> None:
        """Determine from a response whether and how long the connection may be reused."""
        headers = collector.headers
        if "close" in headers.get("Connection", "").lower() or self.stream.has_unread_bytes:
            self.closing = True
        self.usable_until = now() + keep_alive_seconds(headers.get("Keep-Alive", ""))


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Do nothing: the exchange has ended."""


def write_message(
    http: HTTP1Connection,
    start_line: RequestStartLine | ResponseStartLine,
    headers: HTTPHeaders,
    body: bytes,
) -> None:
    """Write a whole message; a large body is not copied, so that it exists once for all calls."""
    if len(body) <= MAX_JOINED_BODY_BYTES:
        http.write_headers(start_line, headers, body)
    else:
        http.write_headers(start_line, headers)
        http.write(body)
    http.finish()


def keep_alive_seconds(header: str) -> float:
    """Seconds for which an idle connection may be reused, from a ``Keep-Alive`` header.

    A margin is subtracted, so that no request is sent just as the upstream closes.
    """
    for item in header.split(","):
        name, _, value = item.strip().partition("=")
        seconds = parse_integer(value, MAX_KEEP_ALIVE_SECONDS)
        if name.lower() == "timeout" and seconds is not None:
            return max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS


def configure_keepalive(raw: socket.socket) -> None:
    """Let the kernel detect a dead peer, including one that stops responding without a close."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS)
