"""Peer transport over ZeroMQ: delivery, and rejection of clients without the cluster key."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tornado.testing import bind_unused_port

from mimosahoist.core.metrics import Metrics
from mimosahoist.peers import zmq_transport
from mimosahoist.peers.keys import create_cluster_keys
from mimosahoist.peers.zmq_transport import ClusterKeys, ZmqPeerTransport

RECEIVE_TIMEOUT_SECONDS = 5.0


def free_address() -> str:
    sock, port = bind_unused_port()
    sock.close()
    return f"127.0.0.1:{port}"


class ZmqTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.keys = create_cluster_keys()
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.address = free_address()
        self.metrics = Metrics()
        self.receiver = ZmqPeerTransport(self.address, self.keys, self.metrics)
        await self.receiver.start(self.received.put_nowait)

    async def asyncTearDown(self) -> None:
        await self.receiver.close()

    async def sender(self, keys: ClusterKeys) -> ZmqPeerTransport:
        transport = ZmqPeerTransport(free_address(), keys, Metrics())
        await transport.start(lambda frame: None)
        self.addAsyncCleanup(transport.close)
        return transport

    async def test_frame_from_member_is_received(self) -> None:
        member = await self.sender(self.keys)
        member.send(self.address, b"hello")
        self.assertEqual(
            await asyncio.wait_for(self.received.get(), RECEIVE_TIMEOUT_SECONDS), b"hello"
        )

    async def test_idle_connection_is_closed_and_opened_again(self) -> None:
        member = await self.sender(self.keys)
        with (
            mock.patch.object(zmq_transport, "IDLE_CONNECTION_SECONDS", 0.2),
            mock.patch.object(zmq_transport, "IDLE_CHECK_INTERVAL_SECONDS", 0.05),
        ):
            member.tasks.spawn(member.close_idle_connections(), "close idle")
            for frame in (b"first", b"second"):
                member.send(self.address, frame)
                received = await asyncio.wait_for(self.received.get(), RECEIVE_TIMEOUT_SECONDS)
                self.assertEqual(received, frame)
                self.assertEqual(list(member.senders), [self.address])
                async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS):
                    while member.senders:
                        await asyncio.sleep(0.02)
                self.assertEqual(member.last_sent_at, {})

    async def test_frame_from_unauthorized_client_is_rejected(self) -> None:
        other_keys = create_cluster_keys()
        unauthorized_clients = {
            "unrelated keys": other_keys,
            "public key only": ClusterKeys(self.keys.public, other_keys.secret),
        }
        for case, keys in unauthorized_clients.items():
            with self.subTest(case):
                unauthorized = await self.sender(keys)
                unauthorized.send(self.address, b"forged")
        member = await self.sender(self.keys)
        member.send(self.address, b"hello")
        self.assertEqual(
            await asyncio.wait_for(self.received.get(), RECEIVE_TIMEOUT_SECONDS), b"hello"
        )
        self.assertTrue(self.received.empty())
