"""When a rollout advances: decision without any network.

The load it answers: a version may be bad at once, later, only under load or only on one route, and
must get little traffic before that shows. So a small share runs until late, a larger one for a
moment, and all of it only just before the end, while every answer is still judged.
"""

from __future__ import annotations

from typing import NamedTuple

from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState

CANARY_WEIGHT = 0.04
TRIAL_WEIGHT = 0.25
FULL_WEIGHT = 1.0
TRIAL_SECONDS = 2.0
FINISH_SECONDS = 3.5
FINISH_SHARE = 0.2
LAST_SECONDS = 0.5
SETTLE_SECONDS = 0.8


class RolloutSigns(NamedTuple):
    """What an instance knows of a rollout.

    Attributes
    ----------
    elapsed : float
        Seconds since the order.
    in_phase : float
        Seconds since the stored state changed last, as seen here.
    fault : str or None
        Why the target version is bad, if any instance found so.
    able : bool
        Whether the target's upstreams could carry the service's whole traffic.
    confirmed : bool
        Whether no instance has a call at another version any more.
    """

    elapsed: float
    in_phase: float
    fault: str | None
    able: bool
    confirmed: bool


def finish_begins(seconds: float) -> float:
    """Seconds after an order at which all traffic may move."""
    return max(seconds / 2, seconds - max(FINISH_SECONDS, FINISH_SHARE * seconds))


def next_step(order: Rollout, signs: RolloutSigns) -> tuple[RolloutPhase, float]:
    """Phase and weight that the rollout should have now."""
    state = order.state
    if state.ended:
        return state.phase, state.weight
    if signs.fault is not None:
        return RolloutPhase.ROLLED_BACK, 0.0
    if state.phase is RolloutPhase.FINISHING:
        if not signs.able:
            return RolloutPhase.ROLLED_BACK, 0.0
        if signs.confirmed and signs.in_phase >= SETTLE_SECONDS:
            return RolloutPhase.COMPLETED, FULL_WEIGHT
        if signs.elapsed >= order.time_limit_seconds - LAST_SECONDS:
            return RolloutPhase.ROLLED_BACK, 0.0
        return state.phase, state.weight
    if signs.elapsed >= order.time_limit_seconds - LAST_SECONDS:
        return RolloutPhase.ROLLED_BACK, 0.0
    begins = finish_begins(order.time_limit_seconds)
    if signs.elapsed < begins - TRIAL_SECONDS or not signs.able:
        return RolloutPhase.RUNNING, max(CANARY_WEIGHT, state.weight)
    tried = state.weight >= TRIAL_WEIGHT and signs.in_phase >= TRIAL_SECONDS / 2
    if signs.elapsed < begins or not tried:
        return RolloutPhase.RUNNING, TRIAL_WEIGHT
    return RolloutPhase.FINISHING, FULL_WEIGHT


def next_state(order: Rollout, signs: RolloutSigns, at: float) -> RolloutState | None:
    """State to store now, or None if the stored one is right.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    """
    phase, weight = next_step(order, signs)
    if (phase, weight) == (order.state.phase, order.state.weight):
        return None
    return RolloutState(phase, weight, signs.elapsed, at)
