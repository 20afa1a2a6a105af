"""Detection and rejection of requests that crash upstreams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.core.tasks import unix_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics

EXCLUSIVE_CRASHES_BEFORE_REJECTION = 2
MAX_KEPT_REPORTS = 16
SUSPECT_TTL_SECONDS = 60.0
REJECTION_TTL_SECONDS = 600.0
KNOWN_GOOD_CAPACITY = 20_000
CRASH_RECORD_CAPACITY = 10_000


class CrashReport(NamedTuple):
    """A presumed crash: the connection broke while the upstream ran a request.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    at : float
        Unix time in seconds.
    exclusive : bool
        Whether this instance had no other call in flight at the upstream.
    """

    upstream: str
    at: float
    exclusive: bool


class CrashRecord(NamedTuple):
    """Crash reports for one request.

    Records are joined by set union and maximum, so all instances converge regardless of the order
    in which they receive them. Only crashes after the last answer count.

    Attributes
    ----------
    reports : frozenset of CrashReport
        Crashes of upstreams that ran the request.
    cleared_at : float
        Unix time in seconds of the last answer to the request; 0 if there was none.
    expires_at : float
        Unix time in seconds after which the record is ignored.
    """

    reports: frozenset[CrashReport]
    cleared_at: float
    expires_at: float

    def active_reports(self) -> list[CrashReport]:
        """Crash reports since the last answer."""
        return [item for item in self.reports if item.at > self.cleared_at]

    def is_rejected(self) -> bool:
        """Whether the request crashed enough different upstreams while running exclusively."""
        crashed_upstreams = {item.upstream for item in self.active_reports() if item.exclusive}
        return len(crashed_upstreams) >= EXCLUSIVE_CRASHES_BEFORE_REJECTION

    def join(self, other: CrashRecord) -> CrashRecord:
        """Join two records, keeping only the latest crash reports."""
        latest = sorted(self.reports | other.reports, key=lambda item: item.at)[-MAX_KEPT_REPORTS:]
        return CrashRecord(
            frozenset(latest),
            max(self.cleared_at, other.cleared_at),
            max(self.expires_at, other.expires_at),
        )


class CrashGuard:
    """Tracks by fingerprint which requests are known good, suspect or rejected.

    When an upstream crashes, every request in flight there becomes suspect, because any of them
    may be the cause. A suspect request runs exclusively on an upstream. It is rejected once enough
    upstreams have crashed in exclusive runs, and cleared by an answer.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.known_good: OrderedDict[str, None] = OrderedDict()
        self.records: OrderedDict[str, CrashRecord] = OrderedDict()
        self.listeners: list[Callable[[str, CrashRecord], None]] = []

    def raise_if_rejected(self, fingerprint: str, run: RunState = RunState.NOT_RUN) -> None:
        """Raise a Problem if the request is rejected; `run` is its execution state so far."""
        if not self.is_rejected(fingerprint):
            return
        self.metrics.count("refused_crashing")
        raise Problem(
            ProblemKind.REJECTED_REQUEST,
            "upstreams crashed each time they ran this request",
            "do not retry; report it to the owner of the service",
            run,
        )

    def is_rejected(self, fingerprint: str) -> bool:
        """Whether the request must not be sent to any upstream."""
        record = self.unexpired_record(fingerprint)
        return record is not None and record.is_rejected()

    def unexpired_record(self, fingerprint: str) -> CrashRecord | None:
        """Record of a request, or None if there is none or it has expired."""
        record = self.records.get(fingerprint)
        if record is not None and record.expires_at < unix_time():
            del self.records[fingerprint]
            return None
        return record

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an upstream crashed while running the request and none has answered it since."""
        record = self.unexpired_record(fingerprint)
        return record is not None and bool(record.active_reports())

    def is_known_good(self, fingerprint: str) -> bool:
        """Whether an upstream has answered the request."""
        return fingerprint in self.known_good

    def record_answer(self, fingerprint: str) -> None:
        """Mark the request as known good and clear any suspicion."""
        self.known_good[fingerprint] = None
        self.known_good.move_to_end(fingerprint)
        if len(self.known_good) > KNOWN_GOOD_CAPACITY:
            self.known_good.popitem(last=False)
        if self.is_suspect(fingerprint):
            at = unix_time()
            self.publish(fingerprint, CrashRecord(frozenset(), at, at + SUSPECT_TTL_SECONDS))

    def record_crash(self, fingerprint: str, upstream: str, exclusive: bool) -> None:
        """Record that an upstream crashed while running the request."""
        at = unix_time()
        self.known_good.pop(fingerprint, None)
        self.metrics.count("crash_suspicions")
        reports = frozenset((CrashReport(upstream, at, exclusive),))
        self.publish(fingerprint, CrashRecord(reports, 0.0, at + SUSPECT_TTL_SECONDS))

    def publish(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record created by this instance and notify the listeners."""
        self.join(fingerprint, record)
        for listener in self.listeners:
            listener(fingerprint, self.records[fingerprint])

    def join(self, fingerprint: str, record: CrashRecord) -> None:
        """Join a record with the local one, and extend its lifetime when it becomes rejected."""
        held = self.unexpired_record(fingerprint)
        joined = held.join(record) if held is not None else record
        if joined.is_rejected() and (held is None or not held.is_rejected()):
            json_log.info("request rejected", fingerprint=fingerprint)
            joined = joined._replace(
                expires_at=max(joined.expires_at, unix_time() + REJECTION_TTL_SECONDS)
            )
        self.records[fingerprint] = joined
        if len(self.records) > CRASH_RECORD_CAPACITY:
            self.records.popitem(last=False)
