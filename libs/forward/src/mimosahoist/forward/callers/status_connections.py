"""Connections for short requests: which gives way to a new one, and when; does no I/O.

Answers crowds at the readiness port. The load balancer's check is as young as the crowd's
connections, so each has a moment of its own before the oldest gives way.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

from mimosahoist.forward.callers.intake import MIN_STUCK_SECONDS

MAX_STATUS_CONNECTIONS = 32

Connection = TypeVar("Connection")


class StatusConnections(Generic[Connection]):
    """Open connections, the oldest first.

    Attributes
    ----------
    opened_at : OrderedDict
        Loop time in seconds at which each connection was taken.
    """

    def __init__(self, maximum: int = MAX_STATUS_CONNECTIONS) -> None:
        self.maximum = maximum
        self.opened_at: OrderedDict[Connection, float] = OrderedDict()

    def must_wait(self, at: float) -> bool:
        """Whether a new connection has to wait, so that the oldest one has its moment."""
        if len(self.opened_at) < self.maximum:
            return False
        return next(iter(self.opened_at.values())) > at - MIN_STUCK_SECONDS

    def open(self, connection: Connection, at: float) -> Connection | None:
        """Take a connection; return the one that gives way to it, if there are too many."""
        oldest = None
        if len(self.opened_at) >= self.maximum:
            oldest, _ = self.opened_at.popitem(last=False)
        self.opened_at[connection] = at
        return oldest

    def close(self, connection: Connection) -> None:
        """Forget a connection, which may have given way before."""
        self.opened_at.pop(connection, None)
