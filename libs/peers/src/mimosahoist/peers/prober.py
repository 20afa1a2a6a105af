"""Detection of lost members by probes."""

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

PROBE_INTERVAL = 0.5
ACK_TIMEOUT = 0.25
INDIRECT_PROBES = 2
SUSPICION_SECONDS = 3.0
DEAD_PROBE_ROUNDS = 4
MAX_HEALTH_PENALTY = 4


class ProbingMember(ABC):
    """A member as its prober uses it.

    Attributes
    ----------
    instances : VersionedCopy
        Instances that the platform lists.
    """

    transport: PeerTransport
    fact_table: FactTable
    instances: VersionedCopy
    metrics: Metrics
    rng: random.Random

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of this member."""

    @abstractmethod
    def members(self) -> dict[str, Member]:
        """Records of all members by name."""

    @abstractmethod
    def peer_addresses(self) -> dict[str, str]:
        """Addresses of the other members that are worth a probe, by name."""

    @abstractmethod
    def send(
        self, name: str, address: str, kind: FrameKind, number: int, *, target: str = ""
    ) -> None:
        """Send a frame to a member."""

    @abstractmethod
    def tell_listeners(self, name: str, member: Member) -> None:
        """Tell that a member's record changed."""


class Prober:
    """Probes one member an interval: directly, then through others; suspects, then buries.

    An instance that misses many answers is slower to accuse, as it may itself be the slow one.
    """

    def __init__(self, member: ProbingMember) -> None:
        self.member = member
        self.numbers = itertools.count(1)
        self.acks: dict[int, asyncio.Future[None]] = {}
        self.rounds: list[str] = []
        self.health_penalty = 0
        self.dead_countdown = DEAD_PROBE_ROUNDS

    def handle_ack(self, number: int) -> None:
        """Resolve the probe that an answer is for."""
        waiting = self.acks.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def raise_penalty(self) -> None:
        """Be slower to accuse others."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    async def run(self) -> None:
        """Probe one member an interval, each once a round in random order."""
        while True:
            started = now()
            addresses = self.member.peer_addresses()
            self.rounds = [name for name in self.rounds if name in addresses]
            if not self.rounds:
                self.rounds = list(addresses)
                self.member.rng.shuffle(self.rounds)
            if self.rounds:
                name = self.rounds.pop()
                await self.probe(name, addresses[name], addresses)
            self.bury_suspects()
            await self.probe_dead()
            await asyncio.sleep(max(0.01, started + PROBE_INTERVAL - now()))

    async def probe_dead(self) -> None:
        """Ping a dead member now and then, as two sides of a healed cut call each other dead."""
        self.dead_countdown -= 1
        if self.dead_countdown > 0:
            return
        self.dead_countdown = DEAD_PROBE_ROUNDS
        dead = [
            (name, member.peer_address)
            for name, member in self.member.members().items()
            if member.state == MemberState.DEAD and name != self.member.name
        ]
        if dead:
            name, address = self.member.rng.choice(dead)
            await self.ping(name, address, ACK_TIMEOUT)

    async def probe(self, name: str, address: str, addresses: dict[str, str]) -> None:
        """Probe a member directly, then through others; suspect it if none gets an answer.

        A missed answer can mean that the connection is silent, so the next frame opens a new one.
        """
        timeout = ACK_TIMEOUT * (1 + self.health_penalty)
        if await self.ping(name, address, timeout):
            self.health_penalty = max(0, self.health_penalty - 1)
            return
        self.raise_penalty()
        self.member.metrics.count("peer_probes_missed")
        self.member.transport.disconnect(address)
        others = [other for other in addresses if other != name]
        helpers = self.member.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        if helpers and await self.ping_through(name, helpers, addresses, timeout):
            return
        member = self.member.members().get(name) or self.listed_member(name)
        if member is not None and member.state == MemberState.ALIVE:
            self.accuse(name, member, MemberState.SUSPECT)

    def listed_member(self, name: str) -> Member | None:
        """Record for an instance that the platform lists but that no member has heard of."""
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
        """Send a ping; true if it is answered in time."""
        number = next(self.numbers)
        answered = asyncio.get_running_loop().create_future()
        self.acks[number] = answered
        self.member.send(name, address, FrameKind.PING, number)
        try:
            await asyncio.wait_for(answered, timeout)
        except TimeoutError:
            return False
        finally:
            del self.acks[number]
        return True

    async def ping_through(
        self, name: str, helpers: list[str], addresses: dict[str, str], timeout: float
    ) -> bool:
        """Ask others to ping a member; true if one of them had an answer."""
        number = next(self.numbers)
        answered = asyncio.get_running_loop().create_future()
        self.acks[number] = answered
        for helper in helpers:
            self.member.send(helper, addresses[helper], FrameKind.PING_REQUEST, number, target=name)
        try:
            await asyncio.wait_for(answered, 2 * timeout)
        except TimeoutError:
            return False
        finally:
            del self.acks[number]
        return True

    async def relay_ping(self, frame: Frame) -> None:
        """Ping a member for another one and pass the answer on."""
        address = self.member.peer_addresses().get(frame.target)
        if address is not None and await self.ping(frame.target, address, ACK_TIMEOUT):
            self.member.send(frame.sender, frame.peer_address, FrameKind.ACK, frame.number)

    def accuse(self, name: str, member: Member, state: MemberState) -> None:
        """Declare a member suspect or dead."""
        record = member._replace(state=int(state), since=unix_time())
        self.member.fact_table.publish(MEMBER_PREFIX + name, list(record), urgent=True)
        self.member.tell_listeners(name, record)

    def bury_suspects(self) -> None:
        """Declare dead who stayed suspect for too long."""
        patience = SUSPICION_SECONDS * (1 + self.health_penalty)
        for name, member in self.member.members().items():
            suspected = member.state == MemberState.SUSPECT
            if suspected and unix_time() - member.since > patience:
                self.accuse(name, member, MemberState.DEAD)
