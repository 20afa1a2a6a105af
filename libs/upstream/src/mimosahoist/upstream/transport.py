"""Interface of the transport towards upstreams."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Reply(NamedTuple):
    """An upstream's answer to one exchange."""

    status: int
    body: bytes


class FailureKind(enum.StrEnum):
    """How an exchange without an answer ended."""

    CONNECT = "connect"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    ABANDONED = "abandoned"


@dataclass
class ExchangeFailure(Exception):
    """An exchange that brought no answer.

    Attributes
    ----------
    kind : FailureKind
        Where it failed.
    may_have_run : bool
        False only if no byte of the request can have reached the upstream.
    """

    kind: FailureKind
    may_have_run: bool


class Connection(ABC):
    """Carries one exchange at a time to one upstream."""

    @abstractmethod
    def exchange(self, path: str, body: bytes, timeout: float) -> Awaitable[Reply]:
        """Send a request and await its answer.

        Parameters
        ----------
        path : str
            Path of the upstream's protocol.
        body : bytes
            JSON body; empty for a GET.
        timeout : float
            Seconds after which the connection is given up as silent.

        Raises
        ------
        ExchangeFailure
            If no answer came.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class Transport(ABC):
    """Opens connections to upstreams."""

    async def start(self) -> None:
        """Open what the transport needs."""

    async def close(self) -> None:
        """Release it."""

    @abstractmethod
    def open(self, address: str, fresh: bool, handle_closed: Callable[[], None]) -> Connection:
        """Make a connection object.

        Parameters
        ----------
        address : str
            ``host:port`` of the upstream.
        fresh : bool
            True if each exchange needs a new network connection, so that no library below sends
            a request a second time after a reused connection broke.
        handle_closed : callable
            Called when the upstream closes a connection that carries no exchange.
        """
