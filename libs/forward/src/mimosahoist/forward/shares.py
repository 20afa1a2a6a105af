"""Parts of limits that hold for the sum over all instances."""

from __future__ import annotations

from typing import NamedTuple

GATHERER_SHARE = 0.8


class Shares(NamedTuple):
    """How many instances share the limits of upstreams.

    Those that serve for others get most of what upstreams bear; the rest is for instances that
    reach none of those.

    Attributes
    ----------
    gatherers : int
        Instances that may serve for others.
    gathers : bool
        Whether this instance is one of them.
    """

    instances: int = 1
    gatherers: int = 0
    gathers: bool = False

    @property
    def divisor(self) -> float:
        """What a limit is divided by for this instance's part."""
        others = self.instances - self.gatherers
        if not self.gatherers or others <= 0:
            return max(1, self.instances)
        if self.gathers:
            return self.gatherers / GATHERER_SHARE
        return others / (1.0 - GATHERER_SHARE)


class FleetShares(NamedTuple):
    """Shares of limits of shards' upstreams, and of those that serve repeatable plain requests."""

    shards: Shares
    plain: Shares
