"""Selection of the upstream with the lowest expected cost for one call; does no I/O.

Answers upstreams that are slower than others, for long or for a moment, and demand that differs
between failure domains: calls stay in their own domain while that serves them in time, and go to
another one where they would miss their target latency otherwise. Many instances hear the same of an
upstream, and would all turn to the same idle one; so each looks at a few of the copies in other
domains only, drawn at random, where upstreams report how slow their machines are at the moment.
"""

from __future__ import annotations

import math
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
# Exceeds the penalty of another failure domain, which is then worth the way.
LATE_PENALTY = 6.0
# Copies in other failure domains that are compared with those in the own one.
REMOTE_CHOICES = 1


class ChoiceContext(NamedTuple):
    """Inputs of a selection other than the upstreams.

    Attributes
    ----------
    typical_latency : float
        Typical latency of the route's calls, in seconds.
    domains_out, unreachable_domains : frozenset of str
        Failure domains evacuated by operators, and those that appear unreachable.
    time_left : float
        Seconds until the call should be answered; infinite if the answer is late already.
    """

    at: float
    typical_latency: float
    failure_domain: str
    domains_out: frozenset[str]
    unreachable_domains: frozenset[str]
    rng: random.Random
    time_left: float = math.inf


def cost(upstream: Upstream, context: ChoiceContext) -> float:
    """Expected cost of a call, as a multiple of the route's typical latency.

    Of the penalties for an upstream's own state, the one for overdue answers is largest, because a
    paused upstream delays all its calls. The one for another failure domain keeps traffic local
    unless the local upstream is much slower.
    """
    health = upstream.health
    excess_occupancy = max(0.0, upstream.occupancy(context.at) - OCCUPANCY_THRESHOLD)
    total = health.latency_ratio(context.at) * (1.0 + excess_occupancy)
    if upstream.loads.tell_slowdown:
        total *= upstream.loads.slowdown(context.at)
        if total * context.typical_latency > context.time_left:
            total += LATE_PENALTY
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
    compared = draw_copies(usable, context)
    return min(compared, key=lambda upstream: cost(upstream, context), default=None)


def draw_copies(usable: list[Upstream], context: ChoiceContext) -> list[Upstream]:
    """Copies to compare: all in the own failure domain, and a few drawn from the others.

    Without copies in the own domain two are drawn. Where upstreams don't report how slow they are
    at the moment, or few are left to choose from, all are compared.
    """
    if len(usable) < 3 or not any(upstream.loads.tell_slowdown for upstream in usable):
        return usable
    own = [item for item in usable if item.record.failure_domain == context.failure_domain]
    remote = [item for item in usable if item.record.failure_domain != context.failure_domain]
    count = REMOTE_CHOICES if own else 2
    return own + context.rng.sample(remote, min(count, len(remote)))
