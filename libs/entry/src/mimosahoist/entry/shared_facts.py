"""Kinds of facts about upstreams and requests that entry instances exchange."""

from __future__ import annotations

from typing import Any

import msgspec

from mimosahoist.entry.directory import RAMP_PREFIX
from mimosahoist.peers.facts import FactKind
from mimosahoist.query.crash_guard import CrashRecord

CRASH_PREFIX = "crash/"


class RampFacts(FactKind):
    """Warm-up ramp states of upstreams, merged by taking the greater one."""

    prefix = RAMP_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a received record is well-formed."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(item, int) and item >= 0 for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Return the later state, which is the greater one."""
        return max(list(held), list(received))


class CrashFacts(FactKind):
    """Crash records of requests: crash reports, time of the last answer, time of expiry."""

    prefix = CRASH_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a received record is well-formed."""
        try:
            msgspec.convert(value, CrashRecord)
        except msgspec.ValidationError:
            return False
        return True

    def join(self, held: Any, received: Any) -> Any:
        """Merge two records."""
        return crash_value(crash_record(held).join(crash_record(received)))

    def expired(self, value: Any, at: float) -> bool:
        """Return whether a record is past its time of expiry."""
        return at > value[2]


def crash_value(record: CrashRecord) -> list[Any]:
    """Encode a crash record for the exchange."""
    reports = sorted(list(item) for item in record.reports)
    return [reports, record.cleared_at, record.expires_at]


def crash_record(value: Any) -> CrashRecord:
    """Decode a crash record received from the exchange."""
    return msgspec.convert(value, CrashRecord)
