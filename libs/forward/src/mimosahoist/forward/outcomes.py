"""Tagged outcomes of calls to upstreams and of whole requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders


class LossKind(enum.StrEnum):
    """How a call that was sent ended without an answer."""

    BROKEN = "broken"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class Answered:
    """The upstream's whole answer to this call."""

    status: int
    reason: str
    headers: HTTPHeaders
    body: bytes
    elapsed: float

    @property
    def is_success(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300


@dataclass(frozen=True)
class Refused:
    """The upstream said that it did not run the call."""

    status: int
    other_instance: bool = False


@dataclass(frozen=True)
class Unreached:
    """Nothing was sent."""

    reason: str


@dataclass(frozen=True)
class Lost:
    """The call was sent and may have run; no usable answer came."""

    kind: LossKind


CallOutcome = Answered | Refused | Unreached | Lost


@dataclass(frozen=True)
class Forwarded:
    """One upstream's answer, to be returned unchanged."""

    answer: Answered


@dataclass(frozen=True)
class Gathered:
    """A merged answer and what it covers."""

    body: bytes
    signatures: list[str]
    missing: int


@dataclass(frozen=True)
class Parts:
    """Merged parts for another instance.

    Attributes
    ----------
    pending, failed : dict
        Shards whose calls are under way, and shards whose calls failed since the last answer, each
        with the upstream that may have run its call, or "".
    """

    body: bytes
    signatures: list[str]
    pending: dict[str, str]
    failed: dict[str, str]


@dataclass(frozen=True)
class NotRun:
    """No upstream ran the request and none will.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller should come again.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True)
class Failed:
    """No answer can be given, and the request may have run."""

    reason: str
    timed_out: bool = False


@dataclass(frozen=True)
class Abandoned:
    """The caller left."""

    reason: str = field(default="caller left")


RequestOutcome = Forwarded | Gathered | Parts | NotRun | Failed | Abandoned
