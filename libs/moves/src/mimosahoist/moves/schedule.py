"""Weights over time, computed back from a move's deadline."""

from __future__ import annotations

from typing import NamedTuple

STAGES = (0.02, 0.05, 0.10, 0.25, 0.50, 0.98)
FIRST_WEIGHT = STAGES[0]
CANARY_WEIGHT = 0.05
FINAL_BAKE_SHARE = 0.2
RESERVE_SHARE = 0.2


class Stage(NamedTuple):
    """A weight and the Unix time at which it may begin."""

    weight: float
    begins: float


def make_schedule(started: float, deadline: float) -> list[Stage]:
    """Stages that end before the deadline with a reserve.

    The last stage keeps a little traffic on the old version, so that it stays warm until the
    move is done.

    Parameters
    ----------
    started, deadline : float
        Unix times in seconds.
    """
    length = (deadline - started) * (1 - RESERVE_SHARE)
    climb = length * (1 - FINAL_BAKE_SHARE)
    step = climb / len(STAGES)
    return [Stage(weight, started + index * step) for index, weight in enumerate(STAGES)]


def finish_time(started: float, deadline: float) -> float:
    """Unix time from which a move without faults may be called done."""
    return started + (deadline - started) * (1 - RESERVE_SHARE)


def scheduled_weight(started: float, deadline: float, at: float) -> float:
    """Highest weight that the schedule allows at a time."""
    allowed = [stage.weight for stage in make_schedule(started, deadline) if stage.begins <= at]
    return allowed[-1] if allowed else 0.0
