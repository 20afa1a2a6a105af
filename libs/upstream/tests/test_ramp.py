from __future__ import annotations

import unittest

from mimosahoist.upstream.health import FAILURES_BEFORE_EJECTION, Health
from mimosahoist.upstream.ramp import (
    RESET_HOLD_SECONDS,
    SLOW_REPLIES_BEFORE_RESET,
    STEP_SECONDS,
    STEP_SUCCESSES,
    Ramp,
    RampState,
)
from mimosahoist.upstream.transport import FailureKind

TYPICAL = 0.004


class RampTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ramp = Ramp(cold=1, full=16)
        self.ramp.restart(1, 0.0)

    def succeed(self, count: int, elapsed: float = TYPICAL, warm: bool = True) -> None:
        for _ in range(count):
            self.ramp.observe(elapsed, TYPICAL, warm)

    def test_concurrency_doubles_with_evidence_up_to_full(self) -> None:
        totals = []
        at = 0.0
        while not self.ramp.warm:
            totals.append(self.ramp.total)
            at += STEP_SECONDS
            self.succeed(STEP_SUCCESSES)
            self.assertTrue(self.ramp.may_promote(at))
            self.ramp.promote(at)
        self.assertEqual(totals, [1, 2, 4, 8])

    def test_no_stage_without_evidence(self) -> None:
        cases = {
            "no answers": (0, TYPICAL, True),
            "slow answers": (50, TYPICAL * 3, True),
            "reported cold": (50, TYPICAL, False),
        }
        for case, (count, elapsed, warm) in cases.items():
            with self.subTest(case):
                self.setUp()
                self.succeed(count, elapsed, warm)
                self.assertFalse(self.ramp.may_promote(100.0))

    def test_slow_answers_of_a_warm_upstream_start_it_anew(self) -> None:
        self.ramp.adopt(RampState(1, 0, 5), 0.0)
        self.succeed(SLOW_REPLIES_BEFORE_RESET, TYPICAL * 3)
        self.assertTrue(self.ramp.looks_cold(reported_warm=True))
        self.assertTrue(self.ramp.reset(RESET_HOLD_SECONDS))
        self.assertEqual(self.ramp.total, 1)

    def test_later_incarnation_goes_before_any_stage(self) -> None:
        self.ramp.adopt(RampState(1, 3, 5), 0.0)
        self.assertTrue(self.ramp.adopt(RampState(2, 0, 0), 0.0))
        self.assertFalse(self.ramp.adopt(RampState(1, 9, 9), 0.0))
        self.assertEqual(self.ramp.total, 1)


class HealthTest(unittest.TestCase):
    def test_refused_connection_ejects_at_once_and_longer_each_time(self) -> None:
        health = Health()
        ejections = []
        for _ in range(6):
            health.fail(FailureKind.CONNECT, 0.0)
            ejections.append(health.ejected_until)
        self.assertEqual(ejections, sorted(ejections))
        self.assertFalse(health.available(0.0))
        health.succeed()
        self.assertTrue(health.available(0.0))

    def test_single_timeouts_do_not_eject(self) -> None:
        health = Health()
        for _ in range(FAILURES_BEFORE_EJECTION - 1):
            self.assertFalse(health.fail(FailureKind.TIMEOUT, 0.0))
        self.assertTrue(health.fail(FailureKind.TIMEOUT, 0.0))
