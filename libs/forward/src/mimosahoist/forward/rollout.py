"""Data model of rollouts, which move a service's calls to upstreams of another version."""

from __future__ import annotations

import enum
from typing import NamedTuple

from mimosahoist.forward.version_history import VersionRecord


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout."""

    ORDERED = "ordered"
    RUNNING = "running"
    TRIAL = "trial"
    FINISHING = "finishing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


TERMINAL_PHASES = (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RolloutState(NamedTuple):
    """Progress of a rollout as held in the store.

    Attributes
    ----------
    weight : float
        Share of the service's calls that go to the target version.
    elapsed : float
        Seconds from the order of the rollout to the write of this state.
    written_at : float
        Unix time of the write in seconds, by the writer's clock.
    """

    phase: RolloutPhase = RolloutPhase.ORDERED
    weight: float = 0.0
    elapsed: float = 0.0
    written_at: float = 0.0

    @property
    def ended(self) -> bool:
        """Whether the phase is terminal, so that the state no longer changes."""
        return self.phase in TERMINAL_PHASES


class Rollout(NamedTuple):
    """Rollout as ordered by the operator, with its stored progress.

    Attributes
    ----------
    created : int
        Distinguishes the rollout's object from others of the same name.
    ordered_at : int
        Revision at which the order was written; distinguishes it from others of the object.
    versions : tuple of VersionRecord
        What was known of the service's versions when the progress was stored.
    time_limit_seconds : float
        Time after the order within which the rollout must be completed.
    """

    service: str
    target: str
    time_limit_seconds: float
    created: int = 0
    state: RolloutState = RolloutState()
    ordered_at: int = 0
    versions: tuple[VersionRecord, ...] = ()

    @property
    def key(self) -> str:
        """Identity of this rollout in the keys of shared facts."""
        return f"{self.service}/{self.target}/{self.created}/{self.ordered_at}"
