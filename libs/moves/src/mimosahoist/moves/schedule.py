"""Schedule of a move: the new version's weight, its fraction of the traffic, over time."""

from __future__ import annotations

from typing import NamedTuple

STAGE_WEIGHTS = (0.02, 0.05, 0.10, 0.25, 0.50, 0.98)
FIRST_WEIGHT = STAGE_WEIGHTS[0]
CANARY_WEIGHT = 0.05
FINAL_BAKE_FRACTION = 0.2
RESERVE_FRACTION = 0.2


class Stage(NamedTuple):
    """A weight of the new version and the Unix time from which it is allowed."""

    weight: float
    begins: float


def make_schedule(started: float, deadline: float) -> list[Stage]:
    """Return the stages of a move, computed back from its deadline with a reserve.

    The last stage leaves a little traffic on the old version, which keeps it warm until the move
    is done.

    Parameters
    ----------
    started, deadline : float
        Unix times in seconds.
    """
    usable = (deadline - started) * (1 - RESERVE_FRACTION)
    ramp = usable * (1 - FINAL_BAKE_FRACTION)
    stage_seconds = ramp / len(STAGE_WEIGHTS)
    return [
        Stage(weight, started + index * stage_seconds) for index, weight in enumerate(STAGE_WEIGHTS)
    ]


def finish_time(started: float, deadline: float) -> float:
    """Return the Unix time from which a move without faults may finish."""
    return started + (deadline - started) * (1 - RESERVE_FRACTION)


def scheduled_weight(started: float, deadline: float, at: float) -> float:
    """Return the highest weight that the schedule allows at a Unix time."""
    allowed = [stage.weight for stage in make_schedule(started, deadline) if stage.begins <= at]
    return allowed[-1] if allowed else 0.0
