"""Evidence about versions: outcomes counted by each instance and published as facts."""

from __future__ import annotations

import math
import statistics
import uuid
from collections import defaultdict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.metrics import SlidingQuantile
from mimosahoist.core.tasks import unix_time
from mimosahoist.moves.sequential_test import (
    REJECT_LOG_LIKELIHOOD_RATIO,
    Counts,
    rejection_reason,
)
from mimosahoist.peers.facts import FactKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.query.service import CallObservation

EVIDENCE_PREFIX = "evidence/"
SAMPLES_PREFIX = "samples/"
VERDICT_PREFIX = "verdict/"
MAX_ROUTES = 16
OVERFLOW_ROUTE = "other"
BUCKET_SECONDS = 0.5
SHORT_WINDOW_SECONDS = 2.0
LONG_WINDOW_SECONDS = 10.0
BASELINE_PERCENTILE = 50.0
# A median needs few exchanges, so that routes with little traffic are judged as well.
BASELINE_SAMPLES = 4
MAX_UNJUDGED = 1000
SLOW_EXCHANGE_FACTOR = 2.5
COUNTS_PER_RECORD = 6
# All integers up to it are exact as floating point numbers too.
MAX_COUNT = 1 << 53
# Far longer than clocks differ; a record is replaced by its counts and never by its time.
COUNTER_TTL_SECONDS = 900.0


class Window(NamedTuple):
    """Counts of both versions over some time."""

    old: Counts = Counts()
    new: Counts = Counts()

    def plus(self, other: Window) -> Window:
        """Return the sum of two windows."""
        return Window(add_counts(self.old, other.old), add_counts(self.new, other.new))

    def minus(self, other: Window) -> Window:
        """Return what was counted since `other`."""
        return Window(subtract_counts(self.old, other.old), subtract_counts(self.new, other.new))


def add_counts(left: Counts, right: Counts) -> Counts:
    """Return the sum of two counts."""
    return Counts(left.total + right.total, left.failed + right.failed, left.slow + right.slow)


def subtract_counts(left: Counts, right: Counts) -> Counts:
    """Return the difference of two counts; none is negative if records were discarded."""
    return Counts(*(max(0, first - second) for first, second in zip(left, right, strict=True)))


class RouteEvidence(NamedTuple):
    """Short window, which shows new faults early, long one for minor faults, and all counts."""

    short: Window
    long: Window
    total: Window


class TimedExchange(NamedTuple):
    """An exchange that can't be judged before a baseline is known.

    Attributes
    ----------
    completed : bool
        False if the exchange was given up after `seconds`.
    """

    is_new: bool
    seconds: float
    completed: bool


class RouteCounter:
    """Counts of one route of callers' requests; they only grow.

    Attributes
    ----------
    first_samples : list of float
        First times of the old version's answers, which other instances may need.
    shared_baseline : float
        Baseline of all instances together, for as long as this one has too few samples.
    unjudged : list of TimedExchange
        Exchanges from before a baseline was known.
    """

    def __init__(self) -> None:
        self.counts = Window()
        self.baseline = SlidingQuantile(BASELINE_PERCENTILE, float("inf"), BASELINE_SAMPLES)
        self.first_samples: list[float] = []
        self.shared_baseline = float("inf")
        self.unjudged: list[TimedExchange] = []

    @property
    def baseline_seconds(self) -> float:
        """Typical time of the old version's answers; infinite until it is known."""
        own = self.baseline.value
        return own if own < float("inf") else self.shared_baseline

    def record(
        self, is_new: bool, failed: bool, elapsed: float | None, completed: bool = True
    ) -> None:
        """Count one exchange.

        Parameters
        ----------
        completed : bool
            False if the exchange was given up after `elapsed`; it counts only if it was slow.
        """
        if completed:
            self.add(is_new, Counts(1, int(failed), 0))
        if failed or elapsed is None:
            return
        if len(self.unjudged) < MAX_UNJUDGED:
            self.unjudged.append(TimedExchange(is_new, elapsed, completed))
        if completed and not is_new:
            self.baseline.record(elapsed)
            if len(self.first_samples) < BASELINE_SAMPLES:
                self.first_samples.append(elapsed)
        self.judge()

    def judge(self) -> None:
        """Count the slow exchanges among those that are not judged yet, if a baseline is known."""
        if self.baseline_seconds == float("inf"):
            return
        slow_seconds = self.baseline_seconds * SLOW_EXCHANGE_FACTOR
        for exchange in self.unjudged:
            if exchange.seconds > slow_seconds:
                self.add(exchange.is_new, Counts(int(not exchange.completed), 0, 1))
        self.unjudged.clear()

    def add(self, is_new: bool, counts: Counts) -> None:
        """Add counts of one version."""
        self.counts = self.counts.plus(Window(new=counts) if is_new else Window(old=counts))

    def share_baseline(self, samples: list[float]) -> None:
        """Use the samples of all instances while this one has too few."""
        if len(samples) >= BASELINE_SAMPLES:
            self.shared_baseline = statistics.median(samples)
            self.judge()


