"""Requests that crash the upstreams running them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import unix_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics

LONE_BREAKS_BEFORE_REJECTION = 2
KEPT_BREAKS = 16
SUSPICION_SECONDS = 60.0
REJECTION_SECONDS = 600.0
KNOWN_GOOD_CAPACITY = 20_000
SUSPECT_CAPACITY = 10_000


class Break(NamedTuple):
    """An upstream that broke while it ran a request.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    at : float
        Unix time in seconds.
    alone : bool
        Whether this instance had sent it nothing else at the time.
    """

    upstream: str
    at: float
    alone: bool


class CrashRecord(NamedTuple):
    """Breaks while a request ran, and when it was last answered; Unix times in seconds.

    Records are joined by union and maximum, so they converge whatever the order. Only breaks
    after the last answer count.
    """

    breaks: frozenset[Break]
    cleared: float
    until: float

    def counted(self) -> list[Break]:
        """Breaks after the last answer."""
        return [item for item in self.breaks if item.at > self.cleared]

    def rejected(self) -> bool:
        """Whether the request broke enough upstreams on which it ran alone."""
        alone = {item.upstream for item in self.counted() if item.alone}
        return len(alone) >= LONE_BREAKS_BEFORE_REJECTION

    def join(self, other: CrashRecord) -> CrashRecord:
        """Join two records; of many breaks the latest are kept."""
        latest = sorted(self.breaks | other.breaks, key=lambda item: item.at)[-KEPT_BREAKS:]
        return CrashRecord(
            frozenset(latest), max(self.cleared, other.cleared), max(self.until, other.until)
        )


class CrashGuard:
    """Knows which requests are harmless, suspect or rejected, by their fingerprints.

    A request that was in flight when an upstream broke is only suspect, as others were in flight
    there too. It then runs alone, and is rejected once upstreams break under it alone; an answer
    clears it.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known_good: OrderedDict[str, None] = OrderedDict()
        self.records: OrderedDict[str, CrashRecord] = OrderedDict()
        self.listeners: list[Callable[[str, CrashRecord], None]] = []

    def check(self, fingerprint: str, run: RunState = RunState.NOT_RUN) -> None:
        """Raise a Problem if the request is rejected; `run` tells what has become of it."""
        if not self.is_rejected(fingerprint):
            return
        self.metrics.count("refused_crashing")
        raise Problem(
            ProblemKind.REJECTED_REQUEST,
            "upstreams broke each time they ran this request",
            "do not send it again; report it to the service's owner",
            run,
        )

    def is_rejected(self, fingerprint: str) -> bool:
        """Whether the request may not be sent to any upstream."""
        record = self.current(fingerprint)
        return record is not None and record.rejected()

    def current(self, fingerprint: str) -> CrashRecord | None:
        """Record of a request that has not expired."""
        record = self.records.get(fingerprint)
        if record is not None and record.until < unix_time():
            del self.records[fingerprint]
            return None
        return record

    def suspect(self, fingerprint: str) -> bool:
        """Whether an upstream broke while it ran the request, and none answered since."""
        record = self.current(fingerprint)
        return record is not None and bool(record.counted())

    def proven(self, fingerprint: str) -> bool:
        """Whether an upstream has answered the request."""
        return fingerprint in self.known_good

    def answered(self, fingerprint: str) -> None:
        """Count an answer: the request does not crash upstreams."""
        self.known_good[fingerprint] = None
        self.known_good.move_to_end(fingerprint)
        if len(self.known_good) > KNOWN_GOOD_CAPACITY:
            self.known_good.popitem(last=False)
        if self.suspect(fingerprint):
            at = unix_time()
            self.publish(fingerprint, CrashRecord(frozenset(), at, at + SUSPICION_SECONDS))

    def blame(self, fingerprint: str, upstream: str, alone: bool) -> None:
        """Count an upstream that broke while it ran the request."""
        at = unix_time()
        self.known_good.pop(fingerprint, None)
        self.metrics.count("crash_suspicions")
        broken = frozenset((Break(upstream, at, alone),))
        self.publish(fingerprint, CrashRecord(broken, 0.0, at + SUSPICION_SECONDS))

    def publish(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record of this instance's own and tell the others."""
        self.join(fingerprint, record)
        for listener in self.listeners:
            listener(fingerprint, self.records[fingerprint])

    def join(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record with what is known."""
        held = self.current(fingerprint)
        joined = held.join(record) if held is not None else record
        if joined.rejected() and (held is None or not held.rejected()):
            json_log.info("request rejected", fingerprint=fingerprint)
            joined = joined._replace(until=max(joined.until, unix_time() + REJECTION_SECONDS))
        self.records[fingerprint] = joined
        if len(self.records) > SUSPECT_CAPACITY:
            self.records.popitem(last=False)
