"""Errors of known kinds, each with a message and a remedy."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ProblemKind(enum.StrEnum):
    """Kinds of errors, with the values used on the wire."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    KEY_REUSED = "idempotency-key-reused"
    REJECTED_REQUEST = "request-crashes-upstreams"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    DEADLINE = "deadline-exceeded"
    UNKNOWN = "outcome-unknown"
    IN_PROGRESS = "in-progress"
    SETTINGS = "bad-settings"
    DECLARATION = "bad-declaration"
    CONFLICT = "conflict"
    STORE = "store-unavailable"


class RunState(enum.StrEnum):
    """Whether a request that ended in an error may have been executed."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


HTTP_STATUS = {
    ProblemKind.BAD_REQUEST: 400,
    ProblemKind.UNAUTHENTICATED: 401,
    ProblemKind.FORBIDDEN: 403,
    ProblemKind.NOT_FOUND: 404,
    ProblemKind.TOO_LARGE: 413,
    ProblemKind.KEY_REUSED: 422,
    ProblemKind.REJECTED_REQUEST: 422,
    ProblemKind.OVERLOADED: 503,
    ProblemKind.UNAVAILABLE: 503,
    ProblemKind.DEADLINE: 504,
    ProblemKind.UNKNOWN: 504,
    ProblemKind.IN_PROGRESS: 409,
    ProblemKind.CONFLICT: 409,
    ProblemKind.STORE: 503,
}


@dataclass
class Problem(Exception):
    """An error of a known kind.

    Attributes
    ----------
    kind : ProblemKind
        Kind of the error, which also determines the HTTP status.
    message : str
        Description of the error.
    remedy : str
        What the caller or operator can do about it.
    run : RunState
        Whether the request may have been executed.
    """

    kind: ProblemKind
    message: str
    remedy: str
    run: RunState = RunState.NOT_RUN

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"

    @property
    def status(self) -> int:
        """HTTP status code of the error's kind."""
        return HTTP_STATUS.get(self.kind, 500)

    def to_wire(self) -> dict[str, dict[str, str]]:
        """Return the JSON form of the error that callers receive."""
        return {
            "error": {
                "kind": str(self.kind),
                "message": self.message,
                "remedy": self.remedy,
                "run": str(self.run),
            }
        }
