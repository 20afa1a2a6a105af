"""Orders to move a service to another version of its upstreams, and how far they are."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RolloutPhase(enum.StrEnum):
    """How far a rollout is."""

    ORDERED = "ordered"
    RUNNING = "running"
    FINISHING = "finishing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


ENDED = (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RolloutState(NamedTuple):
    """What the store holds of a rollout's progress.

    Attributes
    ----------
    weight : float
        Share of the service's calls that go to the target version.
    elapsed : float
        Seconds since the order, when this was written.
    written_at : float
        Unix time in seconds at which it was written, by the writer's clock.
    """

    phase: RolloutPhase = RolloutPhase.ORDERED
    weight: float = 0.0
    elapsed: float = 0.0
    written_at: float = 0.0

    @property
    def ended(self) -> bool:
        """Whether nothing can change any more."""
        return self.phase in ENDED


class Rollout(NamedTuple):
    """An order of the operator, with the progress stored beside it.

    Attributes
    ----------
    created : int
        Identity of the order's object among those of the same name.
    time_limit_seconds : float
        Time from the order by which it must be completed.
    """

    service: str
    target: str
    time_limit_seconds: float
    created: int = 0
    state: RolloutState = RolloutState()

    @property
    def key(self) -> str:
        """Name of this very order, for facts about it."""
        return f"{self.service}/{self.target}/{self.created}"
