"""Transport over HTTP/1.1 with libcurl's multi interface."""

from __future__ import annotations

import asyncio
import re
import select
from typing import TYPE_CHECKING

import pycurl

from mimosahoist.upstream.transport import (
    Connection,
    ExchangeFailure,
    FailureKind,
    Reply,
    Transport,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_CACHED_CONNECTIONS = 20_000
CONNECT_TIMEOUT_MS = 1000
MS_PER_SECOND = 1000
TIMEOUT_GRANULARITY_MS = 10
HEADERS = ["Content-Type: application/json", "Expect:", "Accept:", "User-Agent:"]
STATUS_LINE_START = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/[0-9.]+ +[1-5][0-9]{2}(?![0-9])")
HEAD_ENDS = (b"\r\n", b"\n")
CONNECT_ERRORS = {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}


class CurlTransport(Transport):
    """Drives all transfers of a process through one epoll set.

    libcurl's sockets are registered in a separate epoll set. The event loop watches only the
    descriptor of that set, so one wake-up serves every socket that is ready.
    """

    def __init__(self) -> None:
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self.handle_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.handle_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        self.epoll = select.epoll()
        self.event_masks: dict[int, int] = {}
        self.active_fds: set[int] = set()
        self.close_handlers: dict[int, Callable[[], None]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None
        self.timer: asyncio.Handle | None = None
        self.timer_deadline = 0.0
        self.connections_opened = 0

    async def start(self) -> None:
        """Watch the epoll set on the running event loop."""
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.epoll.fileno(), self.handle_ready)

    async def close(self) -> None:
        """Stop watching the epoll set; connections close with the process."""
        if self.timer is not None:
            self.timer.cancel()
        if self.loop is not None:
            self.loop.remove_reader(self.epoll.fileno())
        self.epoll.close()

    def open(self, address: str, fresh: bool, handle_closed: Callable[[], None]) -> CurlConnection:
        """Create a connection with its own easy handle."""
        return CurlConnection(self, address, fresh, handle_closed)

    def handle_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        """Apply the events that libcurl requests for a socket to the epoll set.

        A removed socket stays registered, since the next exchange on a kept connection needs it
        again; `handle_ready` unregisters it if it becomes ready while unused.
        """
        if event == pycurl.POLL_REMOVE:
            self.active_fds.discard(fd)
            return
        self.active_fds.add(fd)
        mask = 0
        if event & pycurl.POLL_IN:
            mask |= select.EPOLLIN
        if event & pycurl.POLL_OUT:
            mask |= select.EPOLLOUT
        if self.event_masks.get(fd) != mask:
            self.register_socket(fd, mask)

    def register_socket(self, fd: int, mask: int) -> None:
        """Register a socket in the epoll set, or change its event mask."""
        self.event_masks[fd] = mask
        try:
            self.epoll.modify(fd, mask)
        except FileNotFoundError:
            self.epoll.register(fd, mask)

    def unregister_socket(self, fd: int) -> None:
        """Remove a socket that became ready while unused, which means that its peer closed it."""
        self.event_masks.pop(fd, None)
        handle_closed = self.close_handlers.pop(fd, None)
        if handle_closed is not None:
            handle_closed()
        try:
            self.epoll.unregister(fd)
        except (FileNotFoundError, OSError):
            return

    def handle_opened(self, fd: int, handle_closed: Callable[[], None]) -> int:
        """Record a new socket, discarding the event mask of an earlier one with the same number."""
        self.event_masks.pop(fd, None)
        self.close_handlers[fd] = handle_closed
        self.connections_opened += 1
        return pycurl.SOCKOPT_OK

    def handle_timer(self, timeout_ms: int) -> None:
        """Schedule libcurl's next timeout unless an earlier one is already scheduled."""
        if timeout_ms < 0:
            return
        at = self.loop.time() + timeout_ms / MS_PER_SECOND
        if self.timer is not None:
            if self.timer_deadline <= at:
                return
            self.timer.cancel()
        self.timer_deadline = at
        if timeout_ms == 0:
            self.timer = self.loop.call_soon(self.handle_timeout)
        else:
            self.timer = self.loop.call_at(at, self.handle_timeout)

    def handle_timeout(self) -> None:
        """Let libcurl process its timeouts."""
        self.timer = None
        self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self.process_completed()
        if self.timer is None:
            self.handle_timer(self.multi.timeout())

    def handle_ready(self) -> None:
        """Let libcurl process every ready socket."""
        for fd, events in self.epoll.poll(0):
            if fd not in self.active_fds:
                self.unregister_socket(fd)
                continue
            flags = 0
            if events & select.EPOLLIN:
                flags |= pycurl.CSELECT_IN
            if events & select.EPOLLOUT:
                flags |= pycurl.CSELECT_OUT
            if events & (select.EPOLLERR | select.EPOLLHUP):
                flags |= pycurl.CSELECT_ERR
            self.multi.socket_action(fd, flags)
        self.process_completed()

    def process_completed(self) -> None:
        """Pass completed transfers to their connections."""
        remaining = 1
        while remaining:
            remaining, done, failed = self.multi.info_read()
            for easy in done:
                self.multi.remove_handle(easy)
                easy.connection.handle_done()
            for easy, code, _ in failed:
                self.multi.remove_handle(easy)
                easy.connection.handle_failed(code)


class CurlConnection(Connection):
    """A connection with one easy handle that is reused for every exchange."""

    def __init__(
        self,
        transport: CurlTransport,
        address: str,
        fresh: bool,
        handle_closed: Callable[[], None],
    ) -> None:
        self.transport = transport
        self.handle_closed = handle_closed
        self.base_url = f"http://{address}"
        self.path = ""
        self.method = ""
        self.timeout_ms = 0
        self.chunks: list[bytes] = []
        self.head_lines: list[bytes] = []
        self.future: asyncio.Future[Reply] | None = None
        self.easy = pycurl.Curl()
        self.easy.connection = self
        self.configure(fresh)

    def configure(self, fresh: bool) -> None:
        """Set the options that are the same for all exchanges."""
        easy = self.easy
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.HTTPHEADER, HEADERS)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        easy.setopt(pycurl.WRITEFUNCTION, self.chunks.append)
        easy.setopt(pycurl.HEADERFUNCTION, self.head_lines.append)
        easy.setopt(pycurl.SOCKOPTFUNCTION, self.handle_opened)
        if fresh:
            easy.setopt(pycurl.FRESH_CONNECT, 1)
            easy.setopt(pycurl.FORBID_REUSE, 1)

    def handle_opened(self, fd: int, purpose: int) -> int:
        """Report a new socket to the transport."""
        return self.transport.handle_opened(fd, self.handle_closed)

    def exchange(self, path: str, body: bytes, timeout: float) -> Awaitable[Reply]:
        """Start a transfer and return a future for its reply."""
        easy = self.easy
        if path != self.path:
            self.path = path
            easy.setopt(pycurl.URL, self.base_url + path)
        self.set_body(body)
        self.set_timeout(timeout)
        self.chunks.clear()
        self.head_lines.clear()
        self.future = self.transport.loop.create_future()
        self.transport.multi.add_handle(easy)
        return self.future

    def set_timeout(self, timeout: float) -> None:
        """Set the timeout, rounded up so that it rarely differs from the current one."""
        milliseconds = (
            int(timeout * MS_PER_SECOND) // TIMEOUT_GRANULARITY_MS + 1
        ) * TIMEOUT_GRANULARITY_MS
        if milliseconds != self.timeout_ms:
            self.timeout_ms = milliseconds
            self.easy.setopt(pycurl.TIMEOUT_MS, milliseconds)

    def set_body(self, body: bytes) -> None:
        """Set the request method and body."""
        method = "POST" if body else "GET"
        if method != self.method:
            self.method = method
            self.easy.setopt(pycurl.POST if body else pycurl.HTTPGET, 1)
        if body:
            self.easy.setopt(pycurl.POSTFIELDS, body)

    def handle_done(self) -> None:
        """Resolve the future with the reply, or with a failure if its head ended early."""
        if self.future.done():
            return
        if not is_complete_head(self.head_lines) or not has_valid_status(self.head_lines):
            self.future.set_exception(ExchangeFailure(FailureKind.BROKEN, True))
            return
        status = self.easy.getinfo(pycurl.RESPONSE_CODE)
        self.future.set_result(Reply(status, b"".join(self.chunks)))

    def handle_failed(self, code: int) -> None:
        """Resolve the future with the failure that a libcurl error code stands for."""
        if self.future.done():
            return
        connected = self.easy.getinfo(pycurl.PRETRANSFER_TIME) > 0
        if code in CONNECT_ERRORS or not connected:
            failure = ExchangeFailure(FailureKind.CONNECT, False)
        elif code == pycurl.E_OPERATION_TIMEDOUT:
            failure = ExchangeFailure(FailureKind.TIMEOUT, True)
        else:
            failure = ExchangeFailure(FailureKind.BROKEN, True)
        self.future.set_exception(failure)

    def close(self) -> None:
        """Abort a transfer in progress and free the handle."""
        if self.future is not None and not self.future.done():
            self.transport.multi.remove_handle(self.easy)
            self.future.cancel()
        self.easy.connection = None
        self.easy.close()


def is_complete_head(lines: list[bytes]) -> bool:
    """Whether the head of the last response ended with an empty line.

    libcurl reports success if the connection closes within the head after a whole status line.
    """
    for line in reversed(lines):
        if line in HEAD_ENDS:
            return True
        if line.startswith(STATUS_LINE_START):
            return False
    return False


def has_valid_status(lines: list[bytes]) -> bool:
    """Whether the last response's status is a number that HTTP knows.

    libcurl passes on any number, and the first three digits of a longer one.
    """
    starts = [line for line in lines if line.startswith(STATUS_LINE_START)]
    return bool(starts) and STATUS_LINE.match(starts[-1]) is not None
