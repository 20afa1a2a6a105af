from __future__ import annotations

import unittest

from mimosahoist.lab.forward_experiment import Scenario, run_scenario
from mimosahoist.lab.hedging import FixedDelayTiming, PercentileTiming

SECONDS = 12.0
SEED = 3


class ForwardExperimentTest(unittest.TestCase):
    def test_repeats_recover_coverage_lost_to_pauses(self) -> None:
        without_repeats = run_scenario(Scenario("no repeats", repeat_ratio=0.0), SECONDS, SEED)
        with_repeats = run_scenario(Scenario("repeats"), SECONDS, SEED)
        without_pauses = run_scenario(
            Scenario("no pauses", pause_seconds=0.0, pause_interval_seconds=0.0), SECONDS, SEED
        )
        self.assertLess(without_repeats.complete, 0.85)
        self.assertGreater(with_repeats.complete, 0.95)
        self.assertGreater(with_repeats.credit - without_repeats.credit, 0.03)
        self.assertGreater(with_repeats.credit, without_pauses.credit - 0.02)

    def test_repeats_stay_within_the_budget(self) -> None:
        for ratio in (0.0, 0.05, 0.2):
            with self.subTest(ratio=ratio):
                scenario = Scenario("slow", repeat_ratio=ratio, slow_share=0.3)
                self.assertLessEqual(run_scenario(scenario, SECONDS, SEED).extra_sends, ratio)

    def test_answers_meet_target_latency_despite_slow_upstreams(self) -> None:
        result = run_scenario(Scenario("slow", slow_share=0.15), SECONDS, SEED)
        self.assertGreater(result.in_aim, 0.98)

    def test_same_seed_gives_same_result(self) -> None:
        self.assertEqual(
            run_scenario(Scenario("x"), 3.0, SEED), run_scenario(Scenario("x"), 3.0, SEED)
        )

    def test_percentile_delay_uses_the_budget_better_than_a_short_fixed_delay(self) -> None:
        scenario = Scenario("tight", repeat_ratio=0.1, slow_share=0.15)
        fixed = run_scenario(scenario, SECONDS, SEED, FixedDelayTiming(0.03))
        percentile = run_scenario(scenario, SECONDS, SEED, PercentileTiming(88.0))
        self.assertGreater(percentile.credit, fixed.credit)
