from __future__ import annotations

import unittest

from mimosahoist.lab.soak import run_soak

DURATION_SECONDS = 8.0


class SoakTest(unittest.TestCase):
    """Soak tests with fixed seeds, under the paused clock."""

    def assert_no_violations(self, organisation: str, seed: int) -> None:
        soak = run_soak(organisation, seed, DURATION_SECONDS)
        self.assertEqual(soak.violations, [], f"seed {seed}: {soak.faults.log}")
        self.assertGreater(soak.counts["shards answered"], 0)

    def test_tidy_bothy(self) -> None:
        self.assert_no_violations("tidy-bothy", 101)

    def test_lantern_grid(self) -> None:
        self.assert_no_violations("lantern-grid", 102)

    def test_same_seed_repeats_counts_and_faults(self) -> None:
        first, second = (run_soak("lantern-grid", 103, 3.0) for _ in range(2))
        self.assertEqual((first.counts, first.faults.log), (second.counts, second.faults.log))
