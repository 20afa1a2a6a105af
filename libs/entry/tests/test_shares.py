from __future__ import annotations

import asyncio

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.memory import PLATFORM
from mimosahoist.lab.paused_loop import PausedTestCase


class ShareClaimerTest(PausedTestCase):
    async def start_fleet(self, entries: int = sizes.ENTRIES) -> MemoryFleet:
        fleet = MemoryFleet(sizes.SMALL, 5, entries)
        await fleet.start()
        return fleet

    def share_indices(self, fleet: MemoryFleet) -> list[int | None]:
        return [app.shares.index for app in fleet.entries.values()]

    async def test_each_instance_claims_a_distinct_share(self) -> None:
        fleet = await self.start_fleet()
        self.assertEqual(sorted(self.share_indices(fleet)), list(range(sizes.ENTRIES)))
        await fleet.close()

    async def test_ninth_instance_waits_for_a_share(self) -> None:
        fleet = await self.start_fleet()
        extra = await fleet.start_entry(8)
        await asyncio.sleep(5)
        self.assertIsNone(extra.shares.index)
        self.assertFalse(extra.ready())
        await fleet.stop_entry("entry-3")
        await fleet.wait_until(extra.ready, 20)
        await fleet.close()

    async def test_share_of_a_dead_instance_is_taken_over_only_after_the_delay(self) -> None:
        fleet = await self.start_fleet()
        await fleet.kill_entry("entry-2")
        extra = await fleet.start_entry(9)
        seconds = await fleet.wait_until(lambda: extra.shares.index is not None, 40)
        self.assertGreater(seconds, 6)
        await fleet.close()

    async def test_instance_without_any_contact_stops_sending(self) -> None:
        fleet = await self.start_fleet()
        for other in ("a", "c", "d", PLATFORM):
            fleet.network.cut("b", other)
        await fleet.kill_entry("entry-5")
        isolated = fleet.entries["entry-1"]
        await fleet.wait_until(lambda: isolated.shares.index is None, 10)
        fleet.network.heal()
        await fleet.wait_until(lambda: isolated.shares.index is not None, 30)
        await fleet.close()

    async def test_cut_off_domain_goes_on_while_it_has_peers(self) -> None:
        fleet = await self.start_fleet()
        for other in ("a", "c", "d", PLATFORM):
            fleet.network.cut("b", other)
        await asyncio.sleep(30)
        self.assertIsNotNone(fleet.entries["entry-1"].shares.index)
        result = await fleet.search("catalogue", "x", 0.33, fleet.entries["entry-1"])
        self.assertGreater(result.answered, 0)
        self.assertEqual(result.answered + len(result.missing), result.shards)
        await fleet.close()

    async def test_instance_started_during_store_outage_synchronises_from_peers(self) -> None:
        fleet = await self.start_fleet()
        await fleet.kill_entry("entry-4")
        fleet.platform.set_down(True)
        app = await fleet.start_entry(4)
        app.exchange.seeds = ["entry-0:peer"]
        revision = fleet.entries["entry-0"].directory.applied_revision
        await fleet.wait_until(lambda: app.directory.applied_revision >= revision, 20)
        self.assertIn(("small", "catalogue"), app.directory.services)
        await fleet.close()

    async def test_graceful_stop_cuts_no_request(self) -> None:
        fleet = await self.start_fleet()
        app = fleet.entries["entry-6"]
        searches = [
            asyncio.create_task(fleet.search("catalogue", f"t {number}", 0.33, app))
            for number in range(10)
        ]
        await asyncio.sleep(0.002)
        await fleet.stop_entry("entry-6")
        results = await asyncio.gather(*searches)
        self.assertTrue(all(result.answered == result.shards for result in results))
        await fleet.close()


class ConfigurationTest(PausedTestCase):
    async def test_drained_domain_gets_nothing_after_three_seconds(self) -> None:
        fleet = MemoryFleet(sizes.SMALL, 6)
        await fleet.start()
        fleet.network.cut("c", PLATFORM)
        fleet.set_domain("a", out=True)
        await asyncio.sleep(3)
        drained = [m for m in fleet.models.values() if m.spec.failure_domain == "a"]
        before = {model.spec.name: model.record.last_begun for model in drained}
        for number in range(100):
            result = await fleet.search("catalogue", f"t {number}", 0.33)
            self.assertEqual(result.answered, result.shards)
        after = {model.spec.name: model.record.last_begun for model in drained}
        self.assertEqual(before, after)
        await fleet.close()

    async def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = {}
        for entries in (8, 16):
            fleet = MemoryFleet(sizes.SMALL, 7, min(entries, sizes.ENTRIES))
            await fleet.start()
            for number in range(sizes.ENTRIES, entries):
                app = await fleet.start_entry(number)
                app.share_claimer.releasing = True
            await asyncio.sleep(20)
            before = sum(fleet.platform.calls.values())
            await asyncio.sleep(60)
            calls[entries] = sum(fleet.platform.calls.values()) - before
            await fleet.close()
        self.assertLessEqual(calls[16], calls[8] + 8)
