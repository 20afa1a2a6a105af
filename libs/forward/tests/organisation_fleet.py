"""Instances that renew leases and report usage, on an in-memory network with faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import boot_time, now
from mimosahoist.forward.organisations.configuration_lease import ConfigurationLease
from mimosahoist.forward.organisations.confirmation import ConfigurationConfirmer
from mimosahoist.forward.organisations.usage_duty import (
    DutyRecord,
    StoredDuty,
    UsageReport,
    UsageSettings,
)
from mimosahoist.forward.organisations.usage_platform import UsagePlatform
from mimosahoist.forward.organisations.usage_reporter import UsageReporter
from mimosahoist.peers.facts import Fact, FactTable
from mimosahoist.peers.inquiries import Inquiries
from mimosahoist.peers.transport import PeerTransport
from mimosahoist.platform.watched import epoch_of, make_position

GOSSIP_SECONDS = 0.2
STORE_SECONDS = 0.004


class Network:
    """Delays messages, and holds those back that cross a cut until it heals."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.receivers: dict[str, Inquiries] = {}
        self.cut_off: set[str] = set()
        self.held: list[tuple[str, bytes]] = []

    def send(self, sender: str, address: str, data: bytes) -> None:
        if sender in self.cut_off or address in self.cut_off:
            self.held.append((address, data))
            return
        delay = self.rng.uniform(0.0005, 0.005)
        asyncio.get_running_loop().call_later(delay, self.deliver, address, data)

    def deliver(self, address: str, data: bytes) -> None:
        if address in self.receivers:
            self.receivers[address].handle(data)

    def heal(self, name: str) -> None:
        """End a cut; the messages that it held back arrive late."""
        self.cut_off.discard(name)
        held, self.held = self.held, []
        for address, data in held:
            self.deliver(address, data)


class NetworkTransport(PeerTransport):
    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.name = name

    async def start(self, handler: Any) -> None:
        pass

    async def close(self) -> None:
        pass

    def disconnect(self, address: str) -> None:
        pass

    def send(self, address: str, frame: bytes) -> None:
        self.network.send(self.name, address, frame)


class PeerIdentity(NamedTuple):
    incarnation: int


class FleetPeers:
    """The part of `Peers` that the organisations need; the fleet sets who is alive."""

    def __init__(self, fleet: Fleet, name: str, incarnation: int) -> None:
        self.fleet = fleet
        self.name = name
        self.identity = PeerIdentity(incarnation)
        self.fact_table = FactTable()
        transport = NetworkTransport(fleet.network, name)
        self.inquiries = Inquiries("c", name, name, transport, Metrics())
        self.exchange = self

    def ranked_names(self) -> list[str]:
        """Names in rendezvous order; an instance that is cut off sees itself alone."""
        if self.name in self.fleet.network.cut_off:
            return [self.name]
        return [name for name in self.fleet.instances if name not in self.fleet.believed_dead]

    def address_of(self, name: str) -> str:
        return name

    @property
    def heard_recently(self) -> bool:
        return self.name not in self.fleet.network.cut_off


class FleetStore:
    """The platform's store: a configuration and the record of the duty, by revision."""

    def __init__(self) -> None:
        self.epoch = 0
        self.revision = 1
        self.configuration = (1, 1)
        self.record: DutyRecord | None = None
        self.record_revision = 0
        self.offline = False
        self.unreachable: set[str] = set()
        self.lost_answers = 0.0
        self.rng = random.Random(11)

    async def call(self, name: str) -> None:
        await asyncio.sleep(STORE_SECONDS)
        if self.offline or name in self.unreachable:
            raise Problem(ProblemKind.STORE, "no answer", "wait")

    def configure(self) -> None:
        self.revision += 1
        self.configuration = (self.configuration[0] + 1, self.revision)

    def stored(self) -> StoredDuty:
        return StoredDuty(self.record, make_position(self.epoch, self.record_revision))


