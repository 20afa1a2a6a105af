"""Evidence about versions: outcomes counted by each instance and published as facts."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.core.tasks import unix_time
from mimosahoist.moves.sequential_test import Counts, rejection_reason
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.query.service import CallObservation

EVIDENCE_PREFIX = "evidence/"
VERDICT_PREFIX = "verdict/"
MAX_ROUTES = 16
OVERFLOW_ROUTE = "other"
BUCKET_SECONDS = 0.5
SHORT_BUCKETS = 4
LONG_BUCKETS = 20
BASELINE_PERCENTILE = 50.0
# A median needs few exchanges, so that routes with little traffic are judged as well.
BASELINE_SAMPLES = 8
SLOW_EXCHANGE_FACTOR = 2.5
COUNTS_PER_RECORD = 12


class Window(NamedTuple):
    """Counts of both versions over a time window."""

    old: Counts = Counts()
    new: Counts = Counts()

    def plus(self, other: Window) -> Window:
        """Return the sum of two windows."""
        return Window(add_counts(self.old, other.old), add_counts(self.new, other.new))


class RouteEvidence(NamedTuple):
    """Short window, which shows new faults early, and long window, which shows minor faults."""

    short: Window = Window()
    long: Window = Window()

    def plus(self, other: RouteEvidence) -> RouteEvidence:
        """Return the sum of the evidence of two instances."""
        return RouteEvidence(self.short.plus(other.short), self.long.plus(other.long))

    def flatten(self) -> list[int]:
        """Return all counts as a flat list, as published to other instances."""
        return [count for window in self for counts in window for count in counts]


def unflatten(counts: list[int]) -> RouteEvidence:
    """Return the evidence that `flatten` turned into a list of counts."""
    old, new, long_old, long_new = (Counts(*counts[index : index + 3]) for index in (0, 3, 6, 9))
    return RouteEvidence(Window(old, new), Window(long_old, long_new))


def add_counts(left: Counts, right: Counts) -> Counts:
    """Return the sum of two counts."""
    return Counts(left.total + right.total, left.failed + right.failed, left.slow + right.slow)


class RouteCounter:
    """Counts of one route of callers' requests in time buckets."""

    def __init__(self) -> None:
        self.buckets: deque[Window] = deque([Window()], maxlen=LONG_BUCKETS)
        self.baseline = SlidingQuantile(BASELINE_PERCENTILE, float("inf"), BASELINE_SAMPLES)

    def record(
        self, is_new: bool, failed: bool, elapsed: float | None, completed: bool = True
    ) -> None:
        """Count one exchange.

        Parameters
        ----------
        completed : bool
            False if the exchange was given up after `elapsed`; it counts only if it was slow.
        """
        timed = not failed and elapsed is not None
        slow = timed and elapsed > self.baseline.value * SLOW_EXCHANGE_FACTOR
        if not completed and not slow:
            return
        counts = Counts(1, int(failed), int(slow))
        current = self.buckets[-1]
        if is_new:
            self.buckets[-1] = current._replace(new=add_counts(current.new, counts))
            return
        self.buckets[-1] = current._replace(old=add_counts(current.old, counts))
        if timed and completed:
            self.baseline.record(elapsed)

    def rotate(self) -> None:
        """Start a new time bucket."""
        self.buckets.append(Window())

    def evidence(self) -> RouteEvidence:
        """Return the sums over the short and the long window."""
        buckets = list(self.buckets)
        return RouteEvidence(sum_windows(buckets[-SHORT_BUCKETS:]), sum_windows(buckets))


def sum_windows(windows: list[Window]) -> Window:
    """Return the sum of a list of windows."""
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

    def record(self, observation: CallObservation) -> None:
        """Count a call to either version."""
        if observation.version in (self.source, self.target):
            is_new = observation.version == self.target
            self.counter(observation.route).record(is_new, observation.failed, observation.elapsed)

    def counter(self, route: str) -> RouteCounter:
        """Return the counter of a route; routes beyond the first MAX_ROUTES share one."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OVERFLOW_ROUTE
        return self.routes[route]

    def rotate(self) -> None:
        """Start a new time bucket for every route."""
        for counter in self.routes.values():
            counter.rotate()

    def records(self) -> dict[str, list[float]]:
        """Return the records to publish to other instances, by route."""
        at = unix_time()
        return {
            route: [at, *counter.evidence().flatten()] for route, counter in self.routes.items()
        }


class EvidenceFacts(FactKind):
    """Records of an instance's recent counts on a route: Unix time, then the counts."""

    prefix = EVIDENCE_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a received value has the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 1 + COUNTS_PER_RECORD
            and all(isinstance(item, int | float) and item >= 0 for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later record of the instance."""
        return max(list(held), list(received))

    def expired(self, value: Any, at: float) -> bool:
        """Return whether a record is older than the long window."""
        return at - value[0] > BUCKET_SECONDS * LONG_BUCKETS


def merge_records(records: Iterable[tuple[str, list[float]]]) -> dict[str, RouteEvidence]:
    """Return the sum of all instances' recent records, by route; each key ends in its route."""
    merged: dict[str, RouteEvidence] = {}
    at = unix_time()
    kind = EvidenceFacts()
    for key, value in records:
        if not kind.expired(value, at):
            route = key.rpartition("/")[2]
            merged[route] = merged.get(route, RouteEvidence()).plus(unflatten(value[1:]))
    return merged


def find_fault(merged: dict[str, RouteEvidence]) -> str | None:
    """Return the reason why the evidence rejects the new version, or None."""
    for route, evidence in merged.items():
        for window in evidence:
            reason = rejection_reason(window.old, window.new)
            if reason is not None:
                return f"route '{route}': {reason}"
    return None


class VerdictFacts(FactKind):
    """Verdicts that reject a version for good; a value is ``[unix time, reason]``."""

    prefix = VERDICT_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a received value has the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 2
            and isinstance(value[0], int | float)
            and isinstance(value[1], str)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the earlier verdict."""
        return min(list(held), list(received))
