"""Requests that crash each upstream that runs them.

A broken call is no crash by itself: an upstream may lose an answer and live on. So the upstream is
asked for a new connection; only if it takes none, the request is blamed. One crash of many
upstreams at once blames whatever runs there, so a request is rejected only after several crashes
in at least two attempts of callers, and an answer clears it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.tasks import unix_time
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Callable

CRASH_PREFIX = "crash/"
CRASHES_BEFORE_REJECTION = 3
ATTEMPTS_BEFORE_REJECTION = 2
KEPT_NAMES = 8
KEPT_RECORDS = 2000
MEMORY_SECONDS = 60.0


class CrashRecord(NamedTuple):
    """Upstreams that crashed under a request, and the attempts that ran it there.

    `until` is the Unix time in seconds at which the record is forgotten.
    """

    upstreams: list[str]
    attempts: list[str]
    until: float

    def join(self, other: CrashRecord) -> CrashRecord:
        """Join two records."""
        return CrashRecord(
            sorted({*self.upstreams, *other.upstreams})[:KEPT_NAMES],
            sorted({*self.attempts, *other.attempts})[:KEPT_NAMES],
            max(self.until, other.until),
        )

    @property
    def rejects(self) -> bool:
        """Whether the request may reach no upstream any more."""
        return (
            len(self.upstreams) >= CRASHES_BEFORE_REJECTION
            and len(self.attempts) >= ATTEMPTS_BEFORE_REJECTION
        )


class CrashFacts(FactKind):
    """Crash records by request fingerprint, as instances share them."""

    prefix = CRASH_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        if not isinstance(value, list | tuple) or len(value) != len(CrashRecord._fields):
            return False
        names = [*value[0], *value[1]] if all(isinstance(part, list) for part in value[:2]) else [0]
        return all(isinstance(name, str) for name in names) and isinstance(value[2], int | float)

    def join(self, held: Any, received: Any) -> Any:
        """Join two records."""
        return list(CrashRecord(*held).join(CrashRecord(*received)))

    def expired(self, value: Any, at: float) -> bool:
        """Forget a record after its time."""
        return at > value[2]


class CrashTracker:
    """Records of this instance and of the others."""

    def __init__(self) -> None:
        self.records: dict[str, CrashRecord] = {}
        self.cleared: set[str] = set()
        self.listeners: list[Callable[[str, CrashRecord], None]] = []

    def record_crash(self, fingerprint: str, upstream: str, attempt: str) -> None:
        """Count an upstream that crashed while it ran a request."""
        record = CrashRecord([upstream], [attempt], unix_time() + MEMORY_SECONDS)
        self.take(fingerprint, record)
        for listener in self.listeners:
            listener(fingerprint, self.records[fingerprint])

    def take(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record with what is known."""
        held = self.records.get(fingerprint)
        joined = held.join(record) if held is not None else record
        if joined.rejects and not (held is not None and held.rejects):
            json_log.change("request rejected from now on", fingerprint=fingerprint)
        self.records[fingerprint] = joined
        if len(self.records) > KEPT_RECORDS:
            self.forget(next(iter(self.records)))

    def forget(self, fingerprint: str) -> None:
        """Drop a record."""
        self.records.pop(fingerprint, None)
        self.cleared.discard(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Clear a request that an upstream has answered."""
        if fingerprint in self.records:
            self.cleared.add(fingerprint)

    def is_rejected(self, fingerprint: str) -> bool:
        """Whether a request may reach no upstream."""
        record = self.records.get(fingerprint)
        if record is None or fingerprint in self.cleared:
            return False
        if unix_time() > record.until:
            self.forget(fingerprint)
            return False
        return record.rejects
