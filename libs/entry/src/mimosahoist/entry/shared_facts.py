"""Kinds of facts that entry instances share about upstreams and requests."""

from __future__ import annotations

from typing import Any

from mimosahoist.entry.directory import RAMP_PREFIX
from mimosahoist.peers.facts import FactKind
from mimosahoist.query.crash_guard import CrashRecord

CRASH_PREFIX = "crash/"


class RampFacts(FactKind):
    """Ramp states of upstreams; the greater wins."""

    prefix = RAMP_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(item, int) and item >= 0 for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later state."""
        return max(list(held), list(received))


class CrashFacts(FactKind):
    """Crash records of requests: upstreams and Unix time of expiry, joined by union."""

    prefix = CRASH_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        if not isinstance(value, list | tuple) or len(value) != 2:
            return False
        upstreams, until = value
        texts = isinstance(upstreams, list | tuple) and all(
            isinstance(item, str) for item in upstreams
        )
        return texts and isinstance(until, int | float)

    def join(self, held: Any, received: Any) -> Any:
        """Join two records."""
        return [sorted({*held[0], *received[0]}), max(held[1], received[1])]

    def expired(self, value: Any, at: float) -> bool:
        """Drop records past their time."""
        return at > value[1]


def crash_value(record: CrashRecord) -> list[Any]:
    """Shared form of a crash record."""
    return [sorted(record.upstreams), record.until]


def crash_record(value: Any) -> CrashRecord:
    """Crash record from its shared form."""
    return CrashRecord(frozenset(value[0]), value[1])
