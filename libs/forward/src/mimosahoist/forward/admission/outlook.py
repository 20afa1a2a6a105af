"""Estimates when an answer can be expected, from what is known of the upstreams; does no I/O.

Answers upstreams that are full, that turn calls away, or that cannot be called for a while, on many
shards at once: a search takes as long as its slowest needed shard, and one shard has several
copies.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.forward.upstream import Upstream


class CopyOutlook(NamedTuple):
    """What can be expected of one upstream.

    Attributes
    ----------
    queue_seconds : float
        Time in which the requests that it has reported as waiting are served; 0 if it is not full,
        or did not report lately.
    answer_at : float
        Loop time at which a call that is sent as soon as possible is answered.
    """

    queue_seconds: float
    answer_at: float


class ServiceOutlook(NamedTuple):
    """What can be expected of the best copy of a service, in each respect.

    Attributes
    ----------
    refusal_rate : float
        Share of the recent calls to any copy that were turned away.
    repeats_left : float
        Repeats that the service's budget allows beyond those set aside for requests in progress.
    """

    queue_seconds: float
    answer_at: float
    refusal_rate: float
    repeats_left: float


UNAVAILABLE = ServiceOutlook(0.0, math.inf, 1.0, 0.0)


def copy_outlook(upstream: Upstream, usual_seconds: float, at: float) -> CopyOutlook:
    """Outlook for one upstream.

    Parameters
    ----------
    usual_seconds : float
        Time that a call of the route usually takes at an upstream with a free slot.
    """
    health = upstream.health
    slowdown = upstream.loads.slowdown(at)
    start = max(at, upstream.callable_at(at), health.refuses_until, health.ejected_until)
    queue_seconds = 0.0
    load = upstream.load
    if load is not None and load.is_recent(at):
        ahead = max(0, load.running + load.waiting + 1 - load.slots)
        queue_seconds = ahead / load.slots * usual_seconds * slowdown
    service_seconds = usual_seconds * slowdown * health.latency_ratio(at)
    return CopyOutlook(queue_seconds, start + queue_seconds + service_seconds)


def service_outlook(
    upstreams: Iterable[Upstream],
    usual_seconds: float,
    refusal_rate: float,
    repeats_left: float,
    at: float,
) -> ServiceOutlook:
    """Outlook for a service, from those of its upstreams that stay and are within reach."""
    copies = [copy_outlook(upstream, usual_seconds, at) for upstream in upstreams]
    if not copies:
        return UNAVAILABLE
    return ServiceOutlook(
        min(copy.queue_seconds for copy in copies),
        min(copy.answer_at for copy in copies),
        refusal_rate,
        repeats_left,
    )
