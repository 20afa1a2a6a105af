"""Selection of gatherers, and division of the shared limits among instances."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fakes import gathering_route, plain_route

from mimosahoist.forward.declarations import (
    Configuration,
    RouteKind,
    SharedBounds,
    WeightedService,
)
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.gatherers import (
    Gatherer,
    domain_order,
    gathering_domains,
    select_gatherers,
)
from mimosahoist.forward.headers import HeaderNames
from mimosahoist.forward.shares import FleetShares, Shares
from mimosahoist.lab.paused_loop import PausedTestCase


def make_gatherers(domain: str, capacities: list[float]) -> list[Gatherer]:
    return [
        Gatherer(f"{domain}-{number}", domain, f"10.0.0.{number}:1", capacity)
        for number, capacity in enumerate(capacities)
    ]


class GatherersTest(unittest.TestCase):
    def test_selected_instances(self) -> None:
        cases = [
            ("two equal instances", [1.0, 1.0], 2, {0, 1}),
            ("single instance", [1.0], 2, {0}),
            ("large instances among small ones", [0.5] * 10 + [2.0, 2.0] + [0.5] * 7, 9, {10, 11}),
            ("at least two instances", [0.5] * 10 + [9.0], 9, {10}),
        ]
        for name, capacities, max_per_domain, expected in cases:
            with self.subTest(name):
                selected = select_gatherers(make_gatherers("a", capacities), max_per_domain)["a"]
                numbers = {int(gatherer.name[2:]) for gatherer in selected}
                self.assertLessEqual(expected, numbers)
                self.assertEqual(len(selected), min(2, len(capacities)))

    def test_number_of_equal_gatherers_is_limited(self) -> None:
        for max_per_domain, expected in ((5, 5), (1, 2), (1000, 25)):
            with self.subTest(max_per_domain=max_per_domain):
                selected = select_gatherers(make_gatherers("a", [1.0] * 100), max_per_domain)["a"]
                self.assertEqual(len(selected), expected)

    def test_selection_is_independent_of_input_order(self) -> None:
        gatherers = make_gatherers("a", [1.0] * 20) + make_gatherers("b", [0.5, 2.0] * 5)
        self.assertEqual(select_gatherers(gatherers, 4), select_gatherers(reversed(gatherers), 4))

    def test_domains_without_shards_do_not_gather(self) -> None:
        cases = [
            ({"a": 1.0, "b": 1.0, "c": 0.0}, {"a", "b"}),
            ({"a": 0.7, "b": 0.67, "c": 0.1}, {"a", "b"}),
            ({"a": 0.2, "b": 0.1}, {"a", "b"}),
            ({}, set()),
        ]
        for coverage, expected in cases:
            with self.subTest(coverage=coverage):
                self.assertEqual(gathering_domains(coverage), expected)

    def test_own_domain_is_first_and_others_are_spread(self) -> None:
        self.assertEqual(domain_order("x", "b", ["a", "b", "c"])[0], "b")
        firsts = {domain_order(f"x{number}", "d", ["a", "b", "c"])[0] for number in range(20)}
        self.assertEqual(firsts, {"a", "b", "c"})


class SharesTest(PausedTestCase):
    async def test_sum_of_shares_is_at_most_one(self) -> None:
        for instances in (1, 2, 8, 76, 300, 810):
            for gatherers in {0, 1, min(8, instances), instances // 2, instances}:
                with self.subTest(instances=instances, gatherers=gatherers):
                    total = sum(
                        1 / Shares(instances, gatherers, number < gatherers).divisor
                        for number in range(instances)
                    )
                    self.assertLessEqual(total, 1.0 + 1e-9)

    async def test_gathering_instances_get_most_of_the_limit(self) -> None:
        self.assertLess(Shares(76, 8, True).divisor, 11)

    async def test_divisor_depends_on_the_routes_of_a_service(self) -> None:
        fleet = UpstreamFleet(SharedBounds(), HeaderNames())
        once = replace(
            plain_route(RouteKind.NON_IDEMPOTENT), targets=(WeightedService("claims", 1.0),)
        )
        fleet.configure(Configuration(1, (gathering_route(2), plain_route(), once)))
        fleet.set_shares(FleetShares(Shares(76, 6, True), Shares(76, 8, False)))
        self.assertEqual(fleet.divisor("s0"), 7.5)
        self.assertAlmostEqual(fleet.divisor("desk"), 340.0)
        self.assertEqual(fleet.divisor("claims"), 76)
