"""Tests that each window of usage is reported once and truthfully, whatever its holder meets."""

from __future__ import annotations

import asyncio
import random

from organisation_fleet import Fleet

from mimosahoist.core.tasks import unix_time
from mimosahoist.forward.organisations.usage_collector import InstanceCounts, UsageCollector
from mimosahoist.forward.organisations.usage_duty import (
    DutyRecord,
    StoredDuty,
    UsageDuty,
    UsageReport,
    UsageSettings,
)
from mimosahoist.forward.organisations.usage_reporter import decode_counts
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import make_position

SETTINGS = UsageSettings(window_seconds=5.0, due_seconds=10.0, lease_seconds=3.0)
SIZE = 6


class UsageReportsTest(PausedTestCase):
    async def start(self, seed: int = 1) -> Fleet:
        self.fleet = Fleet(SIZE, SETTINGS, seed)
        self.truth: dict[int, dict[str, int]] = {}
        await self.fleet.start()
        await asyncio.sleep(5.0)
        return self.fleet

    def count(self, name: str) -> None:
        organisation = self.fleet.rng.choice(("bothy", "grid"))
        counted = self.fleet.instances[name].reporter.meter.add(organisation)
        counts = self.truth.setdefault(counted.window, {})
        counts[organisation] = counts.get(organisation, 0) + 1

    async def serve(self, seconds: float, disturb: object = None) -> None:
        for _ in range(int(seconds / 0.1)):
            await asyncio.sleep(0.1)
            self.count(self.fleet.rng.choice(list(self.fleet.instances)))
            if disturb is not None:
                await disturb()

    async def settle(self) -> None:
        await asyncio.sleep(SETTINGS.window_seconds + 2 * SETTINGS.due_seconds)

    def reported(self) -> dict[int, dict[str, int]]:
        counts = self.fleet.receiver.counts
        return {window: counts.get(window, {}) for window in self.truth}

    async def test_reports_are_true_complete_and_in_time(self) -> None:
        fleet = await self.start()
        await self.serve(40.0)
        await self.settle()
        self.assertEqual(self.reported(), self.truth)
        self.assertEqual(fleet.receiver.violations, [])
        offset = unix_time() - asyncio.get_running_loop().time()
        for window, at in fleet.receiver.received_at.items():
            late = at + offset - (window + 1) * SETTINGS.window_seconds
            self.assertLess(late, SETTINGS.due_seconds)
        # A report and a write for each window, and little more.
        self.assertLess(len(fleet.receiver.calls), len(self.truth) + 8)
        await fleet.close()

    async def test_counts_of_an_instance_outlive_it_and_the_holder(self) -> None:
        fleet = await self.start()
        await self.serve(12.0)
        await asyncio.sleep(0.6)
        for name in ("i4", fleet.receiver.calls[-1][1]):
            await fleet.kill(name)
        await self.serve(5.0)
        await self.settle()
        self.assertEqual(self.reported(), self.truth)
        self.assertEqual(fleet.receiver.violations, [])
        await fleet.close()

    async def test_holder_that_is_cut_off_and_returns_sends_nothing_stale(self) -> None:
        fleet = await self.start()
        await self.serve(12.0)
        holder = fleet.receiver.calls[-1][1]
        await asyncio.sleep(0.6)
        fleet.network.cut_off.add(holder)
        fleet.store.unreachable.add(holder)
        fleet.believed_dead.add(holder)
        await asyncio.sleep(15.0)
        fleet.network.heal(holder)
        fleet.store.unreachable.clear()
        fleet.believed_dead.clear()
        await self.serve(10.0)
        await self.settle()
        self.assertEqual(self.reported(), self.truth)
        self.assertEqual(fleet.receiver.violations, [])
        self.assertGreater(len({name for _, name, _ in fleet.receiver.calls}), 1)
        await fleet.close()

    async def test_windows_of_a_store_outage_are_reported_after_it(self) -> None:
        fleet = await self.start()
        await self.serve(6.0)
        fleet.store.offline = True
        await self.serve(11.0)
        fleet.store.offline = False
        await self.settle()
        self.assertEqual(self.reported(), self.truth)
        self.assertEqual(fleet.receiver.violations, [])
        await fleet.close()

    async def test_store_restored_from_a_copy_brings_no_window_and_no_token_back(self) -> None:
        for survives in (True, False):
            fleet = await self.start()
            await self.serve(12.0)
            copy = fleet.copy_store()
            await self.serve(12.0)
            holder = fleet.receiver.calls[-1][1]
            fleet.restore_store(copy)
            if not survives:
                await fleet.kill(holder)
            await self.serve(12.0)
            await self.settle()
            self.assertEqual(fleet.receiver.violations, [], survives)
            if survives:
                self.assertEqual(self.reported(), self.truth)
            await fleet.close()

    async def test_one_report_a_window_through_random_faults(self) -> None:
        for seed in range(25):
            fleet = await self.start(seed)
            rng = random.Random(seed)
            fleet.store.lost_answers = rng.choice((0.0, 0.1, 0.4))

            async def disturb(rng: random.Random = rng) -> None:
                await self.disturb(rng)

            await self.serve(60.0, disturb)
            for name in fleet.names:
                fleet.network.heal(name)
            fleet.store.offline, fleet.store.lost_answers = False, 0.0
            fleet.store.unreachable.clear()
            fleet.believed_dead.clear()
            await self.settle()
            self.assertEqual(fleet.receiver.violations, [], seed)
            self.assertEqual(set(self.truth) - set(fleet.receiver.counts), set(), seed)
            await fleet.close()

    async def disturb(self, rng: random.Random) -> None:
        fleet = self.fleet
        name = rng.choice(fleet.names)
        event = rng.random()
        if event < 0.02:
            fleet.network.cut_off.add(name)
            fleet.believed_dead.add(name)
        elif event < 0.05:
            fleet.network.heal(name)
            fleet.believed_dead.discard(name)
        elif event < 0.06:
            fleet.store.unreachable.symmetric_difference_update({name})
        elif event < 0.065:
            fleet.store.offline = not fleet.store.offline
        elif event < 0.08 and name in fleet.instances and len(fleet.instances) > 2:
            await fleet.kill(name)
            await fleet.start_instance(name)


