"""Adds up the counts of all instances; does no I/O."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class InstanceCounts(NamedTuple):
    """Counts of one start of an instance; a later message replaces an earlier one.

    Attributes
    ----------
    incarnation : int
        Rises with each start of the instance.
    sequence : int
        Rises with each change of its counts.
    closed_through : int
        Last window in which it counts nothing more.
    windows : dict
        Requests by window and organisation.
    """

    incarnation: int
    sequence: int
    closed_through: int
    windows: dict[int, dict[str, int]]


class UsageCollector:
    """Latest counts of every instance, also of those that ended.

    Attributes
    ----------
    discarded_through : int
        Last window that was reported; later messages about it come too late.
    late_requests : int
        Requests that such messages told of.
    """

    def __init__(self) -> None:
        self.sources: dict[tuple[str, int], InstanceCounts] = {}
        self.discarded_through = -1
        self.late_requests = 0

    def merge(self, name: str, received: InstanceCounts) -> None:
        """Replace what an instance told before, unless that is newer."""
        held = self.sources.get((name, received.incarnation))
        if held is None:
            held = InstanceCounts(received.incarnation, -1, -1, {})
        if (received.sequence, received.closed_through) <= (held.sequence, held.closed_through):
            return
        windows = {**held.windows, **received.windows}
        late = [window for window in windows if window <= self.discarded_through]
        for window in late:
            self.late_requests += sum(windows.pop(window).values())
        self.sources[name, received.incarnation] = received._replace(windows=windows)

    def totals(self, window: int) -> dict[str, int]:
        """Requests of each organisation in a window, over all instances."""
        totals: Counter[str] = Counter()
        for counts in self.sources.values():
            totals.update(counts.windows.get(window, {}))
        return {organisation: count for organisation, count in totals.items() if count > 0}

    def first_window(self) -> float:
        """First window with a request; infinite if there is none."""
        windows = [min(counts.windows) for counts in self.sources.values() if counts.windows]
        return min(windows, default=math.inf)

    def is_closed(self, names: Iterable[str], window: int) -> bool:
        """Whether the latest start of each of these instances has closed a window."""
        closed: dict[str, tuple[int, int]] = {}
        for (name, incarnation), counts in self.sources.items():
            latest = (incarnation, counts.closed_through)
            closed[name] = max(closed.get(name, latest), latest)
        return all(name in closed and closed[name][1] >= window for name in names)

    def discard_through(self, window: int) -> None:
        """Drop the windows up to one, which was reported."""
        if window <= self.discarded_through:
            return
        self.discarded_through = window
        for key, counts in list(self.sources.items()):
            windows = {number: held for number, held in counts.windows.items() if number > window}
            self.sources[key] = counts._replace(windows=windows)
        self.forget_earlier_starts()

    def forget_earlier_starts(self) -> None:
        """Drop starts of an instance that ended and left nothing to report."""
        latest: dict[str, int] = {}
        for name, incarnation in self.sources:
            latest[name] = max(latest.get(name, incarnation), incarnation)
        self.sources = {
            (name, incarnation): counts
            for (name, incarnation), counts in self.sources.items()
            if counts.windows or incarnation == latest[name]
        }
