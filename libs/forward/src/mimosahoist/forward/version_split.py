"""Split of a service's calls between the target version of a rollout and other versions."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import now
from mimosahoist.forward.rollout import Rollout, RolloutPhase
from mimosahoist.forward.rollout_exposure import CallNumbers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.forward.upstream import Upstream

COMPLETED_HOLD_SECONDS = 10.0
LAST_STEP_REPEAT_SHARE = 0.1


class VersionSplit:
    """Limits the share of an instance's calls that goes to the target version.

    Calls are counted rather than drawn at random, so that the share is never exceeded by chance.
    All routes get alike of a small share, since a version may be faulty on one with few calls only.

    Attributes
    ----------
    weight : float
        Share of the calls that goes to the target; at 1.0 other versions get none.
    exclusive_until : float
        Loop time until which other versions get no calls after completion, because their upstreams
        are stopped before the list of upstreams shows it.
    target_in_service : bool
        Whether the target carried the service's calls before the order.
    numbers : CallNumbers
        What this instance has sent to the service since it saw the rollout.
    """

    def __init__(self, rollout: Rollout, at: float) -> None:
        self.rollout = rollout
        self.first_seen_at = at
        self.state_changed_at = at
        self.first_seen_state = rollout.state
        self.weight = 0.0
        self.target_in_service = False
        completed = rollout.state.phase is RolloutPhase.COMPLETED
        self.exclusive_until = at + COMPLETED_HOLD_SECONDS if completed else float("inf")
        self.calls = 0
        self.target_calls = 0
        self.target_requests = 0
        self.target_calls_by_route: Counter[str] = Counter()
        self.numbers = CallNumbers()
        self.latest_elapsed = 0.0
        self.latest_elapsed_at = at

    def set_weight(self, weight: float) -> None:
        """Apply another share and restart the count of calls."""
        if weight != self.weight:
            self.weight = weight
            self.calls = 0
            self.target_calls = 0
            self.target_requests = 0
            self.target_calls_by_route.clear()

    def update(self, rollout: Rollout, at: float) -> None:
        """Apply a newer state of the same rollout."""
        if rollout.state != self.rollout.state:
            self.state_changed_at = at
            if rollout.state.phase is RolloutPhase.COMPLETED:
                self.exclusive_until = at + COMPLETED_HOLD_SECONDS
        self.rollout = rollout

    def elapsed(self, at: float, unix_at: float) -> float:
        """Seconds since the rollout was ordered.

        They are counted on the monotonic clock from when this instance first saw the rollout. An
        instance that started later takes them from the others. If none has told it, it can only
        rely on the state that it saw first, and on the time at which it was written by the
        writer's clock.

        Parameters
        ----------
        at, unix_at : float
            Loop time and Unix time in seconds.
        """
        since_seen = at - self.first_seen_at
        if self.saw_order:
            return since_seen
        if self.latest_elapsed:
            return self.latest_elapsed + at - self.latest_elapsed_at
        since_written = max(since_seen, unix_at - self.first_seen_state.written_at)
        return self.first_seen_state.elapsed + since_written

    @property
    def saw_order(self) -> bool:
        """Whether this instance saw the rollout before any progress was stored."""
        return not self.first_seen_state.written_at

    def may_decide(self, at: float, joining_seconds: float) -> bool:
        """Whether this instance knows what the others have counted since the order."""
        return self.saw_order or at - self.first_seen_at >= joining_seconds

    def record_elapsed(self, elapsed: float, at: float) -> None:
        """Record how long ago, by another instance, the rollout was ordered."""
        if elapsed > self.latest_elapsed + at - self.latest_elapsed_at:
            self.latest_elapsed = elapsed
            self.latest_elapsed_at = at

    def is_target(self, upstream: Upstream) -> bool:
        """Whether an upstream runs the target version."""
        return upstream.record.version == self.rollout.target

    def eligible(
        self, upstreams: Iterable[Upstream], at: float, unproven: frozenset[str] = frozenset()
    ) -> list[Upstream]:
        """Upstreams that may get calls at the current weight.

        Parameters
        ----------
        unproven : frozenset of str
            Versions that get calls only as the target.
        """
        if self.weight >= 1.0 and at < self.exclusive_until:
            return [upstream for upstream in upstreams if self.is_target(upstream)]
        takes_target = self.weight > 0.0 or self.target_in_service
        return [
            upstream
            for upstream in upstreams
            if (
                takes_target
                if self.is_target(upstream)
                else upstream.record.version not in unproven
            )
        ]

    def candidate_groups(
        self, upstreams: list[Upstream], route: str, first: bool
    ) -> list[list[Upstream]]:
        """Groups of upstreams to try in order.

        Parameters
        ----------
        route : str
            Name of the request's route.
        first : bool
            Whether this is a request's first call; retries and hedges go to the other versions,
            which are known to work. In the last step there are none, and repeats are few, because
            they count towards the calls that the target may get.
        """
        if self.weight >= 1.0 and not self.rollout.state.ended:
            repeats = self.target_calls - self.target_requests
            may_repeat = repeats < LAST_STEP_REPEAT_SHARE * self.target_requests
            return [upstreams] if first or may_repeat else []
        if not 0.0 < self.weight < 1.0:
            return [upstreams]
        others = [upstream for upstream in upstreams if not self.is_target(upstream)]
        if not first or not self.is_targets_turn(route):
            return [others]
        # Cold upstreams are slow at any version, so that calls to them would show nothing.
        warm = [item for item in upstreams if self.is_target(item) and not item.cold(now())]
        return [warm, others]

    def is_targets_turn(self, route: str) -> bool:
        """Whether the share allows the target a call of a route.

        A call that is due is left to the routes with the fewest, until a second one is due.
        """
        due = self.weight * (self.calls + 1) - self.target_calls
        counts = self.target_calls_by_route
        # A route is counted from its first call, also if that goes to another version.
        counts.setdefault(route, 0)
        return due >= (1.0 if counts[route] <= min(counts.values()) else 2.0)

    def record_call(self, upstream: Upstream, route: str, first: bool) -> None:
        """Count a call towards the share, and a request if it is its first call."""
        is_target = self.is_target(upstream)
        self.target_calls_by_route[route] += is_target
        self.calls += 1
        self.target_calls += is_target
        self.target_requests += is_target and first
        sent = CallNumbers(first, True, first and is_target, is_target)
        self.numbers = self.numbers.plus(sent)
