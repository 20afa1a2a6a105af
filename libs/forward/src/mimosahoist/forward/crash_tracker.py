"""Detects requests that crash every upstream that runs them, so that they can be rejected.

A broken connection alone is no proof of a crash, since an upstream may lose a response and keep
running. The upstream is therefore probed with a new connection, and the crash is attributed to the
request only if that is not accepted. When many upstreams crash at once, every request that they
were running is suspected; so a request is rejected only after crashes of several upstreams in at
least two attempts of callers, and any response clears it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import unix_time
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Callable

CRASH_PREFIX = "crash/"
UPSTREAMS_BEFORE_REJECTION = 3
ATTEMPTS_BEFORE_REJECTION = 2
MAX_NAMES_PER_RECORD = 8
MAX_RECORDS = 2000
RECORD_TTL_SECONDS = 60.0


class CrashRecord(NamedTuple):
    """Upstreams that crashed while running a request, and the callers' attempts that ran it.

    `expires_at` is a Unix time in seconds.
    """

    upstreams: list[str]
    attempts: list[str]
    expires_at: float

    def merged_with(self, other: CrashRecord) -> CrashRecord:
        """Merge two records of the same request, within the limits on names."""
        return CrashRecord(
            sorted({*self.upstreams, *other.upstreams})[:MAX_NAMES_PER_RECORD],
            sorted({*self.attempts, *other.attempts})[:MAX_NAMES_PER_RECORD],
            max(self.expires_at, other.expires_at),
        )

    @property
    def rejected(self) -> bool:
        """Whether the request must not be sent to any upstream."""
        return (
            len(self.upstreams) >= UPSTREAMS_BEFORE_REJECTION
            and len(self.attempts) >= ATTEMPTS_BEFORE_REJECTION
        )


class CrashFacts(FactKind):
    """Crash records by request fingerprint, in the form that instances exchange."""

    prefix = CRASH_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is a well-formed record."""
        if not isinstance(value, list | tuple) or len(value) != len(CrashRecord._fields):
            return False
        names = [*value[0], *value[1]] if all(isinstance(part, list) for part in value[:2]) else [0]
        return all(isinstance(name, str) for name in names) and isinstance(value[2], int | float)

    def join(self, held: Any, received: Any) -> Any:
        """Merge two records."""
        return list(CrashRecord(*held).merged_with(CrashRecord(*received)))

    def expired(self, value: Any, at: float) -> bool:
        """Whether a record has expired at a Unix time."""
        return at > value[2]


class CrashTracker:
    """Crash records of this and the other instances."""

    def __init__(self) -> None:
        self.records: dict[str, CrashRecord] = {}
        self.cleared: set[str] = set()
        self.listeners: list[Callable[[str, CrashRecord], None]] = []

    def record_crash(self, fingerprint: str, upstream: str, attempt: str) -> None:
        """Record that an upstream crashed while it ran a request."""
        record = CrashRecord([upstream], [attempt], unix_time() + RECORD_TTL_SECONDS)
        self.merge(fingerprint, record)
        for listener in self.listeners:
            listener(fingerprint, self.records[fingerprint])

    def merge(self, fingerprint: str, record: CrashRecord) -> None:
        """Merge a record into the one known for the request."""
        existing = self.records.get(fingerprint)
        merged = existing.merged_with(record) if existing is not None else record
        if merged.rejected and not (existing is not None and existing.rejected):
            json_log.info("request rejected from now on", fingerprint=fingerprint)
        self.records[fingerprint] = merged
        if len(self.records) > MAX_RECORDS:
            self.remove(next(iter(self.records)))

    def remove(self, fingerprint: str) -> None:
        """Remove the record of a request."""
        self.records.pop(fingerprint, None)
        self.cleared.discard(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Stop rejecting a request that an upstream has answered."""
        if fingerprint in self.records:
            self.cleared.add(fingerprint)

    def is_rejected(self, fingerprint: str) -> bool:
        """Whether a request must not be sent to any upstream."""
        record = self.records.get(fingerprint)
        if record is None or fingerprint in self.cleared:
            return False
        if unix_time() > record.expires_at:
            self.remove(fingerprint)
            return False
        return record.rejected
