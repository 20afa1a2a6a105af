from __future__ import annotations

import unittest

from mimosahoist.upstream.health import FAILURES_BEFORE_EJECTION, Health
from mimosahoist.upstream.ramp import (
    MIN_STAGE_SECONDS,
    MIN_STAGE_SUCCESSES,
    RESET_HOLDOFF_SECONDS,
    SLOW_REPLIES_BEFORE_RESET,
    Ramp,
    RampState,
)
from mimosahoist.upstream.transport import FailureKind

MEDIAN_LATENCY = 0.004


class RampTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ramp = Ramp(cold=1, full=16)
        self.ramp.restart(1, 0.0)

    def succeed(self, count: int, elapsed: float = MEDIAN_LATENCY, warm: bool = True) -> None:
        for _ in range(count):
            self.ramp.observe(elapsed, MEDIAN_LATENCY, warm)

    def test_concurrency_doubles_with_evidence_up_to_full(self) -> None:
        totals = []
        at = 0.0
        while not self.ramp.warm:
            totals.append(self.ramp.total)
            at += MIN_STAGE_SECONDS
            self.succeed(MIN_STAGE_SUCCESSES)
            self.assertTrue(self.ramp.can_promote(at))
            self.ramp.promote(at)
        self.assertEqual(totals, [1, 2, 4, 8])

    def test_no_promotion_without_evidence(self) -> None:
        cases = {
            "no replies": (0, MEDIAN_LATENCY, True),
            "slow replies": (50, MEDIAN_LATENCY * 3, True),
            "reported cold": (50, MEDIAN_LATENCY, False),
        }
        for case, (count, elapsed, warm) in cases.items():
            with self.subTest(case):
                self.setUp()
                self.succeed(count, elapsed, warm)
                self.assertFalse(self.ramp.can_promote(100.0))

    def test_slow_replies_of_a_warm_upstream_reset_its_ramp(self) -> None:
        self.ramp.adopt(RampState(1, 0, 5), 0.0)
        self.succeed(SLOW_REPLIES_BEFORE_RESET, MEDIAN_LATENCY * 3)
        self.assertTrue(self.ramp.appears_cold(reported_warm=True))
        self.assertTrue(self.ramp.reset(RESET_HOLDOFF_SECONDS))
        self.assertEqual(self.ramp.total, 1)

    def test_later_incarnation_precedes_any_stage(self) -> None:
        self.ramp.adopt(RampState(1, 3, 5), 0.0)
        self.assertTrue(self.ramp.adopt(RampState(2, 0, 0), 0.0))
        self.assertFalse(self.ramp.adopt(RampState(1, 9, 9), 0.0))
        self.assertEqual(self.ramp.total, 1)


class HealthTest(unittest.TestCase):
    def test_refused_connection_ejects_immediately_with_growing_backoff(self) -> None:
        health = Health()
        ejections = []
        for _ in range(6):
            health.record_failure(FailureKind.CONNECT, 0.0)
            ejections.append(health.ejected_until)
        self.assertEqual(ejections, sorted(ejections))
        self.assertFalse(health.available(0.0))
        health.record_success()
        self.assertTrue(health.available(0.0))

    def test_timeouts_eject_only_at_the_failure_threshold(self) -> None:
        health = Health()
        for _ in range(FAILURES_BEFORE_EJECTION - 1):
            self.assertFalse(health.record_failure(FailureKind.TIMEOUT, 0.0))
        self.assertTrue(health.record_failure(FailureKind.TIMEOUT, 0.0))
