"""Connections that the stand-in searcher counts, over real loopback connections.

Guards against a count that keeps connections whose callers are gone: such a stand-in refuses all
callers in the end.
"""

from __future__ import annotations

import asyncio
import unittest

from tornado.testing import bind_unused_port

from mimosahoist.lab.searcher_model import SearcherModel, SearcherSpec
from mimosahoist.lab.searcher_server import SearcherServer

SPEC = SearcherSpec(
    name="u1",
    organisation="o",
    service="s",
    kind="run",
    failure_domain="a",
    version="1",
    group=0,
    groups=1,
    slots=2,
    queue=4,
    connections=10,
    connect_ms=5.0,
    service_ms=20.0,
    cold_concurrency=1,
    cold_seconds=0.0,
)
BODY = b'{"request":"r1","deadline_ms":1000,"route":"r","operation":{"id":"x"}}'
REQUEST = b"POST /run HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
CALLERS = 30


class ConnectionCountTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.model = SearcherModel(SPEC, [(1, 10)], 1)
        self.server = SearcherServer(self.model)
        sock, self.port = bind_unused_port()
        sock.close()
        self.server.listen(self.port)

    async def asyncTearDown(self) -> None:
        await self.server.close()

    async def call_and_leave(self, delay: float, abruptly: bool) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST)
        await writer.drain()
        await asyncio.sleep(delay)
        if abruptly:
            writer.transport.abort()
        else:
            writer.close()

    async def test_callers_that_left_keep_no_other_caller_out(self) -> None:
        for delay in (0.0, 0.001, 0.004, 0.01, 0.05):
            for abruptly in (True, False):
                with self.subTest(delay=delay, abruptly=abruptly):
                    for _ in range(CALLERS):
                        await self.call_and_leave(delay, abruptly)
                        await asyncio.sleep(0.03)
                    self.assertEqual(self.model.record.counts["connections_refused"], 0)
                    self.server.release_closed()
                    self.assertLessEqual(self.model.connections, 1)


if __name__ == "__main__":
    unittest.main()
