"""Evidence about versions, counted by each instance and shared as facts."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.core.tasks import unix_time
from mimosahoist.moves.sequential_test import Counts, judge
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.query.service import CallObservation

EVIDENCE_PREFIX = "evidence/"
VERDICT_PREFIX = "verdict/"
MAX_ROUTES = 16
OTHER_ROUTES = "other"
BUCKET_SECONDS = 0.5
SHORT_BUCKETS = 4
LONG_BUCKETS = 20
BASELINE_PERCENT = 95.0
SLOW_MARGIN = 1.5
COUNTS_IN_RECORD = 12


class Window(NamedTuple):
    """Counts of both versions over a stretch of time."""

    old: Counts = Counts()
    new: Counts = Counts()

    def plus(self, other: Window) -> Window:
        """Sum of two windows."""
        return Window(add(self.old, other.old), add(self.new, other.new))


class RouteEvidence(NamedTuple):
    """A short window, which shows new faults early, and a long one, which shows small ones."""

    short: Window = Window()
    long: Window = Window()

    def plus(self, other: RouteEvidence) -> RouteEvidence:
        """Sum over instances."""
        return RouteEvidence(self.short.plus(other.short), self.long.plus(other.long))

    def flatten(self) -> list[int]:
        """Counts in a row."""
        return [count for window in self for counts in window for count in counts]


def unflatten(counts: list[int]) -> RouteEvidence:
    """Evidence from a row of counts."""
    old, new, long_old, long_new = (Counts(*counts[index : index + 3]) for index in (0, 3, 6, 9))
    return RouteEvidence(Window(old, new), Window(long_old, long_new))


def add(left: Counts, right: Counts) -> Counts:
    """Sum of counts."""
    return Counts(left.total + right.total, left.failed + right.failed, left.slow + right.slow)


class RouteCounter:
    """Counts of one route in buckets of time."""

    def __init__(self) -> None:
        self.buckets: deque[Window] = deque([Window()], maxlen=LONG_BUCKETS)
        self.baseline = SlidingQuantile(BASELINE_PERCENT, float("inf"))

    def record(self, is_new: bool, failed: bool, elapsed: float | None, ended: bool = True) -> None:
        """Count one exchange.

        Parameters
        ----------
        ended : bool
            False if the exchange was given up after `elapsed`; it counts only if it was slow.
        """
        timed = not failed and elapsed is not None
        slow = timed and elapsed > self.baseline.value * SLOW_MARGIN
        if not ended and not slow:
            return
        counts = Counts(1, int(failed), int(slow))
        current = self.buckets[-1]
        if is_new:
            self.buckets[-1] = current._replace(new=add(current.new, counts))
            return
        self.buckets[-1] = current._replace(old=add(current.old, counts))
        if timed and ended:
            self.baseline.record(elapsed)

    def turn(self) -> None:
        """Begin a new bucket."""
        self.buckets.append(Window())

    def evidence(self) -> RouteEvidence:
        """Sums over the short and the long window."""
        buckets = list(self.buckets)
        return RouteEvidence(sum_windows(buckets[-SHORT_BUCKETS:]), sum_windows(buckets))


def sum_windows(windows: list[Window]) -> Window:
    """Sum of windows."""
    total = Window()
    for window in windows:
        total = total.plus(window)
    return total


class MoveEvidence:
    """Counts of one move at this instance, by route."""

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.routes: dict[str, RouteCounter] = defaultdict(RouteCounter)

    def record(self, evidence: CallObservation) -> None:
        """Count an exchange with either version."""
        if evidence.version in (self.source, self.target):
            is_new = evidence.version == self.target
            self.counter(evidence.route).record(is_new, evidence.failed, evidence.elapsed)

    def counter(self, route: str) -> RouteCounter:
        """Counter of a route; routes beyond the first few share one."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self.routes[route]

    def turn(self) -> None:
        """Begin new buckets."""
        for counter in self.routes.values():
            counter.turn()

    def records(self) -> dict[str, list[float]]:
        """Shared form of the counts, by route."""
        at = unix_time()
        return {
            route: [at, *counter.evidence().flatten()] for route, counter in self.routes.items()
        }


class EvidenceFacts(FactKind):
    """Recent counts of an instance on a route: Unix time, then the counts."""

    prefix = EVIDENCE_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 1 + COUNTS_IN_RECORD
            and all(isinstance(item, int | float) and item >= 0 for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later record of the instance."""
        return max(list(held), list(received))

    def expired(self, value: Any, at: float) -> bool:
        """Drop counts that are older than the long window."""
        return at - value[0] > BUCKET_SECONDS * LONG_BUCKETS


def merge_records(records: Iterable[tuple[str, list[float]]]) -> dict[str, RouteEvidence]:
    """Sum of all instances' recent records by route, given with keys that end in the route."""
    merged: dict[str, RouteEvidence] = {}
    at = unix_time()
    kind = EvidenceFacts()
    for key, value in records:
        if not kind.expired(value, at):
            route = key.rpartition("/")[2]
            merged[route] = merged.get(route, RouteEvidence()).plus(unflatten(value[1:]))
    return merged


def find_fault(merged: dict[str, RouteEvidence]) -> str | None:
    """Reason why the evidence rejects the new version, or None."""
    for route, evidence in merged.items():
        for window in evidence:
            reason = judge(window.old, window.new)
            if reason is not None:
                return f"route '{route}': {reason}"
    return None


class VerdictFacts(FactKind):
    """Verdicts on moves: once bad, always bad; value is ``[unix time, reason]``."""

    prefix = VERDICT_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 2
            and isinstance(value[0], int | float)
            and isinstance(value[1], str)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the earlier verdict."""
        return min(list(held), list(received))
