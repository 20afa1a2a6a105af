"""Which of the store's revisions are accounted for by changes that were delivered."""

from __future__ import annotations

MOST_KEPT = 4096


class RevisionTracker:
    """Notes delivered revisions, to find out whether the store has a change that nobody told.

    The store counts every change, whatever its kind, so a revision that no delivered change bears
    is one that a watch did not tell. A watch of one kind can be deaf while those of others go on,
    so the greatest delivered revision alone proves nothing.

    Attributes
    ----------
    base : int
        All changes up to this revision are known.
    """

    def __init__(self) -> None:
        self.base = 0
        self.above: set[int] = set()

    def note(self, revision: int) -> None:
        """Count a delivered change."""
        if revision > self.base:
            self.above.add(revision)
            self.advance()
        if len(self.above) > MOST_KEPT:
            self.above.discard(min(self.above))

    def advance_to(self, revision: int) -> None:
        """Take everything up to a revision as known."""
        if revision > self.base:
            self.base = revision
            self.above = {later for later in self.above if later > revision}
            self.advance()

    def advance(self) -> None:
        """Raise the base over revisions without a gap."""
        while self.base + 1 in self.above:
            self.base += 1
            self.above.discard(self.base)

    def covers(self, revision: int) -> bool:
        """Whether all changes up to a revision are known."""
        return revision <= self.base
