"""Limits on the memory and the connections for responses of upstreams; does no I/O.

A faulty upstream may send bytes without end. Each response is limited, and so is the sum over all
responses: if it is exceeded the largest one is dropped, since that is the least likely to end.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any
from weakref import WeakSet

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_RESPONSE_BYTES = 8 << 20
MAX_TOTAL_BYTES = 32 << 20
MAX_CONNECTIONS = 1 << 16


class ReceiveBuffer:
    """Size of one response that is being received."""

    def __init__(self, buffers: ReceiveBuffers, drop: Callable[[], None]) -> None:
        self.buffers = buffers
        self.drop = drop
        self.size = 0

    def add(self, size: int) -> None:
        """Count received bytes, and drop a response if a limit is exceeded."""
        self.size += size
        self.buffers.total += size
        self.buffers.enforce(self)

    def close(self) -> None:
        """Stop counting the response, which is complete or dropped."""
        self.buffers.total -= self.size
        self.size = 0
        self.buffers.open_buffers.discard(self)
        # What is dropped refers to this buffer, and to the request with its body: as a cycle, they
        # would be kept until the garbage collector runs.
        self.drop = do_nothing


class SocketLimitReached(OSError):
    """No further connection may be opened; the instance needs more descriptors."""


class IdleConnections(ABC):
    """Connections to one upstream that wait for their next call."""

    idle: list[Any]

    @abstractmethod
    def drop_idle(self) -> None:
        """Close the connection that has waited longest."""


class SocketLimit:
    """Number of connections to all upstreams together.

    Attributes
    ----------
    maximum : int
        Number of connections that the instance's descriptors allow.
    """

    def __init__(self, maximum: int = MAX_CONNECTIONS) -> None:
        self.maximum = maximum
        self.open_count = 0
        self.pools: WeakSet[IdleConnections] = WeakSet()

    @property
    def is_reached(self) -> bool:
        """Whether no further connection may be opened, not even in place of an idle one."""
        return self.open_count >= self.maximum and not any(pool.idle for pool in self.pools)

    def make_room(self) -> None:
        """Close an idle connection if the limit is reached.

        Raises
        ------
        SocketLimitReached
            If there is none.
        """
        if self.open_count < self.maximum:
            return
        pool = next((pool for pool in self.pools if pool.idle), None)
        if pool is None:
            raise SocketLimitReached(f"{self.maximum} connections to upstreams are open")
        pool.drop_idle()


class ReceiveBuffers:
    """Sizes of all responses that an instance is receiving.

    Attributes
    ----------
    total : int
        Number of bytes of all open buffers.
    sockets : SocketLimit
        Limit on the connections over which the responses come.
    """

    def __init__(
        self, max_response_bytes: int = MAX_RESPONSE_BYTES, max_total_bytes: int = MAX_TOTAL_BYTES
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self.max_total_bytes = max_total_bytes
        self.total = 0
        self.sockets = SocketLimit()
        self.open_buffers: set[ReceiveBuffer] = set()

    def open(self, drop: Callable[[], None]) -> ReceiveBuffer:
        """Start counting one response.

        Parameters
        ----------
        drop : callable
            Discards the response and closes its connection.
        """
        buffer = ReceiveBuffer(self, drop)
        self.open_buffers.add(buffer)
        return buffer

    def enforce(self, grown: ReceiveBuffer) -> None:
        """Drop a response that is too large, or the largest if all together are."""
        if grown.size > self.max_response_bytes:
            self.drop(grown)
        elif self.total > self.max_total_bytes:
            self.drop(max(self.open_buffers, key=lambda buffer: buffer.size))

    def drop(self, buffer: ReceiveBuffer) -> None:
        """Drop one response."""
        drop = buffer.drop
        buffer.close()
        drop()


def do_nothing() -> None:
    """Drop a response that was dropped before or is complete."""
