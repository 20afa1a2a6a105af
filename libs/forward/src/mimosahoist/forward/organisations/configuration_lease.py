"""Decides whether this instance may rely on its configuration's keys; does no I/O.

Answers keys that are taken away while instances are cut off from the store or from each other: one
that cannot tell whether its configuration is the current one must not take keys for longer than the
revocation time allows.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# The rest of the revocation time covers the time that a request takes to reach this instance.
LEASE_SHARE = 0.8


class ConfigurationPosition(NamedTuple):
    """Version of a configuration and the store position at which it was written."""

    version: int = 0
    revision: int = 0


class ConfigurationLease:
    """Time until which the configuration in force counts as current.

    All times are in seconds on the clock that counts suspensions of the machine.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the configuration in force is known to have been the store's.
    """

    def __init__(self, revocation_seconds: float) -> None:
        self.set_revocation(revocation_seconds)
        self.confirmed_at = -math.inf

    def set_revocation(self, seconds: float) -> None:
        """Set the time within which a key that was taken away must be refused; 0 for no limit."""
        self.seconds = LEASE_SHARE * seconds

    @property
    def required(self) -> bool:
        """Whether keys may be taken under a lease only."""
        return self.seconds > 0

    def confirm(self, at: float) -> None:
        """Extend the lease: the configuration in force was current at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def confirm_by_peer(
        self, asked_at: float, age: float, theirs: ConfigurationPosition, own: ConfigurationPosition
    ) -> bool:
        """Extend the lease by what a peer answered; return whether it applies here.

        Parameters
        ----------
        asked_at : float
            When the peer was asked. The peer's age is counted from it, so that the time that the
            messages took shortens the lease.
        age : float
            Seconds since the peer knew that its configuration was current, when it answered.
        theirs, own : ConfigurationPosition
            The peer's configuration when it answered, and the one in force here.
        """
        if own < theirs:
            return False
        self.confirm(asked_at - max(0.0, age))
        return True

    def age(self, at: float) -> float:
        """Seconds since the configuration was last known to be current."""
        return at - self.confirmed_at

    def holds(self, at: float) -> bool:
        """Whether keys may be taken."""
        return not self.required or self.age(at) < self.seconds
