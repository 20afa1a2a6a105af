"""Upstreams of the product's own interface that answer with a status that is none."""

from __future__ import annotations

import asyncio
import unittest

from mimosahoist.upstream import messages
from mimosahoist.upstream.curl_transport import CurlTransport
from mimosahoist.upstream.transport import ExchangeFailure, FailureKind

ODD_STATUSES = ("000", "001", "099", "600", "999", "0200", "2000", "20", "+200", "-20", "2O0")
TIMEOUT = 2.0


class OddStatusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.status = ""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.transport = CurlTransport()
        await self.transport.start()

    async def asyncTearDown(self) -> None:
        self.server.close()
        await self.transport.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        writer.write(f"HTTP/1.1 {self.status} Odd\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        writer.close()

    async def exchange(self, status: str) -> object:
        self.status = status
        connection = self.transport.open(self.address, True, lambda: None)
        self.addCleanup(connection.close)
        return await connection.exchange(messages.RUN_PATH, b"{}", TIMEOUT)

    async def test_status_that_is_none_is_never_a_response(self) -> None:
        for status in ODD_STATUSES:
            with self.subTest(status):
                with self.assertRaises(ExchangeFailure) as caught:
                    await self.exchange(status)
                self.assertIs(caught.exception.kind, FailureKind.BROKEN)
                # The request was sent.
                self.assertTrue(caught.exception.may_have_run)

    async def test_statuses_of_the_protocol_are_responses(self) -> None:
        for status in (200, 404, 503, 599):
            self.assertEqual((await self.exchange(str(status))).status, status)
