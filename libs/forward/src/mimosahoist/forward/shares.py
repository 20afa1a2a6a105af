"""Each instance's share of limits that apply to the sum over all instances."""

from __future__ import annotations

from typing import NamedTuple

GATHERER_SHARE = 0.8


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
    """

    instances: int = 1
    gatherers: int = 0
    gathers: bool = False

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
    """Shares for the upstreams of shards, and for those of repeatable plain requests."""

    shards: Shares
    plain: Shares
