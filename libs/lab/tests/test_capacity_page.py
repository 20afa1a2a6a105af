from __future__ import annotations

import unittest
from pathlib import Path

import msgspec

from mimosahoist.lab.capacity_page import fit_line, render_page, target_load

ROOT = Path(__file__).resolve().parents[3]


class CapacityPageTest(unittest.TestCase):
    def test_page_matches_measured_figures(self) -> None:
        figures = msgspec.json.decode((ROOT / "measurements" / "capacity.json").read_bytes())
        page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
        self.assertEqual(page, render_page(figures))

    def test_fitted_line_passes_through_collinear_points(self) -> None:
        rows = [{"peers": 1, "x": 3.0}, {"peers": 2, "x": 5.0}, {"peers": 4, "x": 9.0}]
        self.assertAlmostEqual(fit_line(rows, "x").at(10), 21.0)

    def test_target_load_per_daemon(self) -> None:
        load = target_load()
        self.assertEqual(round(load.shard_calls), 19_519)
        self.assertEqual(int(load.connections), 237)
