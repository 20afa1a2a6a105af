from __future__ import annotations

import random
import unittest

from fakes import World, gathering, plain

from mimosahoist.core.tasks import now
from mimosahoist.forward.choice import ChoiceContext, choose
from mimosahoist.forward.completion import Progress, Verdict, decide, needed_parts
from mimosahoist.forward.declarations import Configuration, SharedBounds
from mimosahoist.forward.domain_reachability import DomainReachability
from mimosahoist.forward.health import UpstreamHealth
from mimosahoist.forward.merge import RecordMerger
from mimosahoist.forward.outcomes import LossKind, Lost, Refused, Unreached
from mimosahoist.forward.repeat_budget import RepeatBudget
from mimosahoist.forward.route_timing import RouteTiming
from mimosahoist.forward.routing import RouteTable
from mimosahoist.lab.paused_loop import PausedTestCase

NOBODY = frozenset()


class CompletionTest(unittest.TestCase):
    def decide(self, answered: int, hopeful: int, doubtful: int, at: float) -> Verdict:
        progress = Progress(answered, hopeful, doubtful, 10, 9, 0.0, 0.15, 1.5)
        return decide(progress, at).verdict

    def test_table(self) -> None:
        cases = [
            ("all in", (10, 0, 0), 0.01, Verdict.ANSWER),
            ("one under way before the cut", (9, 1, 0), 0.1, Verdict.WAIT),
            ("one under way at the cut", (9, 1, 0), 0.15, Verdict.ANSWER),
            ("the last one seems dead", (9, 0, 1), 0.01, Verdict.ANSWER),
            ("floor missed at the cut", (8, 2, 0), 0.2, Verdict.WAIT),
            ("floor missed, only doubtful ones left", (8, 0, 2), 0.2, Verdict.WAIT),
            ("floor out of reach", (8, 0, 0), 0.01, Verdict.FAIL),
            ("deadline with enough", (9, 1, 0), 1.5, Verdict.ANSWER),
            ("deadline without", (8, 2, 0), 1.5, Verdict.FAIL),
        ]
        for name, shards, at, verdict in cases:
            with self.subTest(name):
                self.assertIs(self.decide(*shards, at), verdict)

    def test_late_request_gets_some_patience(self) -> None:
        progress = Progress(9, 1, 0, 10, 9, arrived=1.0, cut=0.15, deadline=2.0)
        self.assertIs(decide(progress, 1.1).verdict, Verdict.WAIT)
        self.assertIs(decide(progress, 1.5).verdict, Verdict.ANSWER)

    def test_floor(self) -> None:
        cases = [(10, 0.89, 9), (10, 0.75, 8), (15, 0.89, 14), (10, 0.0, 1), (4, 1.0, 4)]
        for total, share, needed in cases:
            self.assertEqual(needed_parts(total, share), needed)


class RepeatBudgetTest(unittest.TestCase):
    def test_sum_over_instances_stays_within_the_bound_in_any_window(self) -> None:
        bounds = SharedBounds(repeat_ratio=0.2, repeat_slack=56.0, repeat_window=10.0)
        rng = random.Random(3)
        for instances in (1, 8, 12):
            budgets = [RepeatBudget(bounds) for _ in range(instances)]
            for budget in budgets:
                budget.divisor = instances
            firsts: list[float] = []
            extras: list[float] = []
            for step in range(8000):
                at = step * 0.01
                budget = rng.choice(budgets)
                if rng.random() < (0.9 if at < 40 else 0.1):
                    budget.note_first(at)
                    firsts.append(at)
                if rng.random() < 0.8 and budget.spend(at):
                    extras.append(at)
            for end in range(10, 80):
                window = sum(end - 10 < at <= end for at in extras)
                before = max(
                    sum(end - 10 - shift < at <= end - shift for at in firsts)
                    for shift in (0, 5, 10)
                )
                self.assertLessEqual(window, 0.2 * before + 56)

    def test_restart_of_all_instances_keeps_the_sum(self) -> None:
        bounds = SharedBounds(repeat_ratio=0.2, repeat_slack=56.0, repeat_window=10.0)
        spent = 0
        for _ in range(8):
            budget = RepeatBudget(bounds)
            budget.divisor = 8
            spent += sum(budget.spend(1.0) for _ in range(100))
        self.assertLessEqual(spent, 56 * 0.6)


class HealthTest(unittest.TestCase):
    def test_ejection_grows_and_an_answer_ends_it(self) -> None:
        health = UpstreamHealth()
        health.record_outcome(Unreached("refused"), 0.0)
        first = health.ejected_until
        health.record_outcome(Unreached("refused"), first)
        self.assertGreater(health.ejected_until - first, first)
        self.assertTrue(health.on_probation)

    def test_one_lost_answer_is_no_reason_to_eject(self) -> None:
        health = UpstreamHealth()
        health.record_outcome(Lost(LossKind.BROKEN), 0.0)
        self.assertEqual(health.ejected_until, 0.0)

    def test_refusals_and_abandoned_calls_say_nothing(self) -> None:
        health = UpstreamHealth()
        for outcome in (Refused(503), Lost(LossKind.ABANDONED)):
            health.record_outcome(outcome, 0.0)
        self.assertEqual((health.consecutive_failures, health.failure_rate), (0, 0.0))


