"""Connections of this instance to one upstream, and which of them wait for their next call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core.tasks import now
from mimosahoist.forward.connection import UpstreamConnection
from mimosahoist.forward.receive_buffers import IdleConnections

if TYPE_CHECKING:
    from mimosahoist.forward.receive_buffers import ReceiveBuffers


class ConnectionPool(IdleConnections):
    """Opens connections to one address and keeps those that can be reused.

    Attributes
    ----------
    idle : list of UpstreamConnection
        Connections without a call, most recently used last.
    open_count : int
        Number of connections, with a call, idle or being opened.
    opened_count : int
        Number of connections opened so far.
    """

    def __init__(self, address: str, receive_buffers: ReceiveBuffers) -> None:
        self.address = address
        self.receive_buffers = receive_buffers
        self.idle: list[UpstreamConnection] = []
        self.open_count = 0
        self.opened_count = 0
        self.sockets = receive_buffers.sockets
        self.sockets.pools.add(self)

    async def open(self) -> UpstreamConnection:
        """Open a new connection."""
        self.sockets.make_room()
        self.open_count += 1
        self.opened_count += 1
        self.sockets.open_count += 1
        try:
            return await UpstreamConnection.open(self.address, self.prune, self.receive_buffers)
        except BaseException:
            self.open_count -= 1
            self.sockets.open_count -= 1
            raise

    def take_idle(self) -> UpstreamConnection | None:
        """Take the most recently used idle connection, if one is usable."""
        self.prune()
        return self.idle.pop() if self.idle else None

    def put_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for its next call, or close it if it cannot be reused."""
        if not connection.usable(now()):
            self.close_connection(connection)
            return
        connection.mark_idle()
        self.idle.append(connection)

    def close_connection(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not idle."""
        connection.close()
        self.open_count -= 1
        self.sockets.open_count -= 1

    @property
    def can_take(self) -> bool:
        """Whether a connection is idle, or may be opened."""
        return bool(self.idle) or not self.sockets.is_reached

    def drop_idle(self) -> None:
        """Close the idle connection that has waited longest."""
        self.close_connection(self.idle.pop(0))

    def prune(self) -> None:
        """Close the idle connections that are no longer usable."""
        at = now()
        usable = []
        for connection in self.idle:
            if connection.usable(at):
                usable.append(connection)
            else:
                self.close_connection(connection)
        self.idle = usable

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            self.close_connection(connection)
        self.idle = []
