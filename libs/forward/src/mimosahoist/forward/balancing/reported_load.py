"""Load that an upstream reports in its responses."""

from __future__ import annotations

from mimosahoist.core import json_log
from mimosahoist.core.decimal_text import parse_decimal, parse_integer

MAX_REPORTED_REQUESTS = 1_000_000
LOAD_REPORT_TTL_SECONDS = 0.5
# Upstreams share their machines, so that what slows them down changes many times a second.
SLOWDOWN_HALF_LIFE_SECONDS = 0.15
USUAL_PERCENT = 100.0
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 20.0
MAX_LOGGED_VALUE_CHARACTERS = 120


class ReportedLoad:
    """Most recent load that an upstream reported.

    Attributes
    ----------
    at : float
        Loop time of the report in seconds.
    slowdown : float or None
        How long work takes on the upstream's machine, as a multiple of the usual; None if it does
        not say.
    """

    def __init__(
        self, running: int, waiting: int, slots: int, at: float, slowdown: float | None = None
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.at = at
        self.slowdown = slowdown

    @classmethod
    def parse(cls, value: str, at: float) -> ReportedLoad | None:
        """Parse ``running,waiting,slots`` and, if given, the time that work takes in percent.

        Further figures are ignored, and so is a time that is no positive number. Returns None if
        one of the first three is malformed.
        """
        fields = value.split(",")
        numbers = [parse_integer(field, MAX_REPORTED_REQUESTS) for field in fields[:3]]
        if len(numbers) < 3 or None in numbers:
            return None
        running, waiting, slots = numbers
        percent = parse_decimal(fields[3]) if len(fields) > 3 else None
        slowdown = None
        if percent is not None and percent > 0:
            slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, percent / USUAL_PERCENT))
        return cls(running, waiting, max(1, slots), at, slowdown)

    def is_recent(self, at: float) -> bool:
        """Whether the report still says something of the upstream's queue."""
        return at - self.at < LOAD_REPORT_TTL_SECONDS

    @property
    def is_queueing(self) -> bool:
        """Whether about half a round of its slots was waiting."""
        return 2 * self.waiting >= self.slots

    def slowdown_at(self, at: float) -> float:
        """Expected slowdown at a loop time: the reported one, which returns to 1 with its age."""
        if self.slowdown is None:
            return 1.0
        age = max(0.0, at - self.at)
        return 1.0 + (self.slowdown - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE_SECONDS)


class LoadReports:
    """Loads that one upstream reports.

    Attributes
    ----------
    latest : ReportedLoad or None
        None until one could be read.
    unreadable : int
        Number of reports that could not be read; the first one is logged.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.latest: ReportedLoad | None = None
        self.unreadable = 0

    def record(self, value: str, at: float) -> None:
        """Keep a reported load, if it can be read."""
        load = ReportedLoad.parse(value, at)
        if load is not None:
            self.latest = load
            return
        self.unreadable += 1
        if self.unreadable == 1:
            json_log.info(
                "load report unreadable",
                upstream=self.upstream,
                value=value[:MAX_LOGGED_VALUE_CHARACTERS],
            )

    def slowdown(self, at: float) -> float:
        """How long work is expected to take on its machine, as a multiple of the usual."""
        return 1.0 if self.latest is None else self.latest.slowdown_at(at)

    @property
    def tell_slowdown(self) -> bool:
        """Whether the upstream says how long work takes on its machine."""
        return self.latest is not None and self.latest.slowdown is not None
