"""Parts of limits that hold for the sum over all instances."""

from __future__ import annotations

from typing import NamedTuple

GATHERED_SHARE = 0.8


class Shares(NamedTuple):
    """How many instances share the limits of upstreams.

    Those that gather for others get most of what the shards' upstreams bear; the rest is for
    instances that reach no gathering one.

    Attributes
    ----------
    gatherers : int
        Instances that may gather for others.
    gathers : bool
        Whether this instance is one of them.
    """

    instances: int = 1
    gatherers: int = 0
    gathers: bool = False

    def divisor(self, is_shard: bool) -> float:
        """What a limit is divided by for this instance's part.

        Parameters
        ----------
        is_shard : bool
            Whether the limit is that of a shard's upstreams.
        """
        others = self.instances - self.gatherers
        if not is_shard or not self.gatherers or others <= 0:
            return max(1, self.instances)
        if self.gathers:
            return self.gatherers / GATHERED_SHARE
        return others / (1.0 - GATHERED_SHARE)
