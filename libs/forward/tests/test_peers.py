"""Tests of the exchange of store state between instances, over real ZeroMQ sockets."""

from __future__ import annotations

import asyncio
import random
import unittest

from fakes import HEADER_NAMES
from tornado.testing import bind_unused_port

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward.declarations import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceLimits,
    SharedBounds,
    UpstreamRecord,
    WeightedService,
)
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.instance_settings import InstanceSettings
from mimosahoist.forward.peers import Peers
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.peers.zmq_transport import ZmqPeerTransport
from mimosahoist.platform.watched import WatchedItem, WatchedKind

ROUTE = Route(
    "r", "h", "/x/", RouteKind.IDEMPOTENT, 1.0, 0.1, 1, 2, (WeightedService("s", 1.0),), ("t",)
)
SERVICES = {"s": ServiceLimits("s", "/health", 9, 1.5)}
CONFIGURATION = Configuration(7, (ROUTE,), SERVICES, CallerLimits())


class Node:
    def __init__(self, number: int, address: str, seed: str) -> None:
        settings = InstanceSettings(
            f"node-{number}", "abcd"[number % 4], "", "", "", "", address, (seed,)
        )
        self.fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        self.state_cache = StateCache(self.fleet)
        metrics = Metrics()
        transport = ZmqPeerTransport(address, None, metrics)
        self.peers = Peers(settings, transport, self.state_cache, metrics, random.Random(number))


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        addresses = []
        for _ in range(5):
            sock, port = bind_unused_port()
            sock.close()
            addresses.append(f"127.0.0.1:{port}")
        self.nodes = [Node(number, at, addresses[0]) for number, at in enumerate(addresses)]
        for node in self.nodes:
            await node.peers.start()
            self.addAsyncCleanup(node.peers.close)

    async def eventually(self, check: object, seconds: float = 10.0) -> None:
        until = asyncio.get_running_loop().time() + seconds
        while not check() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
        self.assertTrue(check())

    async def test_state_read_by_one_instance_reaches_all(self) -> None:
        first = self.nodes[1].state_cache
        first.put_if_newer(WatchedKind.CONFIGURATION, WatchedItem("main", 9, CONFIGURATION))
        record = UpstreamRecord("u1", "s", "127.0.0.1:1", "a", "v1", 3, True, 0.5, 77)
        first.put_if_newer(WatchedKind.UPSTREAMS, WatchedItem("u1", 10, record))
        first.put_if_newer(WatchedKind.DOMAINS_OUT, WatchedItem("b", 11, "b"))

        def known() -> bool:
            return all(
                node.state_cache.routes is not None
                and node.state_cache.routes.configuration == CONFIGURATION
                and node.fleet.by_name.get("u1") is not None
                and node.fleet.by_name["u1"].record == record
                and node.fleet.domains_out == {"b"}
                for node in self.nodes
            )

        await self.eventually(known)
        first.put_if_newer(WatchedKind.UPSTREAMS, WatchedItem("u1", 12, None))
        await self.eventually(lambda: all(not node.fleet.by_name for node in self.nodes))

    async def test_odd_state_of_a_peer_is_dropped(self) -> None:
        peers = self.nodes[0].peers
        odd = (b"", b"\xff", b"\x91" * 20000, b"\xc1", b"\x81\xa4name" + b"\x91" * 20000)
        for number, encoded in enumerate(odd):
            for kind in WatchedKind:
                peers.handle_state(f"belief/{kind}/odd-{number}", [0, 9, encoded])
                self.assertNotIn(f"odd-{number}", self.nodes[0].state_cache.items[kind])
        peers.handle_state("belief/unknown/odd", [0, 9, b"\xc0"])

    async def test_three_instances_are_store_watchers(self) -> None:
        await self.eventually(lambda: all(node.peers.alive_count() == 5 for node in self.nodes))
        self.assertEqual(sum(node.peers.is_store_watcher() for node in self.nodes), 3)

    async def test_store_recovery_seen_by_one_instance_reaches_all(self) -> None:
        await self.eventually(lambda: all(node.peers.alive_count() == 5 for node in self.nodes))
        notified: list[int] = []
        for number, node in enumerate(self.nodes):
            node.peers.recovery_listeners.append(lambda number=number: notified.append(number))
        self.nodes[2].peers.publish_recovery()
        await self.eventually(lambda: set(notified) == {0, 1, 3, 4})

    async def test_instance_that_hears_no_peer_is_a_store_watcher(self) -> None:
        await self.eventually(lambda: all(node.peers.alive_count() == 5 for node in self.nodes))
        non_watcher = next(node for node in self.nodes if not node.peers.is_store_watcher())
        non_watcher.peers.exchange.last_contact -= 2.0
        self.assertTrue(non_watcher.peers.is_store_watcher())
