"""Which revisions count as known."""

from __future__ import annotations

import random
import unittest

from mimosahoist.forward.revision_tracker import MOST_KEPT, RevisionTracker


class AccountedRevisionsTest(unittest.TestCase):
    def test_gap_keeps_later_revisions_from_counting(self) -> None:
        known = RevisionTracker()
        known.advance_to(10)
        for revision in (12, 13):
            known.note(revision)
        self.assertTrue(known.covers(10))
        self.assertFalse(known.covers(13))
        known.note(11)
        self.assertTrue(known.covers(13))

    def test_any_order_gives_the_same(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            revisions = list(range(1, 60))
            rng.shuffle(revisions)
            known = RevisionTracker()
            for revision in revisions:
                known.note(revision)
            self.assertEqual((known.base, known.above), (59, set()))

    def test_settling_goes_over_gaps_and_never_back(self) -> None:
        known = RevisionTracker()
        known.note(7)
        known.advance_to(6)
        self.assertEqual(known.base, 7)
        known.advance_to(3)
        self.assertEqual(known.base, 7)

    def test_memory_is_bounded(self) -> None:
        known = RevisionTracker()
        for revision in range(2, 3 * MOST_KEPT):
            known.note(revision)
        self.assertLessEqual(len(known.above), MOST_KEPT)
