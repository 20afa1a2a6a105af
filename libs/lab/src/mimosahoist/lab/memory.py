"""In-memory stand-ins for the transports, for tests under the paused clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core.tasks import now
from mimosahoist.lab.searcher_model import Outcome
from mimosahoist.peers.transport import PeerTransport
from mimosahoist.platform.http_store import unavailable
from mimosahoist.platform.store import Changes, Collection, PlatformStore, StoredObject
from mimosahoist.upstream.transport import (
    Connection,
    ExchangeFailure,
    FailureKind,
    Reply,
    Transport,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from mimosahoist.lab.platform_model import PlatformModel
    from mimosahoist.lab.searcher_model import SearcherModel

NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.001
CONNECT_SECONDS = 1.0
STORE_SECONDS = 0.002
STORE_TIMEOUT = 2.0
UPSTREAM_IDLE_SECONDS = 4.5
PLATFORM = "platform"


class MemoryNetwork:
    """Delays, loss and cuts between failure domains; the platform counts as one more."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.partitions: set[frozenset[str]] = set()
        self.peer_loss_rate = 0.0
        self.models: dict[str, SearcherModel] = {}
        self.peers: dict[str, tuple[str, Callable[[bytes], None]]] = {}

    def partition(self, left: str, right: str) -> None:
        """Cut two failure domains off from each other."""
        self.partitions.add(frozenset((left, right)))

    def heal(self) -> None:
        """End all cuts."""
        self.partitions.clear()

    def is_partitioned(self, left: str, right: str) -> bool:
        """Whether two failure domains are cut off from each other."""
        return frozenset((left, right)) in self.partitions

    def delay(self, left: str, right: str) -> float:
        """One-way seconds."""
        return NEAR_SECONDS if left == right else FAR_SECONDS


class MemoryTransport(Transport):
    """Transport of an instance in one failure domain."""

    def __init__(self, network: MemoryNetwork, failure_domain: str) -> None:
        self.network = network
        self.failure_domain = failure_domain
        self.connections: set[MemoryConnection] = set()

    def open(
        self, address: str, fresh: bool, handle_closed: Callable[[], None]
    ) -> MemoryConnection:
        """Make a connection object."""
        return MemoryConnection(self, self.network.models[address], fresh, handle_closed)

    async def close(self) -> None:
        """Close all connections, as the end of the process does."""
        for connection in list(self.connections):
            connection.drop()


class MemoryConnection(Connection):
    """A connection to a model."""

    def __init__(
        self,
        transport: MemoryTransport,
        model: SearcherModel,
        fresh: bool,
        handle_closed: Callable[[], None],
    ) -> None:
        self.transport = transport
        self.handle_closed = handle_closed
        self.busy = False
        self.model = model
        self.fresh = fresh
        self.opened = False
        self.blackholed = False
        model.crash_listeners.append(self.handle_crash)

    def exchange(self, path: str, body: bytes, timeout: float) -> Awaitable[Reply]:
        """Exchange with the model."""
        return self.occupy(path, body, timeout)

    async def occupy(self, path: str, body: bytes, timeout: float) -> Reply:
        """Exchange, and be busy meanwhile."""
        self.busy = True
        try:
            return await self.carry(path, body, timeout)
        finally:
            self.busy = False

    async def carry(self, path: str, body: bytes, timeout: float) -> Reply:
        """Open if needed, pass the request, wait for the answer until the timeout."""
        until = now() + timeout
        if self.fresh:
            self.drop()
        if not self.opened:
            await self.connect(until)
        await self.pass_network(until)
        if self.blackholed:
            await self.time_out(until)
        serving = asyncio.get_running_loop().create_task(self.model.handle(path, body))
        done, _ = await asyncio.wait([serving], timeout=max(0.0, until - now()))
        if not done:
            await self.time_out(until)
        reply = serving.result()
        if reply.outcome is Outcome.BREAK:
            self.drop()
            raise ExchangeFailure(FailureKind.BROKEN, True)
        if reply.outcome is Outcome.SILENCE:
            self.blackholed = True
            await self.time_out(until)
        await self.pass_network(until)
        return Reply(reply.status, reply.body)

    async def connect(self, until: float) -> None:
        """Open the connection."""
        if self.is_partitioned():
            await asyncio.sleep(max(0.0, min(CONNECT_SECONDS, until - now())))
            raise ExchangeFailure(FailureKind.CONNECT, False)
        if not self.model.open_connection():
            raise ExchangeFailure(FailureKind.CONNECT, False)
        self.opened = True
        self.blackholed = False
        self.transport.connections.add(self)
        await asyncio.sleep(self.model.spec.connect_ms / 1000)

    async def pass_network(self, until: float) -> None:
        """Take the time of one way; hang if the way is cut."""
        network = self.transport.network
        there = self.model.spec.failure_domain
        await asyncio.sleep(network.delay(self.transport.failure_domain, there))
        if self.is_partitioned():
            await self.time_out(until)

    async def time_out(self, until: float) -> None:
        """Wait until the timeout and give the connection up.

        The upstream does not learn of it: it counts the connection until its own idle time ends.
        """
        await asyncio.sleep(max(0.0, until - now()))
        if self.opened:
            self.opened = False
            self.transport.connections.discard(self)
            loop = asyncio.get_running_loop()
            loop.call_later(UPSTREAM_IDLE_SECONDS, self.model.close_connection)
        raise ExchangeFailure(FailureKind.TIMEOUT, True)

    def is_partitioned(self) -> bool:
        """Whether the way to the model is cut."""
        there = self.model.spec.failure_domain
        return self.transport.network.is_partitioned(self.transport.failure_domain, there)

    def handle_crash(self) -> None:
        """The model broke all its connections."""
        idle = self.opened and not self.busy
        self.drop()
        if idle and not self.is_partitioned():
            self.handle_closed()

    def drop(self) -> None:
        """Close the network connection."""
        if self.opened:
            self.opened = False
            self.transport.connections.discard(self)
            self.model.close_connection()

    def close(self) -> None:
        """Close for good."""
        self.drop()
        self.model.crash_listeners.remove(self.handle_crash)


