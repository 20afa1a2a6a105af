"""Spread of a change by pushes: it must reach every failure domain, with few crossings."""

from __future__ import annotations

import random
import unittest

from mimosahoist.peers.push import CROSSINGS_PER_DOMAIN, select_recipients


def fleet(domains: int, instances: int) -> dict[str, str]:
    return {
        f"{domain}-{number}": domain for domain in "abcdef"[:domains] for number in range(instances)
    }


class Spread:
    """Pushes of one change, each instance that hears of it pushing once, without losses."""

    def __init__(self, members: dict[str, str], rng: random.Random, lost: float = 0.0) -> None:
        self.members = members
        self.crossings = 0
        first = rng.choice(sorted(members))
        self.reached = {first}
        pushing = [(first, True)]
        while pushing:
            heard: set[str] = set()
            for name, is_own in pushing:
                others = {other: domain for other, domain in members.items() if other != name}
                for peer in select_recipients(others, members[name], is_own, rng):
                    self.crossings += members[peer] != members[name]
                    if rng.random() >= lost:
                        heard.add(peer)
            pushing = [(name, False) for name in sorted(heard - self.reached)]
            self.reached |= heard

    @property
    def domains(self) -> set[str]:
        return {self.members[name] for name in self.reached}


class PushTest(unittest.TestCase):
    def test_every_domain_hears_of_a_change(self) -> None:
        for domains, instances in ((4, 2), (4, 20), (6, 33)):
            members = fleet(domains, instances)
            for seed in range(40):
                spread = Spread(members, random.Random(seed))
                self.assertEqual(len(spread.domains), domains, (domains, instances, seed))

    def test_lost_frames_rarely_leave_out_a_domain(self) -> None:
        members = fleet(6, 33)
        spreads = [Spread(members, random.Random(seed), lost=0.1) for seed in range(40)]
        reached = sum(len(spread.domains) for spread in spreads)
        self.assertGreaterEqual(reached, 0.98 * 6 * len(spreads))

    def test_most_instances_hear_of_a_change_before_the_next_probes(self) -> None:
        members = fleet(6, 33)
        shares = [len(Spread(members, random.Random(seed)).reached) / 198 for seed in range(40)]
        self.assertGreater(min(shares), 0.85)

    def test_crossings_of_a_change_do_not_depend_on_the_number_of_instances(self) -> None:
        for instances in (8, 33, 135):
            members = fleet(6, instances)
            crossings = [Spread(members, random.Random(seed)).crossings for seed in range(20)]
            self.assertLess(sum(crossings) / len(crossings), 6 * CROSSINGS_PER_DOMAIN + 10)

    def test_instance_without_neighbours_passes_changes_on(self) -> None:
        peers = {"b-1": "b", "c-1": "c"}
        for seed in range(20):
            self.assertTrue(select_recipients(peers, "a", False, random.Random(seed)))
        self.assertEqual(select_recipients({}, "a", True, random.Random(1)), [])


if __name__ == "__main__":
    unittest.main()
