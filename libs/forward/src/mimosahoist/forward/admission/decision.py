"""Decides whether a request is begun, by its outlook and its rank; does no I/O.

Answers three loads, in all of which requests that were begun would end without an answer, and their
callers would learn it late:

- Copies of many shards cannot answer before the deadline. Nothing is begun.
- Copies turn many calls away, and the repeats that the services allow do not suffice to place the
  calls of all searches. As many are begun as the repeats suffice for; more urgent ones may use all,
  less urgent ones leave a part of them.
- Queues grow so long that the most urgent requests would be late. Less urgent ones are turned away,
  the more the later the urgent ones would be, but never all of them; callers that return after a
  refusal go before new ones.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from mimosahoist.forward.admission.outlook import ServiceOutlook

# Part of the repeats that each less urgent rank leaves to those before it.
RESERVED_SHARE_PER_RANK = 0.1
MAX_RESERVED_SHARE = 0.5
# Copies that turn away fewer calls than this are not scarce.
MIN_REFUSAL_RATE = 0.1
MAX_REFUSAL_RATE = 0.95
# Number of services by which chance decides as well as the estimate does.
ESTIMATE_MARGIN = 1.0
# Part of the urgent requests' time that may be spent in queues before others are turned away.
QUEUE_SHARE = 0.5
MAX_REJECTED_SHARE = 0.75
# Callers that return are turned away so much less often.
RETURN_ADVANTAGE = 0.5


class Reason(enum.StrEnum):
    """Why a request is not begun."""

    TOO_LATE = "no answer can be expected before the deadline"
    NO_REPEATS = "upstreams turn calls away, and no repeats are left for more of them"
    URGENT_FIRST = "queues are long, and more urgent requests go first"


class Rejection(NamedTuple):
    """A request that is not begun, and the loop time from which it may be."""

    reason: Reason
    possible_at: float


class Candidate(NamedTuple):
    """A request that is to be decided on.

    Attributes
    ----------
    required : int
        Number of services of which an answer is needed.
    rank : int
        Number of more urgent ranks among the requests for the same services.
    has_returned : bool
        Whether its caller was turned away before.
    urgent_seconds : float
        Target latency of the most urgent requests for the same services.
    """

    outlooks: list[ServiceOutlook]
    required: int
    rank: int
    has_returned: bool
    deadline: float
    urgent_seconds: float


def needed_repeats(refusal_rate: float) -> float:
    """Expected number of repeats until a call is taken, at a share of calls turned away."""
    if refusal_rate < MIN_REFUSAL_RATE:
        return 0.0
    rate = min(refusal_rate, MAX_REFUSAL_RATE)
    return rate / (1.0 - rate)


def possible_at(outlooks: list[ServiceOutlook], required: int) -> float:
    """Loop time at which the answers of enough services can be expected."""
    return sorted(outlook.answer_at for outlook in outlooks)[required - 1]


def expected_answers(candidate: Candidate) -> float:
    """Expected number of services that answer, with the repeats that a rank may use."""
    reserved = min(MAX_RESERVED_SHARE, RESERVED_SHARE_PER_RANK * candidate.rank)
    expected = 0.0
    for outlook in candidate.outlooks:
        needed = needed_repeats(outlook.refusal_rate)
        available = max(0.0, outlook.repeats_left * (1.0 - reserved))
        covered = 1.0 if available >= needed else available / needed
        expected += 1.0 - outlook.refusal_rate * (1.0 - covered)
    return expected


def rejected_share(candidate: Candidate) -> float:
    """Share of the requests of a rank that are turned away because queues are long."""
    if candidate.rank == 0:
        return 0.0
    queues = sorted(outlook.queue_seconds for outlook in candidate.outlooks)
    excess = queues[candidate.required - 1] / (QUEUE_SHARE * candidate.urgent_seconds) - 1.0
    share = min(MAX_REJECTED_SHARE, max(0.0, excess))
    return share * RETURN_ADVANTAGE if candidate.has_returned else share


def decide(candidate: Candidate, at: float, rng: random.Random) -> Rejection | None:
    """Decide on a request; None if it is begun.

    Parameters
    ----------
    rng : Random
        Draws the requests that belong to a share which is turned away.
    """
    answers_at = possible_at(candidate.outlooks, candidate.required)
    if answers_at > candidate.deadline:
        return Rejection(Reason.TOO_LATE, answers_at)
    if expected_answers(candidate) < candidate.required - ESTIMATE_MARGIN:
        return Rejection(Reason.NO_REPEATS, at)
    share = rejected_share(candidate)
    if share and rng.random() < share:
        return Rejection(Reason.URGENT_FIRST, at)
    return None
