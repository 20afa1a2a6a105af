"""Decides when a search is answered; does no I/O.

The credit for an answer is the square of its coverage until the soft deadline, and little after
it. A search therefore waits for all parts until just before the soft deadline, then answers with
the parts it has if the minimum coverage is met. It does not wait for shards whose upstreams do not
respond, unless the minimum coverage cannot be met without them. This handles shards that pause,
are slow, temporarily at capacity, silent or lost.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

# Share of the time to its deadline that a request waits if it arrives after its soft cutoff.
LATE_WAIT_SHARE = 0.5


class Progress(NamedTuple):
    """Snapshot of a search; times are loop times in seconds.

    Attributes
    ----------
    answered, pending, uncertain, total : int
        Shards with a part; shards with a call in flight or an upstream that should soon have
        capacity; shards whose upstreams all failed recently but may recover; all shards.
    required : int
        Number of parts below which the answer is not a success.
    soft_cutoff : float
        Latest time at which an answer still reaches the caller before the soft deadline.
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
    """What to do with a search."""

    ANSWER = "answer"
    FAIL = "fail"
    WAIT = "wait"


class Decision(NamedTuple):
    """A verdict, and for `WAIT` the loop time in seconds at which to decide again at the latest."""

    verdict: Verdict
    until: float = 0.0


def required_parts(total: int, min_coverage: float) -> int:
    """Smallest number of parts, at least one, whose share is at least `min_coverage`."""
    required = 0
    while required < total and required / total < min_coverage:
        required += 1
    return max(1, required)


def answer_cutoff(arrived: float, soft_cutoff: float, deadline: float) -> float:
    """Loop time until which a search with enough parts waits for the others."""
    if soft_cutoff <= arrived:
        return arrived + LATE_WAIT_SHARE * max(0.0, deadline - arrived)
    return soft_cutoff


def decide(progress: Progress, at: float) -> Decision:
    """Decide whether to answer, fail or wait."""
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
    cutoff = answer_cutoff(progress.arrived, progress.soft_cutoff, progress.deadline)
    if at >= cutoff:
        return Decision(Verdict.ANSWER)
    return Decision(Verdict.WAIT, min(cutoff, progress.deadline))
