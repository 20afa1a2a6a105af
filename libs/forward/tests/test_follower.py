"""Tests of following a store whose watches stall, whose history is lost or that is offline."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise

from fake_store import FakeStore
from fakes import HEADER_NAMES

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import Configuration, SharedBounds, UpstreamRecord
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.follower import PeerView, StoreFollower
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import (
    WatchedItem,
    WatchedItems,
    WatchedKind,
)


class FakePeerView(PeerView):
    def __init__(self) -> None:
        self.count = 1
        self.position = 0
        self.is_watcher = True
        self.reads_at_start = True

    def reads_store_at_start(self) -> bool:
        return self.reads_at_start

    def alive_count(self) -> int:
        return self.count

    def rank(self) -> int:
        return self.position

    def is_store_watcher(self) -> bool:
        return self.is_watcher


def configuration(version: int) -> Configuration:
    return Configuration(version, ())


def record(name: str, **fields: object) -> UpstreamRecord:
    return UpstreamRecord(name, "s", "127.0.0.1:1", "a", **fields)


class CheckRecordingStore(FakeStore):
    """Records when the revision is checked, by a list of the evacuated domains."""

    def __init__(self) -> None:
        super().__init__()
        self.checks: list[float] = []

    async def list(self, kind: WatchedKind) -> WatchedItems:
        if kind is WatchedKind.DOMAINS_OUT:
            self.checks.append(now())
        return await super().list(kind)


class CheckRateTest(PausedTestCase):
    """Instances that start together must check at the same rate whatever their number."""

    async def checks(self, instances: int, seconds: float) -> list[float]:
        store = CheckRecordingStore()
        store.put(WatchedKind.CONFIGURATION, "main", configuration(3))
        followers = []
        for number in range(instances):
            fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
            view = FakePeerView()
            view.count, view.position = instances, number
            view.is_watcher = view.reads_at_start = False
            cache = StateCache(fleet)
            cache.put_if_newer(WatchedKind.UPSTREAMS, WatchedItem("u1", 2, record("u1")))
            cache.put_if_newer(WatchedKind.CONFIGURATION, WatchedItem("main", 2, configuration(3)))
            rng = random.Random(number)
            follower = StoreFollower(store, cache, 2.0, Metrics(), rng, view)
            await follower.start()
            followers.append(follower)
        await asyncio.sleep(seconds)
        for follower in followers:
            await follower.close()
        return store.checks

    async def test_rate_and_gaps_do_not_depend_on_the_number_of_instances(self) -> None:
        for instances in (1, 8, 80, 195):
            with self.subTest(instances=instances):
                seconds = 30.0
                started = now()
                checks = await self.checks(instances, seconds)
                gaps = [later - at for at, later in pairwise([started, *checks])]
                self.assertLess(max(gaps), 2.5)
                self.assertLess(len(checks) / seconds, 3.0)


class FollowerTest(PausedTestCase):
    async def start(self, reads_at_start: bool = True, is_watcher: bool = True) -> None:
        self.store = FakeStore()
        self.fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        self.state_cache = StateCache(self.fleet)
        self.view = FakePeerView()
        self.view.reads_at_start = reads_at_start
        self.view.is_watcher = is_watcher
        self.follower = StoreFollower(
            self.store, self.state_cache, 2.0, Metrics(), random.Random(1), self.view
        )
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(3))
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1"))
        await self.follower.start()
        await asyncio.sleep(0.1)

    @property
    def version(self) -> int:
        return self.state_cache.routes.configuration.version

    async def test_watched_change_is_applied_at_once(self) -> None:
        await self.start()
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        await asyncio.sleep(0.05)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_revision_check_detects_a_stalled_watch(self) -> None:
        await self.start()
        self.store.watches_stalled = True
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1", leaving=True))
        await asyncio.sleep(2.0)
        self.assertEqual(self.version, 5)
        self.assertTrue(self.fleet.by_name["u1"].record.leaving)
        await self.follower.close()

    async def test_lists_again_after_history_is_lost(self) -> None:
        await self.start()
        self.store.watches_stalled = True
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.oldest_revision = self.store.revision
        self.store.watches_stalled = False
        self.store.notify_watchers()
        await asyncio.sleep(0.2)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_configuration_never_goes_back(self) -> None:
        await self.start()
        for revision, version in ((90, 9), (80, 8), (91, 7)):
            item = WatchedItem("main", revision, configuration(version))
            self.state_cache.put_if_newer(WatchedKind.CONFIGURATION, item)
        self.assertEqual(self.version, 9)
        await self.follower.close()

    async def test_entry_that_expired_in_an_outage_is_kept_until_it_returns(self) -> None:
        await self.start()
        self.store.offline = True
        self.store.notify_watchers()
        await asyncio.sleep(3.0)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        self.store.offline = False
        await asyncio.sleep(1.5)
        self.assertIn("u1", self.fleet.by_name)
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1"))
        await asyncio.sleep(5.0)
        self.assertIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_entry_still_missing_after_an_outage_is_removed(self) -> None:
        await self.start()
        self.store.offline = True
        self.store.notify_watchers()
        await asyncio.sleep(3.0)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        self.store.offline = False
        await asyncio.sleep(4.0)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_repeated_store_recoveries_defer_a_removal_only_once(self) -> None:
        await self.start()
        self.follower.defer_removals()
        await asyncio.sleep(0.5)
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        for _ in range(4):
            await asyncio.sleep(0.6)
            self.follower.defer_removals()
            await self.follower.list_kind(WatchedKind.UPSTREAMS)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_removal_outside_an_outage_is_applied_at_once(self) -> None:
        await self.start()
        self.store.put(WatchedKind.UPSTREAMS, "u1", None)
        await asyncio.sleep(0.1)
        self.assertNotIn("u1", self.fleet.by_name)
        await self.follower.close()

    async def test_restart_under_the_same_name_replaces_the_upstream(self) -> None:
        await self.start()
        before = self.fleet.by_name["u1"]
        self.store.put(WatchedKind.UPSTREAMS, "u1", record("u1", started_at_ms=7))
        await asyncio.sleep(0.1)
        self.assertIsNot(self.fleet.by_name["u1"], before)
        self.assertTrue(before.removed)
        await self.follower.close()

    async def test_domain_is_evacuated_until_restored(self) -> None:
        await self.start()
        self.store.put(WatchedKind.DOMAINS_OUT, "a", "a")
        await asyncio.sleep(0.1)
        self.assertEqual(self.fleet.domains_out, {"a"})
        self.store.put(WatchedKind.DOMAINS_OUT, "a", None)
        await asyncio.sleep(0.1)
        self.assertEqual(self.fleet.domains_out, frozenset())
        await self.follower.close()

    async def test_stalled_watch_of_one_kind_is_detected_while_others_deliver(self) -> None:
        await self.start()
        self.store.stalled_kinds = {WatchedKind.CONFIGURATION}
        self.store.put(WatchedKind.CONFIGURATION, "main", configuration(5))
        self.store.put(WatchedKind.UPSTREAMS, "u2", record("u2"))
        await asyncio.sleep(2.0)
        self.assertIn("u2", self.fleet.by_name)
        self.assertEqual(self.version, 5)
        await self.follower.close()

    async def test_instance_that_gets_its_state_from_peers_does_not_list(self) -> None:
        await self.start(reads_at_start=False, is_watcher=False)
        self.view.count, self.view.position = 76, 40
        self.state_cache.put_if_newer(
            WatchedKind.CONFIGURATION, WatchedItem("main", 2, configuration(3))
        )
        self.state_cache.put_if_newer(WatchedKind.UPSTREAMS, WatchedItem("u1", 3, record("u1")))
        await asyncio.sleep(5.0)
        self.assertEqual(self.store.calls, 0)
        await self.follower.close()

    async def test_instance_without_state_from_peers_lists(self) -> None:
        await self.start(reads_at_start=False)
        self.assertEqual(self.store.calls, 0)
        await asyncio.sleep(2.0)
        self.assertEqual(self.version, 3)
        await self.follower.close()

    async def test_instance_that_is_not_a_watcher_makes_few_calls(self) -> None:
        await self.start()
        self.view.is_watcher = False
        self.view.count = 8
        await asyncio.sleep(25.0)
        before = self.store.calls
        await asyncio.sleep(60.0)
        self.assertLess(self.store.calls - before, 25)
        await self.follower.close()
