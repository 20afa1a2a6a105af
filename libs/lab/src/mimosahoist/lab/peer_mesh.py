"""Many peers in one event loop, to measure membership and exchange cost by fleet size."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import now
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.memory import MemoryNetwork, MemoryPeerTransport, MemoryStore
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.peers.exchange import Identity, PeerExchange
from mimosahoist.peers.facts import FactTable
from mimosahoist.peers.feed import StoreFeed
from mimosahoist.peers.members import MemberState
from mimosahoist.platform.kinds import organisation_key
from mimosahoist.platform.versioned import VersionedCopy

POLL_INTERVAL_SECONDS = 0.02
JOIN_TIMEOUT_SECONDS = 120.0
PROPAGATION_TIMEOUT_SECONDS = 30.0


class Peer(NamedTuple):
    """Components of one peer."""

    exchange: PeerExchange
    feed: StoreFeed
    transport: MemoryPeerTransport
    objects: VersionedCopy


class PeerMesh:
    """Peers and their store feeds on an in-memory network and platform."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.network = MemoryNetwork(random.Random(f"{seed}/mesh"))
        self.platform = PlatformModel(seed)
        self.seed = seed
        self.peers: list[Peer] = []
        self.changes = 0

    async def start(self) -> None:
        """Start all peers and wait until each sees all others as reachable."""
        for number in range(self.size):
            self.peers.append(await self.start_peer(number, 1))
        self.platform.store("objects", organisation_key("o"), {"n": 0})
        await self.wait_until(self.all_joined, JOIN_TIMEOUT_SECONDS)

    async def start_peer(self, number: int, incarnation: int) -> Peer:
        """Start one peer; the first two peers are every peer's seed addresses."""
        name = f"peer-{number}"
        domain = sizes.FAILURE_DOMAINS[number % len(sizes.FAILURE_DOMAINS)]
        transport = MemoryPeerTransport(self.network, name, domain)
        objects, instances = VersionedCopy(), VersionedCopy()
        metrics = Metrics()
        exchange = PeerExchange(
            Identity("mesh", name, incarnation, name, f"{name}:http", domain),
            transport,
            FactTable(),
            objects,
            instances,
            metrics,
            random.Random(f"{self.seed}/{name}/{incarnation}"),
            ["peer-0", "peer-1"],
        )
        store = MemoryStore(self.platform, self.network, domain)
        feed = StoreFeed(store, exchange, objects, instances, metrics)
        await exchange.start()
        await feed.start()
        return Peer(exchange, feed, transport, objects)

    async def close(self) -> None:
        """Stop all peers."""
        for peer in self.peers:
            await peer.feed.close()
            await peer.exchange.close()

    def all_joined(self) -> bool:
        """Whether each peer sees all others as reachable."""
        return all(len(peer.exchange.reachable_peers()) == self.size - 1 for peer in self.peers)

    async def propagate_change(self) -> float:
        """Store a change and return the seconds until every peer holds it."""
        self.changes += 1
        key = organisation_key("o")
        version = self.platform.store("objects", key, {"n": self.changes}).version
        return await self.wait_until(
            lambda: all(peer.objects.revision >= version for peer in self.peers),
            PROPAGATION_TIMEOUT_SECONDS,
        )

    async def replace_peer(self, number: int) -> float:
        """Replace a peer by its next incarnation; return the seconds until all see that alive.

        The old incarnation stops without announcing that it leaves.
        """
        peer = self.peers[number]
        await peer.feed.close()
        await peer.exchange.close()
        incarnation = peer.exchange.identity.incarnation + 1
        self.peers[number] = await self.start_peer(number, incarnation)
        name = peer.exchange.identity.instance
        return await self.wait_until(
            lambda: self.all_see_alive(name, incarnation), PROPAGATION_TIMEOUT_SECONDS
        )

    def all_see_alive(self, name: str, incarnation: int) -> bool:
        """Whether all peers see a peer alive in at least the given incarnation."""
        for peer in self.peers:
            member = peer.exchange.members().get(name)
            if member is None or member.incarnation < incarnation:
                return False
            if member.state != MemberState.ALIVE:
                return False
        return True

    async def wait_until(self, condition: object, timeout_seconds: float) -> float:
        """Poll until a condition holds and return the elapsed seconds."""
        started = now()
        while not condition():
            if now() - started > timeout_seconds:
                raise TimeoutError(f"peers did not converge within {timeout_seconds:g} s")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return now() - started

    def bytes_sent(self) -> int:
        """Bytes sent by all peers."""
        return sum(peer.transport.bytes_sent for peer in self.peers)

    def frames_sent(self) -> int:
        """Frames sent by all peers."""
        return sum(peer.transport.frames_sent for peer in self.peers)
