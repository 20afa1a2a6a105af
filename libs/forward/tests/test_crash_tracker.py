from __future__ import annotations

import asyncio
import random

from fakes import World, answered, plain

from mimosahoist.core.tasks import unix_time
from mimosahoist.forward.crash_tracker import (
    KEPT_RECORDS,
    CrashFacts,
    CrashRecord,
    CrashTracker,
)
from mimosahoist.forward.outcomes import LossKind, Lost
from mimosahoist.forward.plain import PlainForward
from mimosahoist.lab.paused_loop import PausedTestCase


class CrashWatchTest(PausedTestCase):
    async def test_rejected_after_crashes_in_several_attempts(self) -> None:
        watch = CrashTracker()
        for upstream in "abc":
            watch.record_crash("f", upstream, "attempt-1")
        self.assertFalse(watch.is_rejected("f"))
        watch.record_crash("f", "d", "attempt-2")
        self.assertTrue(watch.is_rejected("f"))
        self.assertFalse(watch.is_rejected("g"))

    async def test_many_upstreams_that_crash_at_once_reject_nothing(self) -> None:
        watch = CrashTracker()
        for upstream in range(20):
            watch.record_crash("f", f"u{upstream}", "attempt-1")
        self.assertFalse(watch.is_rejected("f"))

    async def test_an_answer_clears(self) -> None:
        watch = CrashTracker()
        for number, upstream in enumerate("abcd"):
            watch.record_crash("f", upstream, f"attempt-{number}")
        watch.clear("f")
        self.assertFalse(watch.is_rejected("f"))

    async def test_forgotten_after_a_while(self) -> None:
        watch = CrashTracker()
        for number, upstream in enumerate("abcd"):
            watch.record_crash("f", upstream, f"attempt-{number}")
        await asyncio.sleep(61.0)
        self.assertFalse(watch.is_rejected("f"))

    async def test_only_an_upstream_that_takes_no_connection_counts(self) -> None:
        for accepts, blamed in ((True, 0), (False, 1)):
            with self.subTest(accepts=accepts):
                world = World()
                upstream = world.add("desk", "a", lambda n: (0.01, Lost(LossKind.BROKEN)))

                async def answer(accepts: bool = accepts) -> bool:
                    return accepts

                upstream.accepts_connection = answer
                await PlainForward(world.engine, world.request(plain())).run()
                await asyncio.sleep(0.1)
                self.assertEqual(len(world.engine.crashes.records), blamed)

    async def test_records_converge_whatever_the_order(self) -> None:
        facts = CrashFacts()
        rng = random.Random(4)
        records = [
            [[f"u{rng.randrange(5)}"], [f"r{rng.randrange(4)}"], unix_time() + rng.random()]
            for _ in range(8)
        ]
        results = []
        for _ in range(5):
            rng.shuffle(records)
            joined = records[0]
            for record in records[1:]:
                joined = facts.join(joined, record)
            results.append(joined)
        self.assertTrue(all(result == results[0] for result in results))
        self.assertTrue(facts.valid(results[0]))
        for bad in (None, [], [[1], [], 0.0], ["x", "y", 1.0], [[], [], "z"]):
            self.assertFalse(facts.valid(bad))

    async def test_number_of_records_is_bounded(self) -> None:
        watch = CrashTracker()
        for number in range(KEPT_RECORDS + 50):
            watch.record_crash(f"f{number}", "u", "a")
        self.assertEqual(len(watch.records), KEPT_RECORDS)

    def test_join_keeps_a_bounded_number(self) -> None:
        many = CrashRecord([f"u{n}" for n in range(30)], ["r"], 1.0)
        self.assertLessEqual(len(many.join(many).upstreams), 8)
        self.assertTrue(answered("x").good)
