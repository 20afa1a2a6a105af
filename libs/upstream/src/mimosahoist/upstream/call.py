"""One exchange with an upstream on behalf of a request."""

from __future__ import annotations

from abc import ABC
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.upstream.transport import ExchangeFailure, Reply


class CallTarget(ABC):
    """What a call is sent to.

    Attributes
    ----------
    name : str
        Name in the platform's list.
    """

    name: str


@dataclass(slots=True)
class Call:
    """One exchange on behalf of a request.

    Attributes
    ----------
    path : str
        Path of the upstream's protocol.
    body : bytes
        Encoded message.
    deadline : float
        Loop time after which the answer is of no use.
    done : callable
        Called with the call once `outcome` is set.
    connecting : bool
        Whether the exchange may have had to open a connection first.
    """

    path: str
    body: bytes
    request: str
    deadline: float
    done: Callable[[Call], None]
    upstream: CallTarget | None = None
    outcome: Reply | ExchangeFailure | None = None
    started: float = 0.0
    elapsed: float = 0.0
    connecting: bool = False

    @property
    def latency_sample(self) -> float | None:
        """Seconds until the answer, or None if a new connection was part of them."""
        return None if self.connecting else self.elapsed
