"""Decides who reports the usage and what is reported; does no I/O.

Answers holders that are paused, cut off or killed between any two steps, and stores and receivers
whose answers are lost. A window's counts are stored before they are sent, under the condition that
nothing else was stored meanwhile; and only the instance that stored sends, for part of a lease. The
next holder waits until the store has rested for a whole one. So the counts of a window never change
once they may have been sent, and no two holders alternate within a lease.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.forward.organisations.usage_meter import MAX_WINDOWS
from mimosahoist.platform.watched import epoch_of

if TYPE_CHECKING:
    from mimosahoist.forward.organisations.usage_collector import UsageCollector

# Part of the lease after a write in which the writer may send, so that no report is late.
SENDING_SHARE = 0.5
# Part of the time until a window is due for which instances that have not closed it are waited for.
COLLECTING_SHARE = 0.6
# Another instance takes over this long after the holder should have stored a window.
STALL_SECONDS = 1.0
# Lower ranks wait longer, so that one instance at a time tries to take over.
STALL_SECONDS_PER_RANK = 0.5
# Tokens of a later epoch of the store exceed all of an earlier one.
TOKEN_EPOCH_BITS = 32
MAX_REPORTS = 24


class UsageSettings(NamedTuple):
    """Settings of the reports.

    Attributes
    ----------
    window_seconds : float
        Length of the windows; window k begins k lengths after the start of 1970.
    due_seconds : float
        Time after a window's end at which its report is due.
    lease_seconds : float
        Time in which no two holders may act in turn.
    """

    window_seconds: float
    due_seconds: float
    lease_seconds: float


class UsageReport(NamedTuple):
    """Requests of each organisation in a window."""

    window: int
    counts: dict[str, int]


class DutyRecord(NamedTuple):
    """State of the duty, as stored.

    Attributes
    ----------
    token : int
        Rises with each change of holder.
    through : int
        Last window whose counts are fixed.
    reports : list of UsageReport
        Windows whose counts are fixed and which may not have been received yet.
    writes : int
        Number of writes of this holder.
    """

    holder: str
    token: int
    through: int
    reports: list[UsageReport]
    writes: int = 0


class StoredDuty(NamedTuple):
    """A stored record and its position; the record is None if none was ever stored."""

    record: DutyRecord | None
    position: int


class DutyNews(NamedTuple):
    """What instances tell each other of the duty."""

    token: int = 0
    through: int = -1
    holder: str = ""


class UsageDuty:
    """The duty as one instance sees it; times are in seconds on the clock of leases.

    Attributes
    ----------
    stored : StoredDuty or None
        Latest known content of the store; None until it was read.
    observed_at : float
        When that content was first seen.
    written_at : float
        When the write began by which this instance stored it.
    sent : set of int
        Windows whose reports were received.
    """

    def __init__(self, name: str, settings: UsageSettings) -> None:
        self.name = name
        self.settings = settings
        self.stored: StoredDuty | None = None
        self.observed_at = -math.inf
        self.written_at = -math.inf
        self.sent: set[int] = set()

    def observe(self, stored: StoredDuty, at: float) -> None:
        """Take in what the store holds."""
        if self.stored is None or stored.position != self.stored.position:
            self.stored = stored
            self.observed_at = at
            self.written_at = -math.inf

    def record_write(self, stored: StoredDuty, written: DutyRecord, began_at: float) -> bool:
        """Take in the result of a write; return whether it is the content now."""
        self.observe(stored, began_at)
        if stored.record != written:
            return False
        self.written_at = began_at
        return True

    @property
    def is_holder(self) -> bool:
        """Whether this instance holds the duty, as far as it knows, in the store's epoch."""
        if self.stored is None or self.stored.record is None:
            return False
        record = self.stored.record
        is_current = record.token >> TOKEN_EPOCH_BITS == epoch_of(self.stored.position)
        return record.holder == self.name and is_current

    def may_take_over(self, at: float, rank: int) -> bool:
        """Whether the store has rested long enough for a holder of this rank."""
        if self.stored is None:
            return False
        rest = self.settings.lease_seconds + STALL_SECONDS_PER_RANK * rank
        return self.stored.record is None or at - self.observed_at >= rest

    def sending_until(self) -> float:
        """Time until which this instance may send what it has stored."""
        return self.written_at + SENDING_SHARE * self.settings.lease_seconds

    def unsent_reports(self) -> list[UsageReport]:
        """Reports with fixed counts that no receiver has confirmed to this instance."""
        if self.stored is None or self.stored.record is None:
            return []
        return [report for report in self.stored.record.reports if report.window not in self.sent]

    def next_record(self, through: int, new: list[UsageReport]) -> DutyRecord:
        """Record to store next, as the holder or to take over.

        Parameters
        ----------
        through : int
            Last window whose counts are fixed, as far as any instance has told.
        new : list of UsageReport
            Windows whose counts are to be fixed.
        """
        record = self.stored.record if self.stored is not None else None
        if record is None:
            record = DutyRecord("", 0, through, [])
        known = max(through, record.through)
        reports = self.unsent_reports() + [report for report in new if report.window > known]
        return DutyRecord(
            self.name,
            record.token if self.is_holder else self.next_token(record.token),
            max([known, *(report.window for report in reports)]),
            reports[-MAX_REPORTS:],
            record.writes + 1,
        )

    def next_token(self, token: int) -> int:
        """Token of the next holder, greater than any of before."""
        epoch = epoch_of(self.stored.position) if self.stored is not None else 0
        return max(token + 1, (epoch << TOKEN_EPOCH_BITS) + 1)

    def window_end(self, window: int) -> float:
        """Unix time at which a window ends."""
        return (window + 1) * self.settings.window_seconds

    def complete_windows(
        self, through: int, collector: UsageCollector, names: list[str], unix_time: float
    ) -> list[UsageReport]:
        """Windows after `through` that have ended and are closed, or cannot be waited for longer.

        Parameters
        ----------
        names : list of str
            Live instances.
        """
        reports = []
        current = int(unix_time // self.settings.window_seconds)
        # Instances keep no counts of windows before these.
        window = max(through + 1, current - MAX_WINDOWS)
        while self.window_end(window) <= unix_time and len(reports) < MAX_REPORTS:
            waited = unix_time - self.window_end(window)
            if waited < COLLECTING_SHARE * self.settings.due_seconds and not collector.is_closed(
                names, window
            ):
                break
            reports.append(UsageReport(window, collector.totals(window)))
            window += 1
        return reports

    def is_stalled(self, news: DutyNews, live: bool, rank: int, unix_time: float) -> bool:
        """Whether the holder seems to have stopped, so that this instance tries to take over.

        Parameters
        ----------
        live : bool
            Whether the holder answers probes.
        rank : int
            Rank of this instance among those that may take over.
        """
        patience = STALL_SECONDS_PER_RANK * rank
        if not live:
            return unix_time - self.window_end(news.through) > patience
        overdue = self.window_end(news.through + 1) + COLLECTING_SHARE * self.settings.due_seconds
        return unix_time - overdue > STALL_SECONDS + patience