class UsageDutyTest(PausedTestCase):
    """Single decisions, with what the store holds given."""

    def duty(self, record: DutyRecord | None, epoch: int = 0, name: str = "i0") -> UsageDuty:
        duty = UsageDuty(name, SETTINGS)
        duty.observe(StoredDuty(record, make_position(epoch, 7)), 100.0)
        return duty

    async def test_holder_that_paused_after_its_write_sends_nothing(self) -> None:
        duty = self.duty(None)
        record = duty.next_record(3, [UsageReport(4, {"a": 1})])
        self.assertTrue(duty.record_write(StoredDuty(record, 8), record, 100.0))
        self.assertGreater(duty.sending_until(), 100.0)
        # The next holder acts a lease after the write at the earliest.
        self.assertLess(duty.sending_until(), 100.0 + SETTINGS.lease_seconds - 1.0)

    async def test_content_of_another_writer_ends_the_permission_to_send(self) -> None:
        duty = self.duty(None)
        record = duty.next_record(3, [UsageReport(4, {"a": 1})])
        duty.record_write(StoredDuty(record, 8), record, 100.0)
        other = DutyRecord("i1", 2, 4, [], 2)
        self.assertFalse(duty.record_write(StoredDuty(other, 9), record, 101.0))
        self.assertFalse(duty.is_holder)
        self.assertLess(duty.sending_until(), 101.0)

    async def test_window_fixed_before_a_restore_is_not_fixed_again(self) -> None:
        duty = self.duty(DutyRecord("i0", 1, 3, []), epoch=1)
        new = [UsageReport(window, {"a": 2}) for window in (4, 5, 6)]
        record = duty.next_record(5, new)
        self.assertEqual([report.window for report in record.reports], [6])

    async def test_tokens_rise_with_each_holder_and_each_epoch(self) -> None:
        earlier = DutyRecord("i1", 9, 3, [])
        self.assertEqual(self.duty(earlier).next_record(3, []).token, 10)
        restored = self.duty(earlier, epoch=2)
        self.assertGreater(restored.next_record(3, []).token, 1 << 32)

    async def test_holder_of_an_earlier_epoch_takes_the_duty_over_like_any_other(self) -> None:
        duty = self.duty(DutyRecord("i0", 1, 3, []), epoch=1)
        self.assertFalse(duty.is_holder)
        self.assertFalse(duty.may_take_over(100.0 + SETTINGS.lease_seconds - 0.1, 0))
        self.assertTrue(duty.may_take_over(100.0 + SETTINGS.lease_seconds, 0))

    async def test_reports_not_confirmed_stay_as_they_were_fixed(self) -> None:
        held = UsageReport(3, {"a": 1})
        duty = self.duty(DutyRecord("i1", 1, 3, [held]))
        record = duty.next_record(3, [UsageReport(3, {"a": 5}), UsageReport(4, {"a": 2})])
        self.assertEqual(record.reports, [held, UsageReport(4, {"a": 2})])


class UsageCollectorTest(PausedTestCase):
    async def test_order_and_repeats_of_messages_do_not_matter(self) -> None:
        messages = [
            InstanceCounts(1, 1, 3, {4: {"a": 1}}),
            InstanceCounts(1, 2, 3, {4: {"a": 2, "b": 1}}),
            InstanceCounts(1, 3, 4, {4: {"a": 2, "b": 0}, 5: {"a": 1}}),
            InstanceCounts(2, 1, 4, {5: {"a": 4}}),
        ]
        rng = random.Random(3)
        for _ in range(50):
            collector = UsageCollector()
            for message in rng.choices(messages, k=3) + rng.sample(messages, 4):
                collector.merge("i", message)
            self.assertEqual(collector.totals(4), {"a": 2})
            self.assertEqual(collector.totals(5), {"a": 5})
            self.assertTrue(collector.is_closed(["i"], 4))
            self.assertFalse(collector.is_closed(["i"], 5))
            self.assertFalse(collector.is_closed(["i", "j"], 4))

    async def test_counts_that_come_too_late_are_dropped_and_told(self) -> None:
        collector = UsageCollector()
        collector.discard_through(4)
        collector.merge("i", InstanceCounts(1, 1, 4, {4: {"a": 3}, 5: {"a": 1}}))
        self.assertEqual((collector.totals(4), collector.late_requests), ({}, 3))
        self.assertEqual(collector.totals(5), {"a": 1})

    async def test_malformed_counts_are_refused(self) -> None:
        spoiled = (None, 1, [1, 2, 3], [1, 2, 3, 4], [1, 2, 3, [[1, 2]]], ["x", 1, 1, []])
        for body in (*spoiled, [1, 1, 1, [[1, {"a": "x"}]]]):
            with self.assertRaises(ValueError):
                decode_counts(body)
