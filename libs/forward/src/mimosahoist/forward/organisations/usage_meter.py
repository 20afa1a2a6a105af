"""Counts the requests of each organisation that began to run, by window; does no I/O."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from mimosahoist.forward.organisations.steady_clock import SteadyClock

# Windows that nobody has reported are dropped after so many.
MAX_WINDOWS = 60


class CountedRequest(NamedTuple):
    """Where a request was counted."""

    window: int
    organisation: str


class UsageMeter:
    """Requests that this instance took from callers, by window and organisation.

    Attributes
    ----------
    sequence : int
        Rises with each change of a count.
    """

    def __init__(self, window_seconds: float, clock: SteadyClock) -> None:
        self.window_seconds = window_seconds
        self.clock = clock
        self.windows: dict[int, Counter[str]] = {}
        self.sequence = 0

    def current_window(self) -> int:
        """Number of the window that the clock is in."""
        return int(self.clock.unix_time() // self.window_seconds)

    def add(self, organisation: str) -> CountedRequest:
        """Count a request in the current window."""
        counted = CountedRequest(self.current_window(), organisation)
        self.windows.setdefault(counted.window, Counter())[organisation] += 1
        self.sequence += 1
        while len(self.windows) > MAX_WINDOWS:
            del self.windows[min(self.windows)]
        return counted

    def remove(self, counted: CountedRequest) -> None:
        """Take a request out that did not run."""
        counts = self.windows.get(counted.window)
        if counts is not None:
            counts[counted.organisation] -= 1
            self.sequence += 1

    def discard_through(self, window: int) -> None:
        """Drop the windows that were reported."""
        for reported in [known for known in self.windows if known <= window]:
            del self.windows[reported]


class RequestUsage:
    """Count of a single request, taken when its first call begins."""

    def __init__(self, meter: UsageMeter, organisation: str) -> None:
        self.meter = meter
        self.organisation = organisation
        self.counted: CountedRequest | None = None

    def begin(self) -> None:
        """Count the request, unless it is counted already."""
        if self.counted is None:
            self.counted = self.meter.add(self.organisation)

    def withdraw(self) -> None:
        """Take the request out again: none of its calls ran so far."""
        if self.counted is not None:
            self.meter.remove(self.counted)
            self.counted = None
