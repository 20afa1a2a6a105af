"""In-memory transports for tests under the paused clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core.tasks import now
from mimosahoist.lab.searcher_model import Outcome
from mimosahoist.peers.transport import PeerTransport
from mimosahoist.platform.http_store import unavailable_problem
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

INTRA_DOMAIN_DELAY_SECONDS = 0.0002
INTER_DOMAIN_DELAY_SECONDS = 0.001
CONNECT_TIMEOUT_SECONDS = 1.0
STORE_DELAY_SECONDS = 0.002
STORE_TIMEOUT_SECONDS = 2.0
UPSTREAM_IDLE_TIMEOUT_SECONDS = 4.5
PLATFORM = "platform"


class MemoryNetwork:
    """Delays, loss and partitions between failure domains; the platform is one more domain."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.partitions: set[frozenset[str]] = set()
        self.peer_loss_rate = 0.0
        self.models: dict[str, SearcherModel] = {}
        self.peers: dict[str, tuple[str, Callable[[bytes], None]]] = {}

    def partition(self, left: str, right: str) -> None:
        """Partition two failure domains from each other."""
        self.partitions.add(frozenset((left, right)))

    def heal(self) -> None:
        """End all partitions."""
        self.partitions.clear()

    def is_partitioned(self, left: str, right: str) -> bool:
        """Return whether two failure domains are partitioned from each other."""
        return frozenset((left, right)) in self.partitions

    def delay(self, left: str, right: str) -> float:
        """Return the one-way delay in seconds."""
        return INTRA_DOMAIN_DELAY_SECONDS if left == right else INTER_DOMAIN_DELAY_SECONDS


class MemoryTransport(Transport):
    """Upstream transport of an instance in one failure domain."""

    def __init__(self, network: MemoryNetwork, failure_domain: str) -> None:
        self.network = network
        self.failure_domain = failure_domain
        self.connections: set[MemoryConnection] = set()

    def open(
        self, address: str, fresh: bool, handle_closed: Callable[[], None]
    ) -> MemoryConnection:
        """Return a connection to a searcher; it opens at its first exchange."""
        return MemoryConnection(self, self.network.models[address], fresh, handle_closed)

    async def close(self) -> None:
        """Close all connections, as the exit of the process does."""
        for connection in list(self.connections):
            connection.disconnect()


