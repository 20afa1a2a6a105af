"""Tests that a key that was taken away is refused in time by every instance, in touch or not."""

from __future__ import annotations

import asyncio
import random

from organisation_fleet import Fleet

from mimosahoist.core.tasks import boot_time, now
from mimosahoist.forward.organisations.configuration_lease import (
    ConfigurationLease,
    ConfigurationPosition,
)
from mimosahoist.forward.organisations.usage_duty import UsageSettings
from mimosahoist.lab.paused_loop import PausedTestCase

REVOCATION_SECONDS = 5.0
SETTINGS = UsageSettings(5.0, 10.0, 3.0)
SIZE = 9


class ConfigurationLeaseTest(PausedTestCase):
    async def test_lease_counts_from_the_question_and_not_from_the_answer(self) -> None:
        lease = ConfigurationLease(REVOCATION_SECONDS)
        position = ConfigurationPosition(7, 1)
        asked_at = boot_time()
        await asyncio.sleep(3.0)
        lease.confirm_by_peer(asked_at, 0.5, position, position)
        self.assertTrue(lease.holds(asked_at + 3.4))
        self.assertFalse(lease.holds(asked_at + 3.6))

    async def test_reading_of_a_newer_configuration_extends_no_lease(self) -> None:
        lease = ConfigurationLease(REVOCATION_SECONDS)
        for theirs in (ConfigurationPosition(8, 1), ConfigurationPosition(7, 2)):
            applies = lease.confirm_by_peer(0.0, 0.0, theirs, ConfigurationPosition(7, 1))
            self.assertFalse(applies)
        self.assertFalse(lease.holds(0.0))

    async def test_suspension_of_the_machine_counts(self) -> None:
        lease = ConfigurationLease(REVOCATION_SECONDS)
        lease.confirm(boot_time())
        asyncio.get_running_loop().suspended_seconds += 6.0
        self.assertFalse(lease.holds(boot_time()))

    async def test_without_a_revocation_time_keys_need_no_lease(self) -> None:
        self.assertTrue(ConfigurationLease(0.0).holds(boot_time()))


class FleetLeaseTest(PausedTestCase):
    async def start(self, seed: int = 1) -> Fleet:
        self.fleet = Fleet(SIZE, SETTINGS, seed, REVOCATION_SECONDS)
        await self.fleet.start()
        await asyncio.sleep(3.0)
        return self.fleet

    def holding(self) -> set[str]:
        return {name for name, instance in self.fleet.instances.items() if instance.confirmer.holds}

    async def test_all_instances_hold_leases_in_calm_with_few_readings(self) -> None:
        fleet = await self.start()
        readings = []
        for instance in fleet.instances.values():
            instance.follower.confirmation_listeners.append(readings.append)
        for _ in range(100):
            await asyncio.sleep(0.2)
            self.assertEqual(self.holding(), set(fleet.names))
        self.assertLess(len(readings), 100)
        await fleet.close()

    async def test_instances_without_the_store_hold_leases_through_others(self) -> None:
        fleet = await self.start()
        fleet.store.unreachable = {"i0", "i1", "i2", "i5"}
        for _ in range(50):
            await asyncio.sleep(0.2)
            self.assertEqual(self.holding(), set(fleet.names))
        await fleet.close()

    async def test_without_the_store_all_refuse_and_are_back_with_it(self) -> None:
        fleet = await self.start()
        fleet.store.offline = True
        await asyncio.sleep(REVOCATION_SECONDS)
        self.assertEqual(self.holding(), set())
        fleet.store.offline = False
        await asyncio.sleep(2.0)
        self.assertEqual(self.holding(), set(fleet.names))
        await fleet.close()

    async def test_instance_that_is_cut_off_refuses_also_when_late_messages_arrive(self) -> None:
        fleet = await self.start()
        await asyncio.sleep(0.1)
        fleet.network.cut_off.add("i8")
        fleet.store.unreachable.add("i8")
        await asyncio.sleep(REVOCATION_SECONDS)
        self.assertNotIn("i8", self.holding())
        fleet.store.configure()
        await asyncio.sleep(1.0)
        fleet.network.heal("i8")
        self.assertNotIn("i8", self.holding())
        await fleet.close()

    async def test_no_instance_takes_a_key_that_was_removed_too_long_ago(self) -> None:
        """Random cuts, outages and kills; the store's configuration changes all the while."""
        for seed in range(12):
            fleet = await self.start(seed)
            rng = random.Random(seed)
            changed_at = {fleet.store.configuration: now()}
            for _ in range(400):
                await asyncio.sleep(0.1)
                await self.disturb(rng)
                changed_at.setdefault(fleet.store.configuration, now())
                self.check(changed_at)
            await fleet.close()

    async def disturb(self, rng: random.Random) -> None:
        fleet = self.fleet
        name = rng.choice(fleet.names)
        event = rng.random()
        if event < 0.05:
            fleet.store.configure()
        elif event < 0.08:
            fleet.network.cut_off.add(name)
        elif event < 0.12:
            fleet.network.heal(name)
        elif event < 0.15:
            fleet.store.unreachable.symmetric_difference_update({name})
        elif event < 0.16:
            fleet.store.offline = not fleet.store.offline
        elif event < 0.18 and name in fleet.instances:
            await fleet.kill(name)
            await fleet.start_instance(name)

    def check(self, changed_at: dict[tuple[int, int], float]) -> None:
        at = now()
        versions = sorted(changed_at)
        for name in self.holding():
            known = self.fleet.instances[name].follower.position
            newer = [changed_at[version] for version in versions if version > known]
            if newer:
                self.assertLess(at - newer[0], REVOCATION_SECONDS, name)
