"""Ejection of upstreams that fail, with backoff."""

from __future__ import annotations

from mimosahoist.upstream.transport import FailureKind

FAILURES_BEFORE_EJECTION = 3
FIRST_BACKOFF = 0.25
MAX_BACKOFF = 5.0


class Health:
    """Consecutive failures of an upstream and the time until which it is left alone."""

    def __init__(self) -> None:
        self.failures = 0
        self.backoff = FIRST_BACKOFF
        self.ejected_until = 0.0

    def available(self, now: float) -> bool:
        """Whether requests may be sent."""
        return now >= self.ejected_until

    def succeed(self) -> None:
        """Count an answer; it ends an ejection."""
        self.failures = 0
        self.backoff = FIRST_BACKOFF
        self.ejected_until = 0.0

    def fail(self, kind: FailureKind, now: float) -> bool:
        """Count a failure; true if it ejects the upstream."""
        self.failures += 1
        if kind is not FailureKind.CONNECT and self.failures < FAILURES_BEFORE_EJECTION:
            return False
        self.ejected_until = now + self.backoff
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        return True