class MemoryConnection(Connection):
    """A connection to a simulated searcher."""

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
        """Exchange one request and answer with the searcher."""
        return self.exchange_while_busy(path, body, timeout)

    async def exchange_while_busy(self, path: str, body: bytes, timeout: float) -> Reply:
        """Run an exchange and mark the connection as busy meanwhile."""
        self.busy = True
        try:
            return await self.send_and_receive(path, body, timeout)
        finally:
            self.busy = False

    async def send_and_receive(self, path: str, body: bytes, timeout: float) -> Reply:
        """Connect if needed, send the request, wait for the answer until the timeout."""
        until = now() + timeout
        if self.fresh:
            self.disconnect()
        if not self.opened:
            await self.connect(until)
        await self.cross_network(until)
        if self.blackholed:
            await self.wait_and_time_out(until)
        task = asyncio.get_running_loop().create_task(self.model.handle(path, body))
        done, _ = await asyncio.wait([task], timeout=max(0.0, until - now()))
        if not done:
            await self.wait_and_time_out(until)
        reply = task.result()
        if reply.outcome is Outcome.DISCONNECT:
            self.disconnect()
            raise ExchangeFailure(FailureKind.BROKEN, True)
        if reply.outcome is Outcome.NO_REPLY:
            self.blackholed = True
            await self.wait_and_time_out(until)
        await self.cross_network(until)
        return Reply(reply.status, reply.body)

    async def connect(self, until: float) -> None:
        """Open the connection; a partition delays the failure by the connect timeout."""
        if self.is_partitioned():
            await asyncio.sleep(max(0.0, min(CONNECT_TIMEOUT_SECONDS, until - now())))
            raise ExchangeFailure(FailureKind.CONNECT, False)
        if not self.model.accept_connection():
            raise ExchangeFailure(FailureKind.CONNECT, False)
        self.opened = True
        self.blackholed = False
        self.transport.connections.add(self)
        await asyncio.sleep(self.model.spec.connect_ms / 1000)

    async def cross_network(self, until: float) -> None:
        """Wait for the one-way delay; on a partition wait until the timeout and fail."""
        network = self.transport.network
        remote_domain = self.model.spec.failure_domain
        await asyncio.sleep(network.delay(self.transport.failure_domain, remote_domain))
        if self.is_partitioned():
            await self.wait_and_time_out(until)

    async def wait_and_time_out(self, until: float) -> None:
        """Wait until the timeout, then abandon the connection and fail.

        The upstream is not notified: it counts the connection until its own idle timeout.
        """
        await asyncio.sleep(max(0.0, until - now()))
        if self.opened:
            self.opened = False
            self.transport.connections.discard(self)
            loop = asyncio.get_running_loop()
            loop.call_later(UPSTREAM_IDLE_TIMEOUT_SECONDS, self.model.close_connection)
        raise ExchangeFailure(FailureKind.TIMEOUT, True)

    def is_partitioned(self) -> bool:
        """Return whether the searcher's failure domain is partitioned from this one."""
        remote_domain = self.model.spec.failure_domain
        return self.transport.network.is_partitioned(self.transport.failure_domain, remote_domain)

    def handle_crash(self) -> None:
        """Close after a crash of the searcher; report it if idle and not partitioned."""
        was_idle = self.opened and not self.busy
        self.disconnect()
        if was_idle and not self.is_partitioned():
            self.handle_closed()

    def disconnect(self) -> None:
        """Close the network connection if it is open; the next exchange opens a new one."""
        if self.opened:
            self.opened = False
            self.transport.connections.discard(self)
            self.model.close_connection()

    def close(self) -> None:
        """Close the connection and stop listening for crashes of the searcher."""
        self.disconnect()
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
        """Register the handler of received frames."""
        self.network.peers[self.address] = (self.failure_domain, handler)

    async def close(self) -> None:
        """Stop receiving."""
        self.network.peers.pop(self.address, None)

    def disconnect(self, address: str) -> None:
        """Drop the connection to a peer; the next frame opens a new one."""
        self.blackholed.discard(address)

    def send(self, address: str, frame: bytes) -> None:
        """Deliver a frame after the network delay, unless it is lost, blackholed or partitioned."""
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
        """Pass a frame to the peer's handler if it is still registered."""
        peer = self.network.peers.get(address)
        if peer is not None:
            peer[1](frame)


class MemoryStore(PlatformStore):
    """The platform as seen from one failure domain."""

    def __init__(self, model: PlatformModel, network: MemoryNetwork, failure_domain: str) -> None:
        self.model = model
        self.network = network
        self.failure_domain = failure_domain

    async def cross_network(self) -> None:
        """Wait for the network delay; fail after the timeout if the platform is partitioned off."""
        await asyncio.sleep(STORE_DELAY_SECONDS)
        if self.network.is_partitioned(self.failure_domain, PLATFORM):
            await asyncio.sleep(STORE_TIMEOUT_SECONDS)
            raise unavailable_problem(
                "network partition between this failure domain and the platform"
            )

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self.cross_network()
        return await self.model.get(key)

    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write one object; a partition that begins meanwhile loses the answer."""
        await self.cross_network()
        stored = await self.model.put(key, value, expected)
        await self.cross_network()
        return stored

    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Return changes after a revision; wait up to `wait` seconds for the first one."""
        await self.cross_network()
        changes = await self.model.changes(collection, since, wait)
        await self.cross_network()
        return changes
