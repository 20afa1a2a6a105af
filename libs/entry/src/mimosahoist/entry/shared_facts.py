"""Kinds of facts that entry instances share about upstreams and requests."""

from __future__ import annotations

from typing import Any

import msgspec

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
    """Crash records of requests: breaks, time of the last answer, time of expiry."""

    prefix = CRASH_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        try:
            msgspec.convert(value, CrashRecord)
        except msgspec.ValidationError:
            return False
        return True

    def join(self, held: Any, received: Any) -> Any:
        """Join two records."""
        return crash_value(crash_record(held).join(crash_record(received)))

    def expired(self, value: Any, at: float) -> bool:
        """Drop records past their time."""
        return at > value[2]


def crash_value(record: CrashRecord) -> list[Any]:
    """Shared form of a crash record."""
    breaks = sorted(list(item) for item in record.reports)
    return [breaks, record.cleared_at, record.expires_at]


def crash_record(value: Any) -> CrashRecord:
    """Crash record from its shared form."""
    return msgspec.convert(value, CrashRecord)
