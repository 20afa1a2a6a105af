from __future__ import annotations

import unittest

from mimosahoist.lab.forward_experiment import Way, play
from mimosahoist.lab.hedging import FixedTiming, QuantileTiming

SECONDS = 12.0
SEED = 3


class ForwardExperimentTest(unittest.TestCase):
    def test_repeats_win_back_what_pauses_cost(self) -> None:
        without = play(Way("no repeats", repeat_ratio=0.0), SECONDS, SEED)
        repeated = play(Way("repeats"), SECONDS, SEED)
        calm = play(Way("calm", pause=0.0, pause_every=0.0), SECONDS, SEED)
        self.assertLess(without.complete, 0.85)
        self.assertGreater(repeated.complete, 0.95)
        self.assertGreater(repeated.credit - without.credit, 0.03)
        self.assertGreater(repeated.credit, calm.credit - 0.02)

    def test_repeats_stay_within_the_budget(self) -> None:
        for ratio in (0.0, 0.05, 0.2):
            with self.subTest(ratio=ratio):
                way = Way("slow", repeat_ratio=ratio, slow_share=0.3)
                self.assertLessEqual(play(way, SECONDS, SEED).extra_sends, ratio)

    def test_answers_come_before_the_aim_although_upstreams_are_slow(self) -> None:
        figures = play(Way("slow", slow_share=0.15), SECONDS, SEED)
        self.assertGreater(figures.in_aim, 0.98)

    def test_same_seed_same_figures(self) -> None:
        self.assertEqual(play(Way("x"), 3.0, SEED), play(Way("x"), 3.0, SEED))

    def test_percentile_spends_the_budget_better_than_a_fixed_time(self) -> None:
        way = Way("tight", repeat_ratio=0.1, slow_share=0.15)
        early = play(way, SECONDS, SEED, FixedTiming(0.03))
        percentile = play(way, SECONDS, SEED, QuantileTiming(88.0))
        self.assertGreater(percentile.credit, early.credit)
