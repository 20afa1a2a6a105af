"""Ejection of failing upstreams, with exponential backoff."""

from __future__ import annotations

from mimosahoist.upstream.transport import FailureKind

FAILURES_BEFORE_EJECTION = 3
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0


class Health:
    """Consecutive failures of an upstream and the time until which it is ejected."""

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_SECONDS
        self.ejected_until = 0.0

    def available(self, now: float) -> bool:
        """Return whether requests may be sent."""
        return now >= self.ejected_until

    def record_success(self) -> None:
        """Record a reply, which ends an ejection."""
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_SECONDS
        self.ejected_until = 0.0

    def record_failure(self, kind: FailureKind, now: float) -> bool:
        """Record a failure; return whether it ejects the upstream."""
        self.consecutive_failures += 1
        if kind is not FailureKind.CONNECT and self.consecutive_failures < FAILURES_BEFORE_EJECTION:
            return False
        self.ejected_until = now + self.backoff
        self.backoff = min(MAX_BACKOFF_SECONDS, self.backoff * 2)
        return True
