"""Tracking of the store revisions that delivered changes cover, to detect missed changes."""

from __future__ import annotations

MAX_PENDING_REVISIONS = 4096


class RevisionTracker:
    """Delivered revisions, used to detect a change in the store that no watch or peer delivered.

    The store increments its revision for every change of any kind, so a gap in the delivered
    revisions is a missed change. The watch of one kind can stall while those of others continue,
    so the highest delivered revision alone proves nothing.

    Attributes
    ----------
    known_through : int
        All changes up to this revision are known.
    pending : set of int
        Delivered revisions beyond the first gap.
    """

    def __init__(self) -> None:
        self.known_through = 0
        self.pending: set[int] = set()

    def add(self, revision: int) -> None:
        """Add the revision of a delivered change."""
        if revision > self.known_through:
            self.pending.add(revision)
            self.advance()
        if len(self.pending) > MAX_PENDING_REVISIONS:
            self.pending.discard(min(self.pending))

    def advance_to(self, revision: int) -> None:
        """Mark all changes up to a revision as known."""
        if revision > self.known_through:
            self.known_through = revision
            self.pending = {later for later in self.pending if later > revision}
            self.advance()

    def advance(self) -> None:
        """Advance `known_through` up to the next gap."""
        while self.known_through + 1 in self.pending:
            self.known_through += 1
            self.pending.discard(self.known_through)

    def covers(self, revision: int) -> bool:
        """Whether all changes up to a revision are known."""
        return revision <= self.known_through
