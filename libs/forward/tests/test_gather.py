"""Scatter-gather searches over fake upstreams: hedges, retries, partial answers, cancellation."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from unittest import mock

from fakes import HEADER_NAMES, EngineFixture, answered, fast_answers, gathering_route, plain_route

from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.outcomes import (
    Failed,
    Gathered,
    LossKind,
    Lost,
    NotRun,
    Refused,
    Unreached,
)
from mimosahoist.forward.plain import PlainForward
from mimosahoist.lab.paused_loop import PausedTestCase

AMPLE_BUDGET = SharedBounds(repeat_ratio=0.2, repeat_slack=1000.0)


class ScatterGatherTest(PausedTestCase):
    def make_fixture(self, count: int = 10) -> EngineFixture:
        fixture = EngineFixture(AMPLE_BUDGET)
        for number in range(count):
            for domain in "abc":
                fixture.add(f"s{number}", domain)
        return fixture

    async def test_parts_of_all_shards_are_merged(self) -> None:
        fixture = self.make_fixture()
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertIsInstance(outcome, Gathered)
        self.assertEqual(outcome.missing, 0)
        self.assertEqual(len(set(outcome.signatures)), 10)
        self.assertEqual(len(outcome.body), 5 * 16)
        records = [outcome.body[at : at + 16] for at in range(0, 80, 16)]
        self.assertEqual(records, sorted(records, reverse=True))

    async def test_paused_upstream_is_hedged_before_soft_deadline(self) -> None:
        fixture = self.make_fixture()
        fixture.add("s3", "a", lambda number: (0.2, answered("late")))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertEqual(outcome.missing, 0)
        self.assertLess(now(), 0.15)

    async def test_silent_shard_gives_partial_answer_in_time(self) -> None:
        fixture = self.make_fixture()
        for domain in "abc":
            fixture.add("s3", domain, lambda number: (0.0, None))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertEqual((type(outcome), outcome.missing), (Gathered, 1))
        self.assertNotIn("signed-s3-a", outcome.signatures)
        self.assertLess(now(), 0.15)

    async def test_search_below_minimum_coverage_fails(self) -> None:
        fixture = self.make_fixture()
        for number in range(3):
            for domain in "abc":
                fixture.add(f"s{number}", domain, lambda number: (0.0, None))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertIsInstance(outcome, Failed)
        self.assertTrue(outcome.timed_out)

    async def test_signed_error_answer_is_not_a_part(self) -> None:
        fixture = self.make_fixture()
        for domain in "abc":
            fixture.add("s3", domain, lambda number: (0.01, answered("bad", status=500)))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertEqual(outcome.missing, 1)
        self.assertNotIn("signed-bad", outcome.signatures)

    async def test_upstreams_that_run_a_shard_stay_within_max_attempts(self) -> None:
        fixture = self.make_fixture()
        tried = [
            fixture.add("s3", domain, lambda number: (0.01, Lost(LossKind.BROKEN)))
            for domain in "abc"
        ]
        await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertEqual(sum(len(upstream.arrivals) for upstream in tried), 2)

    async def test_failed_call_is_replaced_immediately(self) -> None:
        fixture = self.make_fixture()
        fixture.add("s3", "a", lambda number: (0.005, Unreached("refused")))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertEqual(outcome.missing, 0)
        self.assertLess(now(), 0.05)

    async def test_upstream_without_capacity_is_retried(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("s0", "a", lambda n: (0.001, Refused(503)) if n < 3 else fast_answers("s0")(n))
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route(1))).run()
        self.assertIsInstance(outcome, Gathered)

    async def test_refusing_upstream_is_called_again_at_growing_intervals(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        refusing = fixture.add("s0", "a", lambda number: (0.001, Refused(503)))
        await ScatterGather(fixture.engine, fixture.request(gathering_route(1))).run()
        gaps = [later - at for at, later in pairwise(refusing.arrivals)]
        self.assertGreater(min(gaps), 0.02)
        self.assertLessEqual(len(refusing.arrivals), 10)

    async def test_refused_call_goes_to_another_upstream_at_once(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("s0", "a", lambda number: (0.001, Refused(503)))
        fixture.add("s0", "b")
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route(1))).run()
        self.assertEqual(outcome.missing, 0)
        self.assertLess(now(), 0.03)

    async def test_search_ends_once_the_shards_it_lacks_are_found_unreachable(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        for number in range(10):
            domain = "b" if number < 5 else "a"
            fixture.add(f"s{number}", domain, (lambda n: (9.0, None)) if domain == "b" else None)
        search = ScatterGather(fixture.engine, fixture.request(gathering_route()))
        task = asyncio.create_task(search.run())
        await asyncio.sleep(0.5)
        fixture.engine.reachability.unreachable_domains = frozenset("b")
        self.assertIsInstance(await task, Failed)
        self.assertLess(now(), 0.8)

    async def test_call_that_fails_after_the_end_of_its_search_is_not_replaced(self) -> None:
        for ends in ("answered", "caller left"):
            with self.subTest(ends):
                fixture = self.make_fixture(4)
                fixture.add("s0", "a", lambda number: (0.3, Refused(503)))
                others = [fixture.add("s0", domain) for domain in "bc"]
                fixture.fleet.set_bounds(SharedBounds(repeat_ratio=0.0, repeat_slack=0.0))
                search = ScatterGather(fixture.engine, fixture.request(gathering_route(4)))
                task = asyncio.create_task(search.run())
                await asyncio.sleep(0.16)
                if ends == "caller left":
                    task.cancel()
                fixture.fleet.set_bounds(AMPLE_BUDGET)
                await asyncio.wait([task])
                await asyncio.sleep(2.0)
                self.assertEqual([upstream.arrivals for upstream in others], [[], []])

    async def test_upstream_whose_calls_hang_is_left_although_hedges_answer(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        hanging = fixture.add("s0", "a", lambda number: (9.0, None))
        fixture.add("s0", "b")
        for _ in range(20):
            search = ScatterGather(fixture.engine, fixture.request(gathering_route(1)))
            self.assertIsInstance(await search.run(), Gathered)
            await asyncio.sleep(0.5)
        self.assertLess(len(hanging.arrivals), 10)

    async def test_search_without_upstreams_is_not_run(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        outcome = await ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after, 0.0)
        self.assertEqual(now(), 0.0)

    async def test_search_whose_calls_raised_errors_is_not_reported_as_not_run(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        upstream = fixture.add("s0", "a")
        upstream.perform = mock.AsyncMock(side_effect=ZeroDivisionError)
        search = ScatterGather(fixture.engine, fixture.request(gathering_route(1)))
        self.assertIsInstance(await search.run(), Failed)

    async def test_no_call_is_hedged_without_budget(self) -> None:
        fixture = EngineFixture(SharedBounds(repeat_ratio=0.0, repeat_slack=0.0))
        first = fixture.add("s0", "a", lambda number: (0.1, answered("s0-a", b"x" * 16)))
        second = fixture.add("s0", "b")
        await ScatterGather(fixture.engine, fixture.request(gathering_route(1))).run()
        self.assertEqual((len(first.arrivals), len(second.arrivals)), (1, 0))

    async def test_cancelled_search_ends_its_calls(self) -> None:
        fixture = self.make_fixture()
        ended: list[str] = []
        for number in range(10):
            upstream = fixture.add(f"s{number}", "a", lambda number: (0.0, None))
            upstream.abort_call = lambda number, name=upstream.record.name: ended.append(name)
        task = asyncio.create_task(
            ScatterGather(fixture.engine, fixture.request(gathering_route())).run()
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.5)
        self.assertEqual(len(ended), 10)
        self.assertLessEqual(now(), 0.52)

    async def test_forwarded_time_left_excludes_elapsed_time(self) -> None:
        fixture = EngineFixture(AMPLE_BUDGET)
        fixture.add("s0", "a", lambda number: (0.0, Unreached("x")))
        second = fixture.add("s0", "b")
        request = fixture.request(gathering_route(1), time_left=1.2)
        await asyncio.sleep(0.1)
        await ScatterGather(fixture.engine, request).run()
        left = [int(headers[HEADER_NAMES.time_left]) for headers in second.forwarded_headers]
        self.assertEqual(len(left), 1)
        self.assertLessEqual(left[0], 1100)
        self.assertEqual(second.forwarded_headers[0][HEADER_NAMES.wanted_upstream], "s0-b")

    async def test_unreached_request_counts_once_in_budget(self) -> None:
        for gathers in (True, False):
            with self.subTest(gathers=gathers):
                fixture = EngineFixture(AMPLE_BUDGET)
                service = "s0" if gathers else "desk"
                for domain in "abc":
                    fixture.add(service, domain, lambda number: (0.01, Unreached("refused")))
                if gathers:
                    await ScatterGather(fixture.engine, fixture.request(gathering_route(1))).run()
                else:
                    await PlainForward(fixture.engine, fixture.request(plain_route())).run()
                self.assertEqual(len(fixture.fleet.budget(service).first_sends), 1)
