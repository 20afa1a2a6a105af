"""How beliefs follow a store that is deaf, forgetful, away or behind."""

from __future__ import annotations

import asyncio
import random

from fake_store import StoreModel
from fakes import NAMES

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward.beliefs import Beliefs
from mimosahoist.forward.declarations import Configuration, SharedBounds, UpstreamRecord
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.follower import FleetView, StoreFollower
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import (
    WatchedItem,
    WatchedKind,
)


class View(FleetView):
    def __init__(self) -> None:
        self.count = 1
        self.watching = True
        self.first = True

    def reads_first(self) -> bool:
        return self.first

    def alive(self) -> int:
        return self.count

    def watches(self) -> bool:
        return self.watching


def configuration(version: int) -> Configuration:
    return Configuration(version, ())


def record(name: str, **fields: object) -> UpstreamRecord:
    return UpstreamRecord(name, "s", "127.0.0.1:1", "a", **fields)


class FollowerTest(PausedTestCase):
    async def start(self, first: bool = True, watching: bool = True) -> None:
        self.store = StoreModel()
        self.fleet = UpstreamFleet(SharedBounds(), NAMES)
        self.beliefs = Beliefs(self.fleet)
        self.view = View()
        self.view.first = first
        self.view.watching = watching
        self.follower = StoreFollower(
            self.store, self.beliefs, 2.0, Metrics(), random.Random(1), self.view
        )
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(3))
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1"))
        await self.follower.start()
        await asyncio.sleep(0.1)

    @property
    def version(self) -> int:
        return self.beliefs.routes.configuration.version

    async def test_change_is_in_force_at_once(self) -> None:
        await self.start()
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        await asyncio.sleep(0.05)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_deaf_watch_is_caught_by_the_check(self) -> None:
        await self.start()
        self.store.deaf = True
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1", leaving=True))
        await asyncio.sleep(2.0)
        self.assertEqual(self.version, 5)
        self.assertTrue(self.fleet.by_name["u1"].record.leaving)
        await self.follower.close()

    async def test_lost_history_is_listed_anew(self) -> None:
        await self.start()
        self.store.deaf = True
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.oldest = self.store.revision
        self.store.deaf = False
        self.store.wake()
        await asyncio.sleep(0.2)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_configuration_never_goes_back(self) -> None:
        await self.start()
        for revision, version in ((90, 9), (80, 8), (91, 7)):
            item = WatchedItem("main", revision, configuration(version))
            self.beliefs.take(WatchedKind.CONFIGURATION, item)
        self.assertEqual(self.version, 9)
        await self.follower.close()

    async def test_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back(self) -> None:
        await self.start()
        self.store.away = True
        self.store.wake()
        await asyncio.sleep(3.0)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        self.store.away = False
        await asyncio.sleep(1.5)
        self.assertIn("u1", self.fleet.by_name)
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1"))
        await asyncio.sleep(5.0)
        self.assertIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_entry_still_missing_after_an_outage_is_gone(self) -> None:
        await self.start()
        self.store.away = True
        self.store.wake()
        await asyncio.sleep(3.0)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        self.store.away = False
        await asyncio.sleep(4.0)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_returns_one_after_the_other_hold_a_removal_back_only_once(self) -> None:
        await self.start()
        self.follower.hold_absence()
        await asyncio.sleep(0.5)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        for _ in range(4):
            await asyncio.sleep(0.6)
            self.follower.hold_absence()
            await self.follower.read_all(WatchedKind.UPSTREAMS)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_entry_removed_while_the_store_serves_is_gone_at_once(self) -> None:
        await self.start()
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        await asyncio.sleep(0.1)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_same_name_started_again_is_another_upstream(self) -> None:
        await self.start()
        before = self.fleet.by_name["u1"]
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1", started_at_ms=7))
        await asyncio.sleep(0.1)
        self.assertIsNot(self.fleet.by_name["u1"], before)
        self.assertTrue(before.gone)
        await self.follower.close()

    async def test_evacuated_domain_until_taken_back(self) -> None:
        await self.start()
        self.store.put(WatchedKind.DOMAINS_OUT, "a", "a")
        await asyncio.sleep(0.1)
        self.assertEqual(self.fleet.domains_out, {"a"})
        self.store.put(WatchedKind.DOMAINS_OUT, "a", None)
        await asyncio.sleep(0.1)
        self.assertEqual(self.fleet.domains_out, frozenset())
        await self.follower.close()

    async def test_change_of_one_kind_is_found_while_watches_of_others_go_on(self) -> None:
        await self.start()
        self.store.deaf_kinds = {WatchedKind.CONFIGURATION}
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.put(WatchedKind.UPSTREAMS, "u2", record("u2"))
        await asyncio.sleep(2.0)
        self.assertIn("u2", self.fleet.by_name)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_instance_that_is_told_at_its_start_does_not_list(self) -> None:
        await self.start(first=False, watching=False)
        self.view.count = 76
        self.beliefs.take(WatchedKind.CONFIGURATION, WatchedItem("main", 2, configuration(3)))
        self.beliefs.take(WatchedKind.UPSTREAMS, WatchedItem("u1", 3, record("u1")))
        await asyncio.sleep(5.0)
        self.assertEqual(self.store.calls, 0)
        await self.follower.close()

    async def test_instance_that_nobody_tells_lists_by_itself(self) -> None:
        await self.start(first=False)
        self.assertEqual(self.store.calls, 0)
        await asyncio.sleep(2.0)
        self.assertEqual(self.version, 3)
        await self.follower.close()

    async def test_instance_that_does_not_watch_makes_few_calls(self) -> None:
        await self.start()
        self.view.watching = False
        self.view.count = 8
        await asyncio.sleep(25.0)
        before = self.store.calls
        await asyncio.sleep(60.0)
        self.assertLess(self.store.calls - before, 25)
        await self.follower.close()
