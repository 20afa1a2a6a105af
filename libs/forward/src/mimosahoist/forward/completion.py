"""When a gathering search is answered: decision without any network.

An answer earns by the square of its coverage while its aim holds, and little later. So a search
waits for all parts until just before the aim, then takes what it has if the floor is met. It does
not wait for shards that have shown no sign of life, unless the floor cannot be met without them.
The load it answers: shards that pause, are slow, full for a moment, dark or lost.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

LATE_PATIENCE = 0.5


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
    hopeful: int
    doubtful: int
    total: int
    needed: int
    arrived: float
    cut: float
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
    needed = 0
    while needed < total and needed / total < min_coverage:
        needed += 1
    return max(1, needed)


def decide(progress: Progress, at: float) -> Decision:
    """Answer, fail or wait."""
    if progress.answered == progress.total:
        return Decision(Verdict.ANSWER)
    enough = progress.answered >= progress.needed
    if at >= progress.deadline:
        return Decision(Verdict.ANSWER if enough else Verdict.FAIL)
    if not enough:
        possible = progress.answered + progress.hopeful + progress.doubtful
        if possible < progress.needed:
            return Decision(Verdict.FAIL)
        return Decision(Verdict.WAIT, progress.deadline)
    if progress.hopeful == 0:
        return Decision(Verdict.ANSWER)
    cut = progress.cut
    if cut <= progress.arrived:
        cut = progress.arrived + LATE_PATIENCE * max(0.0, progress.deadline - progress.arrived)
    if at >= cut:
        return Decision(Verdict.ANSWER)
    return Decision(Verdict.WAIT, min(cut, progress.deadline))
