"""One exchange with an upstream on behalf of a request."""

from __future__ import annotations

from abc import ABC
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.upstream.transport import ExchangeFailure, Reply


class CallTarget(ABC):
    """Target of a call.

    Attributes
    ----------
    name : str
        Name in the platform's instance list.
    """

    name: str


@dataclass(slots=True)
class Call:
    """One exchange on behalf of a request.

    Attributes
    ----------
    path : str
        Path in the upstream protocol.
    body : bytes
        Encoded message.
    deadline : float
        Loop time after which a reply is no longer useful.
    done : callable
        Callback that receives the call once `outcome` is set.
    may_include_connect : bool
        Whether `elapsed` may include the time to open a connection.
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
    may_include_connect: bool = False

    @property
    def latency_sample(self) -> float | None:
        """Latency in seconds, or None if it may include opening a connection."""
        return None if self.may_include_connect else self.elapsed
