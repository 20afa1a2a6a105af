"""Connection of a caller, which is read no further than the limits allow."""

from __future__ import annotations

import select
import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from mimosahoist.forward.callers.turns import Account, request_cost

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from mimosahoist.forward.callers.turns import RequestCost, Turns

# What is read of a connection before others have their turn.
READ_CHUNK_BYTES = 16 << 10
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class StreamOwner(ABC):
    """What connections of callers need of the frontend that reads them.

    Attributes
    ----------
    turns : Turns
        Order in which requests of all connections are taken on.
    """

    turns: Turns

    @property
    @abstractmethod
    def max_head_bytes(self) -> int:
        """Largest head of a request, from its first byte to the end of the blank line."""

    @property
    @abstractmethod
    def max_unread_bytes(self) -> int:
        """Bytes that the kernel keeps for a connection until they are read; 0 for its own size."""

    @abstractmethod
    def record_waiting(self, stream: CallerStream, cost: RequestCost) -> None:
        """Note that a request waits for its turn."""

    @abstractmethod
    def record_head_too_large(self) -> None:
        """Count a head that was refused."""


class CallerStream(IOStream):
    """Stream of a caller's connection, for use with `HTTP1ServerConnection`."""

    def __init__(self, raw: socket.socket, owner: StreamOwner) -> None:
        super().__init__(raw, read_chunk_size=READ_CHUNK_BYTES)
        limit_unread_bytes(raw, owner.max_unread_bytes)
        self.owner = owner
        self.account = Account()
        self.is_reading_head = False

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the head of a request, up to the limit that is in force now."""
        return self.read_head(regex)

    async def read_head(self, regex: bytes) -> bytes:
        """Read the head of a request whose caller is still there, and wait for its turn.

        What was sent ahead stays readable after the connection has closed.

        Raises
        ------
        StreamClosedError
            If the caller has left.
        """
        self.is_reading_head = True
        head = await super().read_until_regex(regex, self.owner.max_head_bytes)
        self.is_reading_head = False
        cost = request_cost(head, self.has_unread_bytes)
        turns = self.owner.turns
        if not turns.take_now(cost, self.account):
            self.owner.record_waiting(self, cost)
            await turns.wait(cost, self.account)
        if self.has_unread_bytes and self.peer_has_closed():
            self.close()
        if self.closed():
            raise StreamClosedError(self.error)
        return head

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, with an answer if it is for a head that is too large."""
        is_unsatisfiable = isinstance(exc_info, UnsatisfiableReadError)
        if is_unsatisfiable and self.is_reading_head and not self.closed():
            self.owner.record_head_too_large()
            try:
                self.write(TOO_LARGE_RESPONSE)
            except StreamClosedError:
                pass
        super().close(exc_info)
        self.owner.turns.abandon(self.account)

    @property
    def hides_close(self) -> bool:
        """Whether nothing is read from the connection, so that its close goes unnoticed."""
        return self.account.turn is not None or self.has_unread_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the caller wait to be read."""
        return self._read_buffer_size > 0

    def peer_has_closed(self) -> bool:
        """Whether the caller has closed the connection, also if unread bytes precede the close."""
        if self.closed():
            return True
        poller = select.poll()
        poller.register(self.fileno(), select.POLLRDHUP)
        return any(events & PEER_CLOSED_EVENTS for _, events in poller.poll(0))


def limit_unread_bytes(raw: socket.socket, size: int) -> None:
    """Limit the bytes that the kernel keeps until they are read; 0 leaves it to the kernel."""
    if size:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
