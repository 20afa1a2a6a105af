"""Connection of a caller, which is read no further than the limits allow."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable

# What is read of a connection before others have their turn.
READ_CHUNK_BYTES = 16 << 10
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class HeadLimits(ABC):
    """What connections of callers need to know of the frontend that reads them."""

    @property
    @abstractmethod
    def max_head_bytes(self) -> int:
        """Largest head of a request, from its first byte to the end of the blank line."""

    @abstractmethod
    def record_head_too_large(self) -> None:
        """Count a head that was refused."""


class CallerStream(IOStream):
    """Stream of a caller's connection, for use with `HTTP1ServerConnection`."""

    def __init__(self, raw: socket.socket, limits: HeadLimits) -> None:
        super().__init__(raw, read_chunk_size=READ_CHUNK_BYTES)
        self.limits = limits

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the head of a request, up to the limit that is in force now."""
        return super().read_until_regex(regex, self.limits.max_head_bytes)

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, with an answer if it is for a head that is too large."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            self.limits.record_head_too_large()
            try:
                self.write(TOO_LARGE_RESPONSE)
            except StreamClosedError:
                pass
        super().close(exc_info)
