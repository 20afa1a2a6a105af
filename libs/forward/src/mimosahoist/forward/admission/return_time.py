"""Decides when the callers of a rejected request should return; does no I/O.

Answers three loads. If upstreams are full or refuse calls for a moment, callers return soon, spread
over a short time. If upstreams ask for a wait, callers return once the first of them may be called
again. If a network partition cuts an instance off from upstreams that a
route needs, it reports itself as not ready, but the load balancer sends it new connections until it
has missed several checks: a caller that returns sooner is rejected by the same instance again, and
callers retry only a few times.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# The load balancer checks readiness once a second and reacts to the second miss.
ROTATION_CHANGE_SECONDS = 2.2
MIN_RETURN_SECONDS = 0.05
# Callers that were rejected in the same moment return over this time.
RETURN_SPREAD_SECONDS = 0.2
# Upstreams that are full or refuse calls are expected to accept calls again within this time.
SOON_RANGE_SECONDS = (0.05, 0.25)


def return_soon(rng: random.Random) -> float:
    """Seconds until a caller should retry after upstreams had no capacity."""
    return rng.uniform(*SOON_RANGE_SECONDS)


def return_after_wait(callable_at: float, at: float, rng: random.Random) -> float:
    """Seconds until a caller should retry after upstreams asked for a wait or named a limit.

    Parameters
    ----------
    callable_at : float
        Loop time in seconds from which enough upstreams may be called by this instance; infinite
        if they may not, while other instances may call them.
    """
    if not at < callable_at < math.inf:
        return return_soon(rng)
    return max(MIN_RETURN_SECONDS, callable_at - at) + rng.uniform(0.0, RETURN_SPREAD_SECONDS)


def return_to_another_instance(unable_since: float, at: float, rng: random.Random) -> float:
    """Seconds until a new connection of a caller reaches an instance that can serve it.

    Parameters
    ----------
    unable_since : float
        Loop time in seconds from which this instance has reported that it is not ready.
    """
    left = max(MIN_RETURN_SECONDS, unable_since + ROTATION_CHANGE_SECONDS - at)
    return left + rng.uniform(0.0, RETURN_SPREAD_SECONDS)
