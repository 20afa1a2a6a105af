"""Division of a service's calls between the target version of a rollout and the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.forward.rollout import Rollout, RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.forward.upstream import Upstream

COMPLETED_HOLD_SECONDS = 10.0


class VersionSplit:
    """Keeps the share of calls that may go to a target version at one instance.

    Calls are counted, not drawn, so that no run of luck exceeds the share.

    Attributes
    ----------
    weight : float
        Share of the calls for the target; 1.0 keeps all calls from other versions.
    held_until : float
        Loop time until which other versions get nothing after completion, since those are stopped
        before the list says so.
    """

    def __init__(self, order: Rollout, at: float) -> None:
        self.order = order
        self.seen_at = at
        self.changed_at = at
        self.seen_state = order.state
        self.weight = 0.0
        completed = order.state.phase is RolloutPhase.COMPLETED
        self.held_until = at + COMPLETED_HOLD_SECONDS if completed else float("inf")
        self.calls = 0
        self.target_calls = 0

    def set_weight(self, weight: float) -> None:
        """Put another share in force, counted from now on."""
        if weight != self.weight:
            self.weight = weight
            self.calls = 0
            self.target_calls = 0

    def update(self, order: Rollout, at: float) -> None:
        """Take a newer state of the same order."""
        if order.state != self.order.state:
            self.changed_at = at
            if order.state.phase is RolloutPhase.COMPLETED:
                self.held_until = at + COMPLETED_HOLD_SECONDS
        self.order = order

    def elapsed(self, at: float, unix_at: float) -> float:
        """Seconds since the order.

        The steady clock counts from the first sight. An instance that started later can only go by
        the time that the writer's clock gave to the state it first saw.

        Parameters
        ----------
        at, unix_at : float
            Loop time and Unix time in seconds.
        """
        since_seen = at - self.seen_at
        if not self.seen_state.written_at:
            return since_seen
        since_written = max(since_seen, unix_at - self.seen_state.written_at)
        return self.seen_state.elapsed + since_written

    def is_target(self, upstream: Upstream) -> bool:
        """Whether an upstream has the target version."""
        return upstream.record.version == self.order.target

    def eligible(self, upstreams: Iterable[Upstream], at: float) -> list[Upstream]:
        """Upstreams that may get calls at all."""
        if self.weight <= 0.0:
            return [upstream for upstream in upstreams if not self.is_target(upstream)]
        if self.weight >= 1.0 and at < self.held_until:
            return [upstream for upstream in upstreams if self.is_target(upstream)]
        return list(upstreams)

    def candidate_groups(self, upstreams: list[Upstream], first: bool) -> list[list[Upstream]]:
        """Upstreams to try, one group after the other.

        Parameters
        ----------
        first : bool
            Whether it is a request's first call; repeats stay with the versions that are known.
        """
        if not 0.0 < self.weight < 1.0:
            return [upstreams]
        others = [upstream for upstream in upstreams if not self.is_target(upstream)]
        if not first or self.target_calls + 1 > self.weight * (self.calls + 1):
            return [others]
        return [[upstream for upstream in upstreams if self.is_target(upstream)], others]

    def record_call(self, upstream: Upstream) -> None:
        """Count a call."""
        self.calls += 1
        self.target_calls += self.is_target(upstream)
