"""SWIM failure detection: probes, suspicion and death of members."""

from __future__ import annotations

import asyncio
import itertools
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import now, unix_time
from mimosahoist.peers.frames import FrameKind
from mimosahoist.peers.members import MEMBER_PREFIX, Member, MemberState

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.facts import FactTable
    from mimosahoist.peers.frames import Frame
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.versioned import VersionedCopy

PROBE_INTERVAL_SECONDS = 0.5
ACK_TIMEOUT_SECONDS = 0.25
INDIRECT_PROBES = 2
SUSPICION_TIMEOUT_SECONDS = 3.0
# One dead member is pinged each time this many probe intervals have passed.
DEAD_PROBE_INTERVALS = 4
MAX_HEALTH_PENALTY = 4


class LocalMember(ABC):
    """Interface of the local member that its prober uses.

    Attributes
    ----------
    instances : VersionedCopy
        Instances listed by the platform.
    """

    transport: PeerTransport
    fact_table: FactTable
    instances: VersionedCopy
    metrics: Metrics
    rng: random.Random

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the local member."""

    @abstractmethod
    def members(self) -> dict[str, Member]:
        """Records of all members by name."""

    @abstractmethod
    def peer_addresses(self) -> dict[str, str]:
        """Addresses of the other members to probe, by name."""

    @abstractmethod
    def send(
        self, name: str, address: str, kind: FrameKind, probe_number: int, *, target: str = ""
    ) -> None:
        """Send a frame to a member."""

    @abstractmethod
    def notify_listeners(self, name: str, member: Member) -> None:
        """Notify the listeners that a member's record changed."""


class Prober:
    """Probes one member per interval, first directly and then through other members.

    A member that does not answer becomes suspect, and dead if it remains suspect for too long. An
    instance that misses many acks uses longer timeouts, as it may itself be the slow one.
    """

    def __init__(self, member: LocalMember) -> None:
        self.member = member
        self.probe_numbers = itertools.count(1)
        self.pending_acks: dict[int, asyncio.Future[None]] = {}
        self.unprobed: list[str] = []
        self.health_penalty = 0
        self.intervals_until_dead_probe = DEAD_PROBE_INTERVALS

    def handle_ack(self, probe_number: int) -> None:
        """Complete the probe that an ack belongs to."""
        pending = self.pending_acks.get(probe_number)
        if pending is not None and not pending.done():
            pending.set_result(None)

    def increase_health_penalty(self) -> None:
        """Lengthen the timeouts before members are suspected or declared dead."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    async def run(self) -> None:
        """Probe one member per interval, each member once per round in random order."""
        while True:
            started = now()
            addresses = self.member.peer_addresses()
            self.unprobed = [name for name in self.unprobed if name in addresses]
            if not self.unprobed:
                self.unprobed = list(addresses)
                self.member.rng.shuffle(self.unprobed)
            if self.unprobed:
                name = self.unprobed.pop()
                await self.probe(name, addresses[name], addresses)
            self.expire_suspects()
            await self.probe_dead_member()
            await asyncio.sleep(max(0.01, started + PROBE_INTERVAL_SECONDS - now()))

    async def probe_dead_member(self) -> None:
        """Ping a random dead member at times, so that a healed partition is detected.

        After a partition, each side holds the members of the other side to be dead.
        """
        self.intervals_until_dead_probe -= 1
        if self.intervals_until_dead_probe > 0:
            return
        self.intervals_until_dead_probe = DEAD_PROBE_INTERVALS
        dead = [
            (name, member.peer_address)
            for name, member in self.member.members().items()
            if member.state == MemberState.DEAD and name != self.member.name
        ]
        if dead:
            name, address = self.member.rng.choice(dead)
            await self.ping(name, address, ACK_TIMEOUT_SECONDS)

    async def probe(self, name: str, address: str, addresses: dict[str, str]) -> None:
        """Probe a member directly, then indirectly; suspect it if no ack arrives.

        A missed ack can mean that the connection silently loses frames, so it is closed and the
        next frame opens a new one.
        """
        timeout = ACK_TIMEOUT_SECONDS * (1 + self.health_penalty)
        if await self.ping(name, address, timeout):
            self.health_penalty = max(0, self.health_penalty - 1)
            return
        self.increase_health_penalty()
        self.member.metrics.count("peer_probes_missed")
        self.member.transport.disconnect(address)
        others = [other for other in addresses if other != name]
        intermediaries = self.member.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        if intermediaries and await self.ping_indirectly(name, intermediaries, addresses, timeout):
            return
        member = self.member.members().get(name) or self.listed_member(name)
        if member is not None and member.state == MemberState.ALIVE:
            self.declare_state(name, member, MemberState.SUSPECT)

    def listed_member(self, name: str) -> Member | None:
        """Record of an instance that the platform lists but that has no member record."""
        listed = self.member.instances.value(name)
        if listed is None:
            return None
        return Member(
            0,
            int(MemberState.ALIVE),
            listed["peer_address"],
            listed["address"],
            listed["failure_domain"],
            unix_time(),
        )

    async def ping(self, name: str, address: str, timeout: float) -> bool:
        """Send a ping; return whether an ack arrives in time."""
        probe_number = next(self.probe_numbers)
        acked = asyncio.get_running_loop().create_future()
        self.pending_acks[probe_number] = acked
        self.member.send(name, address, FrameKind.PING, probe_number)
        try:
            await asyncio.wait_for(acked, timeout)
        except TimeoutError:
            return False
        finally:
            del self.pending_acks[probe_number]
        return True

    async def ping_indirectly(
        self, name: str, intermediaries: list[str], addresses: dict[str, str], timeout: float
    ) -> bool:
        """Ask intermediaries to ping a member; return whether one relays an ack in time."""
        probe_number = next(self.probe_numbers)
        acked = asyncio.get_running_loop().create_future()
        self.pending_acks[probe_number] = acked
        for intermediary in intermediaries:
            self.member.send(
                intermediary,
                addresses[intermediary],
                FrameKind.PING_REQUEST,
                probe_number,
                target=name,
            )
        try:
            await asyncio.wait_for(acked, 2 * timeout)
        except TimeoutError:
            return False
        finally:
            del self.pending_acks[probe_number]
        return True

    async def relay_ping(self, frame: Frame) -> None:
        """Ping a member on behalf of another one, and relay the ack."""
        address = self.member.peer_addresses().get(frame.target)
        if address is not None and await self.ping(frame.target, address, ACK_TIMEOUT_SECONDS):
            self.member.send(frame.sender, frame.peer_address, FrameKind.ACK, frame.probe_number)

    def declare_state(self, name: str, member: Member, state: MemberState) -> None:
        """Publish that a member is suspect or dead."""
        record = member._replace(state=int(state), since=unix_time())
        self.member.fact_table.publish(MEMBER_PREFIX + name, list(record), urgent=True)
        self.member.notify_listeners(name, record)

    def expire_suspects(self) -> None:
        """Declare members dead that have been suspect for too long."""
        suspicion_timeout = SUSPICION_TIMEOUT_SECONDS * (1 + self.health_penalty)
        for name, member in self.member.members().items():
            suspected = member.state == MemberState.SUSPECT
            if suspected and unix_time() - member.since > suspicion_timeout:
                self.declare_state(name, member, MemberState.DEAD)