class MoveEvidence:
    """Counts of one move at this instance, by route.

    Attributes
    ----------
    id : str
        Distinguishes these counts, which begin at zero, from those of an earlier start.
    """

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.id = uuid.uuid4().hex[:12]
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

    @property
    def typical_seconds(self) -> float:
        """Typical time of the old version's answers on the route that takes longest."""
        known = [
            counter.baseline_seconds
            for counter in self.routes.values()
            if counter.baseline_seconds < float("inf")
        ]
        return max(known, default=0.0)

    def records(self) -> dict[str, list[float]]:
        """Return the records to publish to other instances, by the end of their key."""
        at = unix_time()
        return {
            f"{self.id}/{route}": [at, *counter.counts.old, *counter.counts.new]
            for route, counter in self.routes.items()
            if counter.counts != Window()
        }

    def samples(self) -> dict[str, list[float]]:
        """Return the samples to publish, like `records`."""
        at = unix_time()
        return {
            f"{self.id}/{route}": [at, *counter.first_samples]
            for route, counter in self.routes.items()
            if counter.first_samples
        }

    def share_baselines(self, records: Iterable[tuple[str, list[float]]]) -> None:
        """Use the samples that all instances have published; each key ends in its route."""
        pooled: dict[str, list[float]] = defaultdict(list)
        for key, value in records:
            pooled[key.rpartition("/")[2]] += value[1:]
        for route, counter in self.routes.items():
            counter.share_baseline(pooled[route])


class CounterFacts(FactKind):
    """Records of numbers that only grow: Unix time of the record, then the numbers.

    Joined number by number, so that neither clocks that are set nor records that arrive in another
    order take anything back.
    """

    length: int

    def valid(self, value: Any) -> bool:
        """Return whether a received value has the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 1 + self.length
            and all(isinstance(item, int | float) and 0 <= item <= MAX_COUNT for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the larger of each pair of numbers."""
        return [max(pair) for pair in zip(held, received, strict=True)]

    def expired(self, value: Any, at: float) -> bool:
        """Return whether a record has not grown for so long that its move has ended."""
        return at - value[0] > COUNTER_TTL_SECONDS


class EvidenceFacts(CounterFacts):
    """Counts of an instance on a route; the key ends in ``/ID/ROUTE``."""

    prefix = EVIDENCE_PREFIX
    length = COUNTS_PER_RECORD


class SampleFacts(FactKind):
    """First samples of an instance on a route: Unix time of the record, then seconds."""

    prefix = SAMPLES_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a received value has the form of a record."""
        return (
            isinstance(value, list | tuple)
            and 1 < len(value) <= 1 + BASELINE_SAMPLES
            and all(isinstance(item, int | float) and math.isfinite(item) for item in value)
            and min(value) >= 0
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the record with more samples."""
        return max(held, received, key=lambda value: (len(value), list(value)))

    def expired(self, value: Any, at: float) -> bool:
        """Return whether a record is from a move that has ended."""
        return at - value[0] > COUNTER_TTL_SECONDS


def merge_records(records: Iterable[tuple[str, list[float]]]) -> dict[str, Window]:
    """Return the sum of all instances' records, by route; each key ends in its route."""
    merged: dict[str, Window] = {}
    for key, value in records:
        route = key.rpartition("/")[2]
        counted = Window(Counts(*value[1:4]), Counts(*value[4:7]))
        merged[route] = merged.get(route, Window()).plus(counted)
    return merged


class EvidenceHistory:
    """Merged counts of the last seconds, by this instance's monotonic clock.

    Attributes
    ----------
    snapshots : deque
        Loop time and merged counts, the latest last.
    """

    def __init__(self) -> None:
        self.snapshots: deque[tuple[float, dict[str, Window]]] = deque()

    def add(self, at: float, merged: dict[str, Window]) -> None:
        """Add the counts of now; of those older than the long window one is kept."""
        if self.snapshots and at - self.snapshots[-1][0] < BUCKET_SECONDS:
            return
        self.snapshots.append((at, merged))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= at - LONG_WINDOW_SECONDS:
            self.snapshots.popleft()

    def windows(self, at: float, merged: dict[str, Window], route: str) -> RouteEvidence:
        """Return a route's counts in the windows that end now."""
        total = merged[route]
        short, long = (
            total.minus(self.before(at - seconds).get(route, Window()))
            for seconds in (SHORT_WINDOW_SECONDS, LONG_WINDOW_SECONDS)
        )
        return RouteEvidence(short, long, total)

    def before(self, at: float) -> dict[str, Window]:
        """Return the latest counts from no later than `at`, or none."""
        found: dict[str, Window] = {}
        for taken_at, merged in self.snapshots:
            if taken_at > at:
                break
            found = merged
        return found

    def find_fault(
        self,
        at: float,
        merged: dict[str, Window],
        threshold: float = REJECT_LOG_LIKELIHOOD_RATIO,
    ) -> str | None:
        """Return the reason why the evidence rejects the new version, or None."""
        for route in merged:
            for window in self.windows(at, merged, route):
                reason = rejection_reason(window.old, window.new, threshold)
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
