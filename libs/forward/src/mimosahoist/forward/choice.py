"""Choice of an upstream for one call."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from mimosahoist.forward.upstream import Upstream

OTHER_DOMAIN_PENALTY = 4.0
FAILURE_PENALTY = 4.0
STALL_PENALTY = 6.0
COLD_PENALTY = 3.0
OUT_OF_REACH_PENALTY = 50.0
STALL_MULTIPLE = 2.5
STALL_SLACK_SECONDS = 0.015
COMFORTABLE_OCCUPANCY = 0.7
JITTER = 0.08


class ChoiceContext(NamedTuple):
    """What a choice depends on besides the upstreams.

    Attributes
    ----------
    typical : float
        Typical answer time of the route, in seconds.
    domains_out, out_of_reach : frozenset of str
        Failure domains that operators have taken out, and those that seem cut off.
    """

    at: float
    typical: float
    failure_domain: str
    domains_out: frozenset[str]
    out_of_reach: frozenset[str]
    rng: random.Random


def cost(upstream: Upstream, context: ChoiceContext) -> float:
    """Expected cost of a call, as a multiple of the route's typical answer time.

    Answers that are overdue weigh most: an upstream that pauses holds all its calls. Another
    failure domain costs a little, so that bytes stay near while the near upstream is no slower.
    """
    health = upstream.health
    crowded = max(0.0, upstream.occupancy(context.at) - COMFORTABLE_OCCUPANCY)
    total = health.latency_ratio * (1.0 + crowded) + FAILURE_PENALTY * health.failure_rate
    if upstream.max_call_age(context.at) > STALL_MULTIPLE * context.typical + STALL_SLACK_SECONDS:
        total += STALL_PENALTY
    if upstream.record.failure_domain != context.failure_domain:
        total += OTHER_DOMAIN_PENALTY
    if upstream.record.failure_domain in context.out_of_reach:
        total += OUT_OF_REACH_PENALTY
    if upstream.cold(context.at):
        total += COLD_PENALTY
    return total * (1.0 + JITTER * context.rng.random())


def choose(
    upstreams: Iterable[Upstream], tried: set[str], context: ChoiceContext
) -> Upstream | None:
    """Cheapest upstream with room that was not tried and whose failure domain is in use."""
    usable = [
        upstream
        for upstream in upstreams
        if upstream.record.name not in tried
        and upstream.record.failure_domain not in context.domains_out
        and upstream.has_capacity(context.at)
    ]
    return min(usable, key=lambda upstream: cost(upstream, context), default=None)
