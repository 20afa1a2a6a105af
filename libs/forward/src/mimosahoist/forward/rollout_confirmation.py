"""Confirmations by instances that they send calls to a rollout's target only."""

from __future__ import annotations

from typing import Any

from mimosahoist.peers.facts import FactKind

CONFIRMED_PREFIX = "confirmed/"


class ConfirmationFacts(FactKind):
    """Revision of a rollout at which an instance has no call left at other versions."""

    prefix = CONFIRMED_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is a revision."""
        return isinstance(value, int)

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later revision."""
        return max(held, received)