class MemoryPeerTransport(PeerTransport):
    """Peer transport of an instance in one failure domain."""

    def __init__(self, network: MemoryNetwork, address: str, failure_domain: str) -> None:
        self.network = network
        self.address = address
        self.failure_domain = failure_domain
        self.blackholed: set[str] = set()
        self.bytes_sent = 0
        self.frames_sent = 0

    async def start(self, handler: Callable[[bytes], None]) -> None:
        """Begin to receive."""
        self.network.peers[self.address] = (self.failure_domain, handler)

    async def close(self) -> None:
        """Stop receiving."""
        self.network.peers.pop(self.address, None)

    def forget(self, address: str) -> None:
        """Drop the connection to a peer; the next frame opens a new one."""
        self.blackholed.discard(address)

    def send(self, address: str, frame: bytes) -> None:
        """Deliver a frame after the network's delay, unless it is lost or cut."""
        network = self.network
        self.bytes_sent += len(frame)
        self.frames_sent += 1
        peer = network.peers.get(address)
        if peer is None or network.rng.random() < network.peer_loss_rate:
            return
        if address in self.blackholed:
            return
        if network.is_partitioned(self.failure_domain, peer[0]):
            return
        delay = network.delay(self.failure_domain, peer[0])
        asyncio.get_running_loop().call_later(delay, self.deliver, address, frame)

    def deliver(self, address: str, frame: bytes) -> None:
        """Hand a frame over if the peer still receives."""
        peer = self.network.peers.get(address)
        if peer is not None:
            peer[1](frame)


class MemoryStore(PlatformStore):
    """The platform as seen from one failure domain."""

    def __init__(self, model: PlatformModel, network: MemoryNetwork, failure_domain: str) -> None:
        self.model = model
        self.network = network
        self.failure_domain = failure_domain

    async def reach(self) -> None:
        """Take the time of a call; fail if the platform is cut off."""
        await asyncio.sleep(STORE_SECONDS)
        if self.network.is_partitioned(self.failure_domain, PLATFORM):
            await asyncio.sleep(STORE_TIMEOUT)
            raise unavailable("cut off")

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self.reach()
        return await self.model.get(key)

    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write one object."""
        await self.reach()
        stored = await self.model.put(key, value, expected)
        await self.reach()
        return stored

    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Read or await changes."""
        await self.reach()
        changes = await self.model.changes(collection, since, wait)
        await self.reach()
        return changes
