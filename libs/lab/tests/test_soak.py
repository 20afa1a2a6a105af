from __future__ import annotations

import unittest

from mimosahoist.lab.soak import run_soak

SECONDS = 8.0


class SoakTest(unittest.TestCase):
    """Fixed seeds of the randomised runs, under the paused clock."""

    def check(self, organisation: str, seed: int) -> None:
        soak = run_soak(organisation, seed, SECONDS)
        self.assertEqual(soak.violations, [], f"seed {seed}: {soak.faults.log}")
        self.assertGreater(soak.counts["shards answered"], 0)

    def test_tidy_bothy(self) -> None:
        self.check("tidy-bothy", 101)

    def test_lantern_grid(self) -> None:
        self.check("lantern-grid", 102)

    def test_runs_repeat_exactly(self) -> None:
        first, second = (run_soak("lantern-grid", 103, 3.0) for _ in range(2))
        self.assertEqual((first.counts, first.faults.log), (second.counts, second.faults.log))
