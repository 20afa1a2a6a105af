"""Detection of requests that crash upstreams, and merging of crash records."""

from __future__ import annotations

import asyncio
import random

from fakes import EngineFixture, answered, plain_route

from mimosahoist.core.tasks import unix_time
from mimosahoist.forward.crash_tracker import (
    MAX_RECORDS,
    CrashFacts,
    CrashRecord,
    CrashTracker,
)
from mimosahoist.forward.outcomes import LossKind, Lost
from mimosahoist.forward.plain import PlainForward
from mimosahoist.lab.paused_loop import PausedTestCase


class CrashTrackerTest(PausedTestCase):
    async def test_rejected_after_crashes_in_several_attempts(self) -> None:
        tracker = CrashTracker()
        for upstream in "abc":
            tracker.record_crash("f", upstream, "attempt-1")
        self.assertFalse(tracker.is_rejected("f"))
        tracker.record_crash("f", "d", "attempt-2")
        self.assertTrue(tracker.is_rejected("f"))
        self.assertFalse(tracker.is_rejected("g"))

    async def test_simultaneous_crashes_in_a_single_attempt_do_not_reject(self) -> None:
        tracker = CrashTracker()
        for upstream in range(20):
            tracker.record_crash("f", f"u{upstream}", "attempt-1")
        self.assertFalse(tracker.is_rejected("f"))

    async def test_a_response_clears_the_request(self) -> None:
        tracker = CrashTracker()
        for number, upstream in enumerate("abcd"):
            tracker.record_crash("f", upstream, f"attempt-{number}")
        tracker.clear("f")
        self.assertFalse(tracker.is_rejected("f"))

    async def test_records_expire(self) -> None:
        tracker = CrashTracker()
        for number, upstream in enumerate("abcd"):
            tracker.record_crash("f", upstream, f"attempt-{number}")
        await asyncio.sleep(61.0)
        self.assertFalse(tracker.is_rejected("f"))

    async def test_only_an_upstream_that_refuses_connections_counts_as_crashed(self) -> None:
        for accepts, expected in ((True, 0), (False, 1)):
            with self.subTest(accepts=accepts):
                fixture = EngineFixture()
                upstream = fixture.add("desk", "a", lambda n: (0.01, Lost(LossKind.BROKEN)))

                async def answer(accepts: bool = accepts) -> bool:
                    return accepts

                upstream.accepts_connection = answer
                await PlainForward(fixture.engine, fixture.request(plain_route())).run()
                await asyncio.sleep(0.1)
                self.assertEqual(len(fixture.engine.crashes.records), expected)

    async def test_merging_is_independent_of_the_order(self) -> None:
        facts = CrashFacts()
        rng = random.Random(4)
        records = [
            [[f"u{rng.randrange(5)}"], [f"r{rng.randrange(4)}"], unix_time() + rng.random()]
            for _ in range(8)
        ]
        results = []
        for _ in range(5):
            rng.shuffle(records)
            merged = records[0]
            for record in records[1:]:
                merged = facts.join(merged, record)
            results.append(merged)
        self.assertTrue(all(result == results[0] for result in results))
        self.assertTrue(facts.valid(results[0]))
        for bad in (None, [], [[1], [], 0.0], ["x", "y", 1.0], [[], [], "z"]):
            self.assertFalse(facts.valid(bad))

    async def test_number_of_records_is_bounded(self) -> None:
        tracker = CrashTracker()
        for number in range(MAX_RECORDS + 50):
            tracker.record_crash(f"f{number}", "u", "a")
        self.assertEqual(len(tracker.records), MAX_RECORDS)

    def test_merged_records_keep_a_bounded_number_of_names(self) -> None:
        many = CrashRecord([f"u{n}" for n in range(30)], ["r"], 1.0)
        self.assertLessEqual(len(many.merged_with(many).upstreams), 8)
        self.assertTrue(answered("x").is_success)
