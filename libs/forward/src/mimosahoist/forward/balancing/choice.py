"""Selection of the upstream with the lowest expected cost for one call."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from mimosahoist.forward.upstream import Upstream

OTHER_DOMAIN_PENALTY = 4.0
FAILURE_PENALTY = 4.0
# A refused call costs a repeat from a budget that hedges need, so a copy in another failure domain
# is preferred to one that refuses a third of its calls.
REFUSAL_PENALTY = 12.0
STALL_PENALTY = 6.0
COLD_PENALTY = 3.0
UNREACHABLE_DOMAIN_PENALTY = 50.0
STALL_LATENCY_MULTIPLE = 2.5
STALL_SLACK_SECONDS = 0.015
OCCUPANCY_THRESHOLD = 0.7
COST_JITTER = 0.08


class ChoiceContext(NamedTuple):
    """Inputs of a selection other than the upstreams.

    Attributes
    ----------
    typical_latency : float
        Typical latency of the route's calls, in seconds.
    domains_out, unreachable_domains : frozenset of str
        Failure domains evacuated by operators, and those that appear unreachable.
    """

    at: float
    typical_latency: float
    failure_domain: str
    domains_out: frozenset[str]
    unreachable_domains: frozenset[str]
    rng: random.Random


def cost(upstream: Upstream, context: ChoiceContext) -> float:
    """Expected cost of a call, as a multiple of the route's typical latency.

    Of the penalties for an upstream's own state, the one for overdue answers is largest, because a
    paused upstream delays all its calls. The one for another failure domain keeps traffic local
    unless the local upstream is much slower.
    """
    health = upstream.health
    excess_occupancy = max(0.0, upstream.occupancy(context.at) - OCCUPANCY_THRESHOLD)
    total = health.latency_ratio(context.at) * (1.0 + excess_occupancy)
    total += FAILURE_PENALTY * health.failure_rate
    total += REFUSAL_PENALTY * health.refusal_rate(context.at)
    if (
        upstream.max_call_age(context.at)
        > STALL_LATENCY_MULTIPLE * context.typical_latency + STALL_SLACK_SECONDS
    ):
        total += STALL_PENALTY
    if upstream.record.failure_domain != context.failure_domain:
        total += OTHER_DOMAIN_PENALTY
    if upstream.record.failure_domain in context.unreachable_domains:
        total += UNREACHABLE_DOMAIN_PENALTY
    if upstream.cold(context.at):
        total += COLD_PENALTY
    return total * (1.0 + COST_JITTER * context.rng.random())


def choose(
    upstreams: Iterable[Upstream], tried: set[str], context: ChoiceContext
) -> Upstream | None:
    """Lowest-cost untried upstream with capacity whose failure domain is not evacuated."""
    usable = [
        upstream
        for upstream in upstreams
        if upstream.record.name not in tried
        and upstream.record.failure_domain not in context.domains_out
        and upstream.has_capacity(context.at)
    ]
    return min(usable, key=lambda upstream: cost(upstream, context), default=None)
