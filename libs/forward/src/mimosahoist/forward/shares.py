"""Each instance's share of limits that apply to the sum over all instances."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

GATHERER_SHARE = 0.8
# Time within which all instances know of a change of the membership or of the roles.
CONVERGENCE_SECONDS = 2.0


class Shares(NamedTuple):
    """Division of the limits of upstreams among the instances.

    Gatherers, the instances that serve for others, get most of the upstreams' capacity; the rest
    is reserved for instances that cannot reach any gatherer.

    Attributes
    ----------
    gatherers : int
        Number of instances that may serve for others.
    gathers : bool
        Whether this instance is one of them.
    callers : tuple of str
        Names of the instances that call the upstreams, in no order: the gatherers, or all
        instances if there are none.
    """

    instances: int = 1
    gatherers: int = 0
    gathers: bool = False
    callers: tuple[str, ...] = ()

    @property
    def divisor(self) -> float:
        """Divisor that turns a limit into this instance's share."""
        others = self.instances - self.gatherers
        if not self.gatherers or others <= 0:
            return max(1, self.instances)
        if self.gathers:
            return self.gatherers / GATHERER_SHARE
        return others / (1.0 - GATHERER_SHARE)


class FleetShares(NamedTuple):
    """Shares for the upstreams of shards, and for those of repeatable plain requests.

    Attributes
    ----------
    instance_names : tuple of str
        Names of all instances, which call the upstreams of other services themselves.
    """

    shards: Shares
    plain: Shares
    instance_names: tuple[str, ...] = ()


class WindowedShare:
    """An instance's share of a limit that holds for any window of time.

    A lower share applies at once, a higher one only after the window and the time in which the
    instances agree on the division. What was spent under an earlier division has then left the
    window, so the shares in use never add up to more than the whole. An instance that starts has
    a share of zero before, since it does not know what it spent in an earlier life.

    Parameters
    ----------
    window : float
        Length of the window in seconds.
    started : float
        Loop time in seconds at which the instance started.
    """

    def __init__(self, window: float, started: float) -> None:
        self.delay = window + CONVERGENCE_SECONDS
        self.latest = 0.0
        # Earlier shares, each with the loop time until which it still applies.
        self.earlier: deque[tuple[float, float]] = deque([(started + self.delay, 0.0)])

    def update(self, share: float, at: float) -> None:
        """Set the share under the present division."""
        if share != self.latest:
            self.earlier.append((at + self.delay, self.latest))
            self.latest = share

    def value(self, at: float) -> float:
        """Share that may be used now."""
        while self.earlier and self.earlier[0][0] <= at:
            self.earlier.popleft()
        return min([self.latest, *(share for _, share in self.earlier)])
