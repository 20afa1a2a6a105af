from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
from tornado.testing import bind_unused_port

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.memory import MemoryNetwork, MemoryTransport
from mimosahoist.lab.searcher_model import SearcherModel
from mimosahoist.lab.searcher_server import SearcherServer
from mimosahoist.upstream import messages
from mimosahoist.upstream.curl_transport import CurlTransport
from mimosahoist.upstream.transport import Connection, ExchangeFailure, FailureKind, Transport

TIMEOUT = 5.0
SHORT_TIMEOUT = 0.1


def run_call(number: int, text: str = "") -> bytes:
    operation = {"id": f"op-{number}", "text": text}
    call = messages.RunCall(
        request=f"r.{number}", operation=operation, route="default", deadline_ms=5000
    )
    return msgspec.json.encode(call)


class TransportContract:
    """Tests for every transport."""

    transport: Transport
    model: SearcherModel
    address: str

    def open(self, fresh: bool = True) -> Connection:
        self.closed: list[int] = []
        connection = self.transport.open(self.address, fresh, lambda: self.closed.append(1))
        self.addCleanup(connection.close)
        return connection

    async def failure(self, connection: Connection, body: bytes, timeout: float) -> ExchangeFailure:
        with self.assertRaises(ExchangeFailure) as caught:
            await connection.exchange(messages.RUN_PATH, body, timeout)
        return caught.exception

    async def test_reply_is_returned(self) -> None:
        reply = await self.open().exchange(messages.RUN_PATH, run_call(1), TIMEOUT)
        self.assertEqual(reply.status, 200)
        self.assertEqual(msgspec.json.decode(reply.body)["request"], "r.1")

    async def test_kept_connection_is_reused(self) -> None:
        connection = self.open(fresh=False)
        for number in range(5):
            await connection.exchange(messages.RUN_PATH, run_call(number), TIMEOUT)
        self.assertEqual(self.model.record.counts["connections_opened"], 1)

    async def test_fresh_connection_for_each_exchange(self) -> None:
        connection = self.open(fresh=True)
        for number in range(3):
            await connection.exchange(messages.RUN_PATH, run_call(number), TIMEOUT)
        self.assertEqual(self.model.record.counts["connections_opened"], 3)

    async def test_break_may_have_run_and_is_not_sent_again(self) -> None:
        self.model.faults.lost_answer_rate = 1.0
        failure = await self.failure(self.open(), run_call(1), TIMEOUT)
        self.assertEqual((failure.kind, failure.may_have_run), (FailureKind.BROKEN, True))
        self.assertEqual(self.model.record.operations["op-1"], 1)

    async def test_silence_times_out_and_may_have_run(self) -> None:
        self.model.faults.silent_rate = 1.0
        failure = await self.failure(self.open(), run_call(1), SHORT_TIMEOUT)
        self.assertEqual((failure.kind, failure.may_have_run), (FailureKind.TIMEOUT, True))

    async def test_idle_close_is_reported(self) -> None:
        connection = self.open(fresh=False)
        await connection.exchange(messages.RUN_PATH, run_call(1), TIMEOUT)
        self.model.crash()
        await asyncio.sleep(SHORT_TIMEOUT)
        self.assertEqual(self.closed, [1])


class MemoryTransportTest(TransportContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        spec = sizes.searcher_specs(sizes.SMALL)[-1]
        self.model = SearcherModel(spec, [], 1)
        network = MemoryNetwork(random.Random(1))
        self.address = spec.name
        network.models[spec.name] = self.model
        self.transport = MemoryTransport(network, "a")


class CurlTransportTest(TransportContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        spec = sizes.searcher_specs(sizes.SMALL)[-1]
        self.model = SearcherModel(spec, [], 1)
        self.server = SearcherServer(self.model)
        sock, port = bind_unused_port()
        self.server.server.add_socket(sock)
        self.address = f"127.0.0.1:{port}"
        self.transport = CurlTransport()
        await self.transport.start()

    async def asyncTearDown(self) -> None:
        await self.server.close()
        await self.transport.close()

    async def test_refused_connect_has_not_run(self) -> None:
        sock, port = bind_unused_port()
        sock.close()
        connection = self.transport.open(f"127.0.0.1:{port}", True, lambda: None)
        failure = await self.failure(connection, run_call(1), TIMEOUT)
        self.assertEqual((failure.kind, failure.may_have_run), (FailureKind.CONNECT, False))
