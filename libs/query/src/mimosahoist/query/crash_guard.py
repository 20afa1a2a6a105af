"""Requests that crash the upstreams running them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import unix_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics

CRASHES_BEFORE_REJECTION = 2
SUSPICION_SECONDS = 60.0
REJECTION_SECONDS = 600.0
KNOWN_GOOD_CAPACITY = 20_000
SUSPECT_CAPACITY = 10_000


class CrashRecord(NamedTuple):
    """Upstreams that broke while a request ran on them; `until` is Unix time in seconds."""

    upstreams: frozenset[str]
    until: float


class CrashGuard:
    """Knows which requests are harmless, suspect or rejected, by their fingerprints.

    Records of all instances are joined by union, so they converge whatever the order.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known_good: OrderedDict[str, None] = OrderedDict()
        self.records: OrderedDict[str, CrashRecord] = OrderedDict()
        self.listeners: list[Callable[[str, CrashRecord], None]] = []

    def check(self, fingerprint: str) -> None:
        """Raise a Problem if the request is rejected."""
        record = self.current(fingerprint)
        if record is None or len(record.upstreams) < CRASHES_BEFORE_REJECTION:
            return
        self.metrics.count("refused_crashing")
        raise Problem(
            ProblemKind.REJECTED_REQUEST,
            "upstreams broke each time they ran this request",
            "do not send it again; report it to the service's owner",
        )

    def current(self, fingerprint: str) -> CrashRecord | None:
        """Record of a request that has not expired."""
        record = self.records.get(fingerprint)
        if record is not None and record.until < unix_time():
            del self.records[fingerprint]
            return None
        return record

    def suspect(self, fingerprint: str) -> bool:
        """Whether an upstream broke while it ran the request, and none answered since."""
        return self.current(fingerprint) is not None

    def proven(self, fingerprint: str) -> bool:
        """Whether an upstream has answered the request."""
        return fingerprint in self.known_good

    def answered(self, fingerprint: str) -> None:
        """Count an answer: the request does not crash upstreams."""
        self.known_good[fingerprint] = None
        self.known_good.move_to_end(fingerprint)
        if len(self.known_good) > KNOWN_GOOD_CAPACITY:
            self.known_good.popitem(last=False)
        record = self.records.get(fingerprint)
        if record is not None and len(record.upstreams) < CRASHES_BEFORE_REJECTION:
            del self.records[fingerprint]

    def blame(self, fingerprint: str, upstream: str) -> None:
        """Count an upstream that broke while it ran the request."""
        self.known_good.pop(fingerprint, None)
        record = CrashRecord(frozenset((upstream,)), unix_time() + SUSPICION_SECONDS)
        self.metrics.count("crash_suspicions")
        self.join(fingerprint, record)
        for listener in self.listeners:
            listener(fingerprint, self.records[fingerprint])

    def join(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record with what is known."""
        held = self.current(fingerprint)
        upstreams = record.upstreams | held.upstreams if held else record.upstreams
        until = max(record.until, held.until) if held else record.until
        rejected = len(upstreams) >= CRASHES_BEFORE_REJECTION
        if rejected and (held is None or len(held.upstreams) < CRASHES_BEFORE_REJECTION):
            until = max(until, unix_time() + REJECTION_SECONDS)
            json_log.change("request rejected", fingerprint=fingerprint)
        self.records[fingerprint] = CrashRecord(upstreams, until)
        if len(self.records) > SUSPECT_CAPACITY:
            self.records.popitem(last=False)