class FleetPlatform(UsagePlatform):
    """Checks at its receiver what must hold of reports."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    async def read(self) -> StoredDuty:
        await self.fleet.store.call(self.name)
        return self.fleet.store.stored()

    async def write(self, record: DutyRecord, known: StoredDuty) -> StoredDuty:
        store = self.fleet.store
        await store.call(self.name)
        expected = make_position(store.epoch, store.record_revision)
        if epoch_of(known.position) == store.epoch and known.position == expected:
            store.revision += 1
            store.record, store.record_revision = record, store.revision
        if store.rng.random() < store.lost_answers:
            raise Problem(ProblemKind.STORE, "the answer was lost", "read it")
        return store.stored()

    async def send(self, report: UsageReport, holder: str, token: int, timeout: float) -> bool:
        await asyncio.sleep(STORE_SECONDS)
        if self.name in self.fleet.network.cut_off:
            return False
        self.fleet.receiver.receive(report, self.name, token, now())
        return self.fleet.store.rng.random() >= self.fleet.store.lost_answers


class Receiver:
    """Keeps the reports and the order of their senders."""

    def __init__(self, lease_seconds: float) -> None:
        self.lease_seconds = lease_seconds
        self.counts: dict[int, dict[str, int]] = {}
        self.received_at: dict[int, float] = {}
        self.calls: list[tuple[float, str, int]] = []
        self.violations: list[str] = []

    def receive(self, report: UsageReport, sender: str, token: int, at: float) -> None:
        held = self.counts.setdefault(report.window, dict(report.counts))
        if held != report.counts:
            self.violations.append(f"window {report.window}: {held}, then {report.counts}")
        self.received_at.setdefault(report.window, at)
        if any(token < earlier for _, _, earlier in self.calls):
            self.violations.append(f"token {token} of {sender} after a higher one")
        if any(token == earlier and sender != name for _, name, earlier in self.calls):
            self.violations.append(f"token {token} of two holders")
        recent = [name for time, name, _ in self.calls if at - time < self.lease_seconds]
        if sender in recent and recent[-1] != sender:
            self.violations.append(f"{sender} acts again within a lease: {recent}")
        self.calls.append((at, sender, token))


class Follower:
    """Reads the store for one instance and keeps its configuration."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.position = (0, 0)
        self.confirmation_listeners: list[Any] = []

    async def confirm_configuration(self) -> None:
        asked_at = boot_time()
        await self.fleet.store.call(self.name)
        self.position = max(self.position, self.fleet.store.configuration)
        for listener in self.confirmation_listeners:
            listener(asked_at)


class CacheView:
    """The part of `StateCache` that a confirmer needs, over a follower's configuration."""

    class Routes(NamedTuple):
        keys: Any

    class Keys(NamedTuple):
        enabled: bool = True

    def __init__(self, follower: Follower) -> None:
        self.follower = follower
        self.routes = self.Routes(self.Keys())

    def configuration_position(self) -> tuple[int, int]:
        return self.follower.position


class FleetInstance:
    """One start of an instance."""

    def __init__(self, fleet: Fleet, name: str, incarnation: int, settings: UsageSettings) -> None:
        self.name = name
        self.peers = FleetPeers(fleet, name, incarnation)
        self.follower = Follower(fleet, name)
        self.lease = ConfigurationLease(fleet.revocation_seconds)
        rng = random.Random(f"{name}/{incarnation}")
        self.confirmer = ConfigurationConfirmer(
            self.lease, CacheView(self.follower), self.follower, self.peers, Metrics(), rng
        )
        platform = FleetPlatform(fleet, name)
        self.reporter = UsageReporter(settings, platform, self.peers, lambda: True, Metrics())

    async def start(self) -> None:
        await self.confirmer.start()
        await self.reporter.start()

    async def close(self) -> None:
        await self.confirmer.close()
        await self.reporter.close()
        await self.peers.inquiries.close()


class Fleet:
    """Instances in rendezvous order.

    Attributes
    ----------
    believed_dead : set of str
        Instances that the others hold to be dead.
    """

    def __init__(
        self, size: int, settings: UsageSettings, seed: int = 1, revocation_seconds: float = 5.0
    ) -> None:
        self.settings = settings
        self.revocation_seconds = revocation_seconds
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.store = FleetStore()
        self.receiver = Receiver(settings.lease_seconds)
        self.believed_dead: set[str] = set()
        self.instances: dict[str, FleetInstance] = {}
        self.names = [f"i{number}" for number in range(size)]
        self.starts = 0
        self.gossip: asyncio.Task[None] | None = None

    async def start(self) -> None:
        for name in self.names:
            await self.start_instance(name)
        self.gossip = asyncio.get_running_loop().create_task(self.exchange_facts())

    async def start_instance(self, name: str) -> None:
        self.starts += 1
        instance = FleetInstance(self, name, self.starts, self.settings)
        self.instances[name] = instance
        # Rendezvous order stays the same when an instance starts again.
        self.instances = {key: self.instances[key] for key in sorted(self.instances)}
        self.network.receivers[name] = instance.peers.inquiries
        self.believed_dead.discard(name)
        await instance.start()

    async def kill(self, name: str) -> None:
        """End an instance without notice; the others hold it to be dead after a second."""
        instance = self.instances.pop(name)
        del self.network.receivers[name]
        await instance.close()

    async def exchange_facts(self) -> None:
        """Share facts and configurations among all instances that are not cut off."""
        while True:
            await asyncio.sleep(GOSSIP_SECONDS)
            connected = [
                instance
                for name, instance in self.instances.items()
                if name not in self.network.cut_off
            ]
            for instance in connected:
                instance.follower.position = max(item.follower.position for item in connected)
            tables = [instance.peers.fact_table for instance in connected]
            facts = [Fact(key, value) for table in tables for key, value in list(table.values(""))]
            for table in tables:
                table.merge(facts)

    def restore_store(self, copy: tuple[Any, int, int]) -> None:
        """Go back to a copy, in a new epoch."""
        self.store.epoch += 1
        self.store.record, self.store.record_revision, self.store.revision = copy

    def copy_store(self) -> tuple[Any, int, int]:
        return self.store.record, self.store.record_revision, self.store.revision

    async def close(self) -> None:
        self.gossip.cancel()
        for instance in self.instances.values():
            await instance.close()