class ChoiceTest(PausedTestCase):
    def pick(self, world: World, tried: set[str] = frozenset(), **given: object) -> str | None:
        fields = {"domains_out": NOBODY, "out_of_reach": NOBODY, **given}
        context = ChoiceContext(
            now(), 0.03, "a", fields["domains_out"], fields["out_of_reach"], random.Random(1)
        )
        chosen = choose(world.fleet.eligible_upstreams("s"), tried, context)
        return chosen.record.failure_domain if chosen else None

    def world(self) -> World:
        world = World()
        for domain in "abc":
            world.add("s", domain)
        return world

    async def test_near_one_first(self) -> None:
        self.assertEqual(self.pick(self.world()), "a")

    async def test_much_slower_near_one_loses(self) -> None:
        world = self.world()
        world.fleet.by_name["s-a"].health.latency_ratio = 6.0
        self.assertNotEqual(self.pick(world), "a")

    async def test_overdue_answers_keep_calls_away(self) -> None:
        world = self.world()
        world.fleet.by_name["s-a"].in_flight[1] = now() - 0.2
        self.assertNotEqual(self.pick(world), "a")

    async def test_evacuated_domain_gets_nothing(self) -> None:
        self.assertIsNone(self.pick(self.world(), domains_out=frozenset("abc")))

    async def test_domain_out_of_reach_is_the_last_resort(self) -> None:
        world = self.world()
        self.assertNotEqual(self.pick(world, out_of_reach=frozenset("a")), "a")
        self.assertEqual(self.pick(world, {"s-b", "s-c"}, out_of_reach=frozenset("a")), "a")

    async def test_leaving_ejected_and_full_ones_get_nothing(self) -> None:
        world = self.world()
        first, second, third = (world.fleet.by_name[f"s-{domain}"] for domain in "abc")
        first.record = first.record._replace(leaving=True)
        second.health.ejected_until = now() + 1.0
        third.limits = third.limits.__class__("s", connections=1)
        third.in_flight[1] = now()
        self.assertIsNone(self.pick(world))

    async def test_cold_rate_is_divided_among_instances(self) -> None:
        bounds = SharedBounds(cold_headroom=1.5, cold_slack=5.0)
        sent = 0
        for _ in range(8):
            world = World(bounds)
            upstream = world.add("s", "a")
            upstream.limits = upstream.limits.__class__("s", cold_rate=10.0)
            upstream.divisor = 8
            upstream.cold_until = now() + 100.0
            for _ in range(50):
                if upstream.has_capacity(now()):
                    upstream.cold_send_times.append(now())
                    sent += 1
        self.assertLessEqual(sent, 10 * 1.5 + 5)


class DomainReachTest(unittest.TestCase):
    def test_silence_of_upstreams_and_peers_together_is_a_cut(self) -> None:
        cases = [
            ("upstreams fail, peers silent", True, True, True),
            ("upstreams fail, peers heard", True, False, False),
            ("peers silent only", False, True, False),
        ]
        for name, failing, silent, cut in cases:
            with self.subTest(name):
                reach = DomainReachability("a")
                reach.record_response("b", 0.0)
                reach.record_peer_contact("b", 0.0)
                for _ in range(3 if failing else 0):
                    reach.record_failure("b", 1.0)
                if not silent:
                    reach.record_peer_contact("b", 1.9)
                reach.evaluate(2.0)
                self.assertEqual("b" in reach.unreachable_domains, cut)

    def test_a_peer_ends_it_at_once(self) -> None:
        reach = DomainReachability("a")
        reach.record_peer_contact("b", 0.0)
        for _ in range(3):
            reach.record_failure("b", 1.0)
        reach.evaluate(2.0)
        reach.record_peer_contact("b", 5.0)
        reach.evaluate(5.0)
        self.assertEqual(reach.unreachable_domains, NOBODY)

    def test_calls_try_again_where_no_instance_is_left(self) -> None:
        reach = DomainReachability("a")
        reach.record_peer_contact("b", 0.0)
        for _ in range(3):
            reach.record_failure("b", 1.0)
        for second in range(2, 14):
            reach.evaluate(float(second))
        self.assertEqual(reach.unreachable_domains, NOBODY)

    def test_own_domain_is_always_within_reach(self) -> None:
        reach = DomainReachability("a")
        for _ in range(5):
            reach.record_failure("a", 1.0)
        reach.evaluate(9.0)
        self.assertEqual(reach.unreachable_domains, NOBODY)


class RoutingTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        short = plain().__class__(**{**plain().__dict__, "name": "short"})
        deep = short.__class__(**{**short.__dict__, "name": "deep", "path_prefix": "/x/y/"})
        table = RouteTable(Configuration(1, (short, deep)))
        cases = [
            ("h", "/x/1", "short"),
            ("H:80", "/x/y/1?q=/z/", "deep"),
            ("h", "/x", None),
            ("h", "/?x=/x/", None),
            ("other", "/x/1", None),
        ]
        for host, target, name in cases:
            with self.subTest(target):
                found = table.find(host, target)
                self.assertEqual(found.name if found else None, name)


class TimingTest(unittest.TestCase):
    def test_a_caller_that_comes_again_has_less_time(self) -> None:
        timing = RouteTiming(gathering().target_latency)
        self.assertEqual(timing.already_waited(1.5), 0.0)
        self.assertAlmostEqual(timing.already_waited(1.1), 0.4)

    def test_hedge_leaves_time_for_an_answer_before_the_aim(self) -> None:
        timing = RouteTiming(0.15)
        for _ in range(200):
            timing.record(0.01)
        timing.slow.value = 1.0
        self.assertLessEqual(timing.hedge_delay(0.06), 0.046)
        self.assertGreaterEqual(timing.hedge_delay(-1.0), 0.01)


class MergeTest(unittest.TestCase):
    def test_greatest_records_first_equal_ones_kept_remainder_dropped(self) -> None:
        low, high = b"a" * 16, b"b" * 16
        merged = RecordMerger().merge([low + high + b"zzz", high], 2)
        self.assertEqual(merged, high + high)
        self.assertEqual(RecordMerger().merge([b"", b"short"], 2), b"")
