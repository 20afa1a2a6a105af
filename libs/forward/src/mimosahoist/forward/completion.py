"""When a gathering search is answered: decision without any network.

An answer earns by the square of its coverage while its aim holds, and little later. So a search
waits for all parts until just before the aim, then takes what it has if the floor is met. It does
not wait for shards that have shown no sign of life, unless the floor cannot be met without them.
The load it answers: shards that pause, are slow, full for a moment, dark or lost.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

LATE_WAIT_SHARE = 0.5


class Progress(NamedTuple):
    """State of a search; times are loop times in seconds.

    Attributes
    ----------
    answered, hopeful, doubtful, total : int
        Shards with a part; shards of which a call is under way or an upstream will soon have
        room; shards whose upstreams all failed just now but may come back; all shards.
    needed : int
        Parts without which the answer is no success.
    cut : float
        Latest time at which an answer still reaches the caller before its aim.
    """

    answered: int
    pending: int
    uncertain: int
    total: int
    required: int
    arrived: float
    soft_cutoff: float
    deadline: float


class Verdict(enum.Enum):
    """What to do with a search now."""

    ANSWER = "answer"
    FAIL = "fail"
    WAIT = "wait"


class Decision(NamedTuple):
    """A verdict, and until when to wait at most."""

    verdict: Verdict
    until: float = 0.0


def required_parts(total: int, min_coverage: float) -> int:
    """Fewest parts whose share is at least `min_coverage`."""
    required = 0
    while required < total and required / total < min_coverage:
        required += 1
    return max(1, required)


def decide(progress: Progress, at: float) -> Decision:
    """Answer, fail or wait."""
    if progress.answered == progress.total:
        return Decision(Verdict.ANSWER)
    enough = progress.answered >= progress.required
    if at >= progress.deadline:
        return Decision(Verdict.ANSWER if enough else Verdict.FAIL)
    if not enough:
        possible = progress.answered + progress.pending + progress.uncertain
        if possible < progress.required:
            return Decision(Verdict.FAIL)
        return Decision(Verdict.WAIT, progress.deadline)
    if progress.pending == 0:
        return Decision(Verdict.ANSWER)
    cutoff = progress.soft_cutoff
    if cutoff <= progress.arrived:
        cutoff = progress.arrived + LATE_WAIT_SHARE * max(0.0, progress.deadline - progress.arrived)
    if at >= cutoff:
        return Decision(Verdict.ANSWER)
    return Decision(Verdict.WAIT, min(cutoff, progress.deadline))
