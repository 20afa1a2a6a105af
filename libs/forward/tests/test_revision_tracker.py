"""Tests that the tracker covers a revision only if all changes up to it were delivered."""

from __future__ import annotations

import random
import unittest

from mimosahoist.forward.revision_tracker import MAX_PENDING_REVISIONS, RevisionTracker


class RevisionTrackerTest(unittest.TestCase):
    def test_revisions_after_a_gap_are_not_covered(self) -> None:
        tracker = RevisionTracker()
        tracker.advance_to(10)
        for revision in (12, 13):
            tracker.add(revision)
        self.assertTrue(tracker.covers(10))
        self.assertFalse(tracker.covers(13))
        tracker.add(11)
        self.assertTrue(tracker.covers(13))

    def test_result_is_independent_of_the_order(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            revisions = list(range(1, 60))
            rng.shuffle(revisions)
            tracker = RevisionTracker()
            for revision in revisions:
                tracker.add(revision)
            self.assertEqual((tracker.known_through, tracker.pending), (59, set()))

    def test_advance_to_skips_gaps_and_never_goes_back(self) -> None:
        tracker = RevisionTracker()
        tracker.add(7)
        tracker.advance_to(6)
        self.assertEqual(tracker.known_through, 7)
        tracker.advance_to(3)
        self.assertEqual(tracker.known_through, 7)

    def test_number_of_pending_revisions_is_bounded(self) -> None:
        tracker = RevisionTracker()
        for revision in range(2, 3 * MAX_PENDING_REVISIONS):
            tracker.add(revision)
        self.assertLessEqual(len(tracker.pending), MAX_PENDING_REVISIONS)
