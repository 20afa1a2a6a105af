"""Schedule of a rollout: decides phase and weight, without I/O.

A faulty version may fail at once, later, only under load or only on one route, and must get little
traffic before that shows. Therefore a small share of the calls goes to it until late, a larger
share during a short trial, and all calls only shortly before the time limit, while their outcomes
are still evaluated.
"""

from __future__ import annotations

from typing import NamedTuple

from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState

CANARY_WEIGHT = 0.04
TRIAL_WEIGHT = 0.25
FULL_WEIGHT = 1.0
TRIAL_SECONDS = 2.0
FINISHING_SECONDS = 3.5
FINISHING_SHARE = 0.2
ROLLBACK_MARGIN_SECONDS = 0.5
SETTLE_SECONDS = 0.8


class RolloutObservation(NamedTuple):
    """Observations of an instance from which the next step of a rollout is decided.

    Attributes
    ----------
    elapsed : float
        Seconds since the rollout was ordered.
    since_change : float
        Seconds since this instance last saw the stored state change.
    rejection_reason : str or None
        Why an instance rejected the target version, or None if none has.
    target_has_capacity : bool
        Whether the target's upstreams can carry all traffic of the service.
    all_confirmed : bool
        Whether all instances have confirmed that no call at another version is left.
    """

    elapsed: float
    since_change: float
    rejection_reason: str | None
    target_has_capacity: bool
    all_confirmed: bool


def finishing_start(time_limit: float) -> float:
    """Seconds after the order from which all traffic may go to the target."""
    return max(time_limit / 2, time_limit - max(FINISHING_SECONDS, FINISHING_SHARE * time_limit))


def next_step(rollout: Rollout, observed: RolloutObservation) -> tuple[RolloutPhase, float]:
    """Phase and weight that the rollout should have now."""
    state = rollout.state
    if state.ended:
        return state.phase, state.weight
    if observed.rejection_reason is not None:
        return RolloutPhase.ROLLED_BACK, 0.0
    if state.phase is RolloutPhase.FINISHING:
        if not observed.target_has_capacity:
            return RolloutPhase.ROLLED_BACK, 0.0
        if observed.all_confirmed and observed.since_change >= SETTLE_SECONDS:
            return RolloutPhase.COMPLETED, FULL_WEIGHT
        if observed.elapsed >= rollout.time_limit_seconds - ROLLBACK_MARGIN_SECONDS:
            return RolloutPhase.ROLLED_BACK, 0.0
        return state.phase, state.weight
    if observed.elapsed >= rollout.time_limit_seconds - ROLLBACK_MARGIN_SECONDS:
        return RolloutPhase.ROLLED_BACK, 0.0
    start = finishing_start(rollout.time_limit_seconds)
    if observed.elapsed < start - TRIAL_SECONDS or not observed.target_has_capacity:
        return RolloutPhase.RUNNING, max(CANARY_WEIGHT, state.weight)
    trial_done = state.weight >= TRIAL_WEIGHT and observed.since_change >= TRIAL_SECONDS / 2
    if observed.elapsed < start or not trial_done:
        return RolloutPhase.RUNNING, TRIAL_WEIGHT
    return RolloutPhase.FINISHING, FULL_WEIGHT


def next_state(rollout: Rollout, observed: RolloutObservation, at: float) -> RolloutState | None:
    """State to store now, or None if it is already stored.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    """
    phase, weight = next_step(rollout, observed)
    if (phase, weight) == (rollout.state.phase, rollout.state.weight):
        return None
    return RolloutState(phase, weight, observed.elapsed, at)
