"""Schedule of a rollout: decides phase and weight, without I/O.

A faulty version may fail at once, later, only under load or only on one route. Its calls until the
rollout ends are bounded (`rollout_exposure`), so most of them are kept for the last step, in which
it gets all traffic and is still judged: that step comes late and is as short as the judgement
allows. A part of the rest is spent on a small share from early on, and the remainder on a larger
share in the trial just before the last step.
"""

from __future__ import annotations

from typing import NamedTuple

from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.rollout import Rollout, RolloutPhase, RolloutState
from mimosahoist.forward.rollout_exposure import Exposure

CANARY_CALLS = 20.0
MIN_CANARY_WEIGHT = 0.01
MAX_CANARY_WEIGHT = 0.2
MAX_TRIAL_WEIGHT = 0.4
# Share of the calls beyond the reserve that the trial takes.
TRIAL_SPENDING_SHARE = 0.6
# Share of the reserve with which the last step is begun all the same.
MIN_RESERVE_SHARE = 0.9
FULL_WEIGHT = 1.0
# Requests are counted for so long before any goes to the target; many instances take longer to
# hear of each other's counts.
COUNTING_SECONDS = 1.0
LARGE_FLEET_INSTANCES = 16
LARGE_FLEET_COUNTING_SECONDS = 3.5
MAX_COUNTING_SHARE = 0.3
TRIAL_SECONDS = 1.6
# From the order to finish until all instances have learnt it and written the outcome.
FINISHING_OVERHEAD_SECONDS = 0.3
# Time kept for another instance to write the outcome, and for the store to accept it.
COMPLETION_MARGIN_SECONDS = 1.1
ROLLBACK_MARGIN_SECONDS = 0.5
# Time with all traffic in which a fault under load must have had the chance to show.
MIN_SETTLE_SECONDS = 0.8
MAX_SETTLE_SECONDS = 1.5
# Share of the allowance that a last step longer than necessary may take.
SETTLE_ALLOWANCE_SHARE = 0.5
# A slow answer is known when it arrives, or when it has taken so much longer than usual.
SETTLE_ANSWER_MULTIPLE = 5.0
SETTLE_REPORT_SECONDS = 0.3


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
    exposure : Exposure
        What the target has had so far.
    doubt : str or None
        Why the target cannot be accepted yet, or None if nothing speaks against it.
    typical_seconds : float
        Typical time of an answer on the service's slowest route.
    instances : int
        Number of instances that are alive.
    target_in_service : bool
        Whether the target carried the service's calls before the order.
    """

    elapsed: float
    since_change: float
    rejection_reason: str | None
    target_has_capacity: bool
    all_confirmed: bool
    exposure: Exposure = Exposure()
    doubt: str | None = None
    typical_seconds: float = 0.0
    instances: int = 1
    target_in_service: bool = False


class RolloutPlan:
    """Decides the next step of one rollout from what an instance observes."""

    def __init__(
        self, rollout: Rollout, observed: RolloutObservation, bounds: SharedBounds
    ) -> None:
        self.state = rollout.state
        self.observed = observed
        self.seconds_left = rollout.time_limit_seconds - observed.elapsed
        self.remaining = observed.exposure.remaining(bounds, self.seconds_left)
        self.rate = observed.exposure.request_rate
        self.settle_seconds = self.choose_settle_seconds()
        self.finishing_seconds = self.settle_seconds + FINISHING_OVERHEAD_SECONDS

    def choose_settle_seconds(self) -> float:
        """Time with all traffic after which a fault under load has shown; longer if affordable."""
        answers = SETTLE_ANSWER_MULTIPLE * self.observed.typical_seconds + SETTLE_REPORT_SECONDS
        allowance = self.remaining + self.observed.exposure.numbers.target_requests
        affordable = SETTLE_ALLOWANCE_SHARE * allowance / max(1.0, self.rate)
        wanted = min(MAX_SETTLE_SECONDS, affordable - FINISHING_OVERHEAD_SECONDS)
        return round(max(MIN_SETTLE_SECONDS, answers, wanted), 1)

    @property
    def counting_seconds(self) -> float:
        """Seconds from the order in which requests are only counted."""
        is_large = self.observed.instances > LARGE_FLEET_INSTANCES
        seconds = LARGE_FLEET_COUNTING_SECONDS if is_large else COUNTING_SECONDS
        return min(seconds, MAX_COUNTING_SHARE * (self.seconds_left + self.observed.elapsed))

    @property
    def seconds_to_finishing(self) -> float:
        """Seconds until all traffic may go to the target."""
        reserved = self.finishing_seconds + COMPLETION_MARGIN_SECONDS
        return self.seconds_left - reserved

    @property
    def reserved_calls(self) -> float:
        """Calls that the last step takes."""
        return self.rate * self.finishing_seconds

    def next_step(self) -> tuple[RolloutPhase, float]:
        """Phase and weight that the rollout should have now."""
        state, observed = self.state, self.observed
        if state.ended:
            return state.phase, state.weight
        if observed.target_in_service and observed.target_has_capacity:
            return self.confirming_step()
        if observed.rejection_reason is not None or self.seconds_left <= ROLLBACK_MARGIN_SECONDS:
            return RolloutPhase.ROLLED_BACK, 0.0
        if state.phase is RolloutPhase.FINISHING:
            return self.finishing_step()
        if state.phase is RolloutPhase.ORDERED and observed.elapsed < self.counting_seconds:
            return state.phase, state.weight
        if state.phase is RolloutPhase.TRIAL:
            return self.trial_step()
        if self.seconds_to_finishing > TRIAL_SECONDS or not observed.target_has_capacity:
            return RolloutPhase.RUNNING, state.weight or self.canary_weight()
        return RolloutPhase.TRIAL, self.trial_weight()

    def confirming_step(self) -> tuple[RolloutPhase, float]:
        """Phase and weight of a target that carries the calls already and needs no trial."""
        if self.state.phase is RolloutPhase.FINISHING and self.observed.all_confirmed:
            return RolloutPhase.COMPLETED, FULL_WEIGHT
        return RolloutPhase.FINISHING, FULL_WEIGHT

    def trial_step(self) -> tuple[RolloutPhase, float]:
        """Phase and weight in the trial: the last step follows if it is affordable."""
        if self.remaining < MIN_RESERVE_SHARE * self.reserved_calls:
            return RolloutPhase.ROLLED_BACK, 0.0
        observed = self.observed
        is_due = self.seconds_to_finishing <= 0.0 and observed.since_change >= TRIAL_SECONDS / 2
        if is_due and observed.target_has_capacity and observed.doubt is None:
            return RolloutPhase.FINISHING, FULL_WEIGHT
        return self.state.phase, self.state.weight

    def finishing_step(self) -> tuple[RolloutPhase, float]:
        """Phase and weight while all traffic goes to the target."""
        observed = self.observed
        if not observed.target_has_capacity or self.remaining <= 0.0:
            return RolloutPhase.ROLLED_BACK, 0.0
        has_settled = observed.since_change >= self.settle_seconds
        if observed.all_confirmed and has_settled and observed.doubt is None:
            return RolloutPhase.COMPLETED, FULL_WEIGHT
        return self.state.phase, self.state.weight

    def canary_weight(self) -> float:
        """Share that spreads the first calls over the time until the trial."""
        seconds = max(TRIAL_SECONDS, self.seconds_to_finishing - TRIAL_SECONDS)
        calls = min(CANARY_CALLS, self.remaining / 2)
        return clamp(calls / max(1.0, self.rate * seconds), MIN_CANARY_WEIGHT, MAX_CANARY_WEIGHT)

    def trial_weight(self) -> float:
        """Share that spends in the trial what the last step leaves."""
        calls = TRIAL_SPENDING_SHARE * (self.remaining - self.reserved_calls)
        share = calls / max(1.0, self.rate * TRIAL_SECONDS)
        return clamp(share, MIN_CANARY_WEIGHT, MAX_TRIAL_WEIGHT)


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return a value within bounds, rounded so that instances decide alike."""
    return round(min(highest, max(lowest, value)), 3)


def next_step(
    rollout: Rollout, observed: RolloutObservation, bounds: SharedBounds
) -> tuple[RolloutPhase, float]:
    """Phase and weight that the rollout should have now."""
    return RolloutPlan(rollout, observed, bounds).next_step()


def next_state(
    rollout: Rollout, observed: RolloutObservation, bounds: SharedBounds, at: float
) -> RolloutState | None:
    """State to store now, or None if it is already stored.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    """
    phase, weight = next_step(rollout, observed, bounds)
    if (phase, weight) == (rollout.state.phase, rollout.state.weight):
        return None
    return RolloutState(phase, weight, observed.elapsed, at)
