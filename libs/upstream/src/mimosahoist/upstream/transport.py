"""Interface of the transport to upstreams."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Reply(NamedTuple):
    """Reply of an upstream to one exchange."""

    status: int
    body: bytes


class FailureKind(enum.StrEnum):
    """Causes of an exchange without a reply."""

    CONNECT = "connect"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    ABANDONED = "abandoned"


@dataclass
class ExchangeFailure(Exception):
    """An exchange that ended without a reply.

    Attributes
    ----------
    kind : FailureKind
        Cause of the failure.
    may_have_run : bool
        False only if no byte of the request can have reached the upstream.
    """

    kind: FailureKind
    may_have_run: bool


class Connection(ABC):
    """A connection to one upstream that carries one exchange at a time."""

    @abstractmethod
    def exchange(self, path: str, body: bytes, timeout: float) -> Awaitable[Reply]:
        """Send a request and await its reply.

        Parameters
        ----------
        path : str
            Path in the upstream protocol.
        body : bytes
            JSON body; empty for a GET request.
        timeout : float
            Seconds after which the connection is given up as silent.

        Raises
        ------
        ExchangeFailure
            If no reply arrives.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class Transport(ABC):
    """Opens connections to upstreams."""

    async def start(self) -> None:
        """Open sockets and other resources."""

    async def close(self) -> None:
        """Release all resources."""

    @abstractmethod
    def open(self, address: str, fresh: bool, handle_closed: Callable[[], None]) -> Connection:
        """Create a connection.

        Parameters
        ----------
        address : str
            ``host:port`` of the upstream.
        fresh : bool
            Whether each exchange uses a new network connection, so that the HTTP library cannot
            resend a request after a reused connection broke.
        handle_closed : callable
            Called when the upstream closes a connection while no exchange is in progress.
        """
