"""Tests of the choice among upstreams that slow down for moments, and of uneven demand."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from fakes import EngineFixture, FakeUpstream, answered, gathering_route, plain_route

from mimosahoist.core.tasks import now
from mimosahoist.forward.balancing.reported_load import ReportedLoad
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.lab.paused_loop import PausedTestCase


class ReportedLoadTest(unittest.TestCase):
    def test_figures_are_read(self) -> None:
        cases = [
            ("3,0,8", (3, 0, 8, None)),
            ("3, 0, 8", (3, 0, 8, None)),
            ("3,0,8,250", (3, 0, 8, 2.5)),
            ("3,0,8,87.5,1,x", (3, 0, 8, 0.875)),
            ("3,0,8,", (3, 0, 8, None)),
            ("3,0,8,slow", (3, 0, 8, None)),
            ("3,0,8,-5", (3, 0, 8, None)),
            ("3,0,8,0", (3, 0, 8, None)),
            ("3,0,8,1e9", (3, 0, 8, 20.0)),
            ("3,0,0,100", (3, 0, 1, 1.0)),
        ]
        for value, expected in cases:
            load = ReportedLoad.parse(value, 1.0)
            found = (load.running, load.waiting, load.slots, load.slowdown)
            self.assertEqual(found, expected, value)

    def test_value_without_three_numbers_is_unreadable(self) -> None:
        for value in ("", "3", "3,0", "3,,8", "x,0,8,100", "3,0,-8,100", "3,0,9999999,1"):
            self.assertIsNone(ReportedLoad.parse(value, 1.0), value)

    def test_slowdown_is_forgotten_within_moments(self) -> None:
        load = ReportedLoad.parse("1,0,4,250", 1.0)
        values = [load.slowdown_at(1.0 + age) for age in (0.0, 0.15, 0.6, 3.0)]
        self.assertEqual(values[0], 2.5)
        self.assertEqual(values, sorted(values, reverse=True))
        self.assertLess(values[-1], 1.01)


class ChoiceTest(PausedTestCase):
    def start(self, *domains: str) -> EngineFixture:
        self.fixture = EngineFixture()
        self.upstreams: dict[str, FakeUpstream] = {
            domain: self.fixture.add("desk", domain) for domain in domains
        }
        return self.fixture

    def report(self, domain: str, value: str) -> None:
        self.upstreams[domain].loads.record(value, now())

    def chosen(self, due: float = 0.5, times: int = 60) -> Counter[str]:
        found: Counter[str] = Counter()
        route = plain_route()
        for _ in range(times):
            upstream = self.fixture.engine.choose(route, "desk", set(), now() + due)
            found[upstream.record.failure_domain] += 1
        return found

    async def test_unreadable_load_is_counted_and_the_last_one_kept(self) -> None:
        self.start("a")
        self.report("a", "2,1,4,100")
        self.report("a", "x")
        self.assertEqual(self.upstreams["a"].load.running, 2)
        self.assertEqual(self.upstreams["a"].loads.unreadable, 1)

    async def test_calls_stay_in_their_domain_while_it_serves_them_in_time(self) -> None:
        self.start("a", "b", "c")
        for domain, value in (("a", "3,2,4,200"), ("b", "0,0,4,100"), ("c", "0,0,4,100")):
            self.report(domain, value)
        self.assertEqual(set(self.chosen()), {"a"})

    async def test_calls_that_would_be_late_at_home_go_to_another_domain(self) -> None:
        self.start("a", "b", "c")
        for domain, value in (("a", "4,2,4,200"), ("b", "0,0,4,100"), ("c", "0,0,4,100")):
            self.report(domain, value)
        found = self.chosen(due=0.25)
        self.assertNotIn("a", found)
        self.assertGreater(min(found["b"], found["c"]), 15)

    async def test_calls_stay_if_the_other_domains_are_as_late(self) -> None:
        self.start("a", "b", "c")
        for domain in ("a", "b", "c"):
            self.report(domain, "4,8,4,300")
        self.assertEqual(set(self.chosen(due=0.25)), {"a"})

    async def test_many_instances_do_not_all_turn_to_the_same_idle_copy(self) -> None:
        self.start("b", "c", "d", "e")
        for domain in ("b", "c", "d"):
            self.report(domain, "4,2,4,100")
        self.report("e", "0,0,4,100")
        found = self.chosen(times=200)
        self.assertLess(found["e"], 150)
        self.assertGreater(len(found), 2)

    async def test_moment_of_slowness_is_not_held_against_an_upstream_for_long(self) -> None:
        fixture = self.start("a")
        upstream = self.upstreams["a"]
        route = plain_route()
        fixture.engine.timing(route).median.value = 0.1
        self.report("a", "1,0,4,250")
        fixture.engine.record_answer(upstream, route, answered("x", elapsed=0.25))
        self.assertAlmostEqual(upstream.health.latency_ratio(now()), 1.0, places=2)

    async def test_without_reports_of_slowness_all_copies_are_compared(self) -> None:
        self.start("b", "c", "d", "e")
        for domain in ("b", "c", "d"):
            self.report(domain, "4,4,4")
        self.report("e", "0,0,4")
        self.assertEqual(set(self.chosen()), {"e"})


class HedgeTest(PausedTestCase):
    async def play(self, load: str) -> int:
        """Repeat calls of a search whose first shard answers slowly."""
        fixture = EngineFixture()
        rng = random.Random(1)
        for number in range(6):
            for domain in ("a", "b", "c"):
                upstream = fixture.add(f"s{number}", domain)
                upstream.loads.record(load, now())
                if not number:
                    upstream.script = lambda call: (
                        0.12 + 0.01 * rng.random(),
                        answered("slow", b"x" * 16),
                    )
        search = ScatterGather(fixture.engine, fixture.request(gathering_route(6)))
        await search.run()
        await asyncio.sleep(1.0)
        arrivals = sum(len(item.arrivals) for item in fixture.fleet.by_name.values())
        return arrivals - 6

    async def test_hedge_is_sent_where_a_copy_has_room(self) -> None:
        self.assertEqual(await self.play("1,0,4,100"), 1)

    async def test_no_hedge_is_sent_where_the_whole_shard_is_behind(self) -> None:
        self.assertEqual(await self.play("4,6,4,100"), 0)
