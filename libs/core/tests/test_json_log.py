from __future__ import annotations

import logging
import unittest

from mimosahoist.core.json_log import LineBudget


def line(at: float, level: int = logging.INFO) -> logging.LogRecord:
    record = logging.LogRecord("x", level, "", 0, "event", None, None)
    record.created = at
    return record


class LineBudgetTest(unittest.TestCase):
    def test_rate_is_bounded_and_drops_are_told(self) -> None:
        budget = LineBudget(rate=10.0, burst=5.0)
        self.assertEqual(sum(budget.filter(line(1.0)) for _ in range(50)), 5)
        later = line(2.0)
        self.assertTrue(budget.filter(later))
        self.assertEqual(later.fields["lines_dropped"], 45)

    def test_errors_are_never_dropped(self) -> None:
        budget = LineBudget(rate=0.0, burst=0.0)
        self.assertTrue(budget.filter(line(1.0, logging.ERROR)))

    def test_time_of_day_that_jumps_back_gives_no_lines(self) -> None:
        budget = LineBudget(rate=10.0, burst=1.0)
        budget.filter(line(100.0))
        self.assertFalse(budget.filter(line(1.0)))
