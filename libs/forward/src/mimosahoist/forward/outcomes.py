"""Types for the outcomes of upstream calls and of whole requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders


class LossKind(enum.StrEnum):
    """How a call that was sent ended without a usable answer."""

    BROKEN = "broken"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    ABANDONED = "abandoned"
    ERROR = "error"


@dataclass(frozen=True)
class Answered:
    """The upstream's complete answer to this call."""

    status: int
    reason: str
    headers: HTTPHeaders
    body: bytes
    elapsed: float

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True)
class Refused:
    """The upstream reported that it did not run the call."""

    status: int
    other_instance: bool = False


@dataclass(frozen=True)
class Unreached:
    """The upstream was not reached, and nothing was sent.

    Attributes
    ----------
    is_local : bool
        Whether this instance has no room for another connection, which says nothing of the
        upstream.
    """

    reason: str
    is_local: bool = False


@dataclass(frozen=True)
class Lost:
    """The call was sent and may have run, but no usable answer arrived."""

    kind: LossKind


CallOutcome = Answered | Refused | Unreached | Lost


@dataclass(frozen=True)
class Forwarded:
    """One upstream's answer, returned to the caller unchanged.

    Attributes
    ----------
    upstream : str
        Name of the upstream, or "" if it is not known.
    """

    answer: Answered
    upstream: str = ""


@dataclass(frozen=True)
class Gathered:
    """A merged answer, the signatures of its parts and the number of missing shards."""

    body: bytes
    signatures: list[str]
    missing: int


@dataclass(frozen=True)
class Parts:
    """Merged parts, returned to another instance.

    Attributes
    ----------
    pending, failed : dict
        Shards with calls in flight, and shards whose calls failed since the last answer, each with
        the upstream that may have run the call, or "".
    refused : dict
        Shards whose calls an upstream refused since the last answer, each with that upstream.
    """

    body: bytes
    signatures: list[str]
    pending: dict[str, str]
    failed: dict[str, str]
    refused: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class NotRun:
    """No upstream has run the request, and none will.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller should retry.
    was_attempted : bool
        Whether upstreams were called, none of which ran the request. It is then counted in their
        services' repeat budgets and must not be started afresh by another instance.
    needs_new_connection : bool
        Whether the caller should retry on a new connection, which may reach another instance.
    is_overload : bool
        Whether the upstreams lack room, so that no other instance should try at once.
    """

    reason: str
    retry_after: float
    was_attempted: bool = False
    needs_new_connection: bool = False
    is_overload: bool = False


@dataclass(frozen=True)
class Failed:
    """No answer is available, and the request may have run.

    Attributes
    ----------
    missing : int
        Number of shards without a part; 0 for a plain request.
    """

    reason: str
    timed_out: bool = False
    missing: int = 0


@dataclass(frozen=True)
class Abandoned:
    """The caller disconnected."""

    reason: str = field(default="caller disconnected")


RequestOutcome = Forwarded | Gathered | Parts | NotRun | Failed | Abandoned
