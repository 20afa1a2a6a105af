"""Status over real loopback connections: readiness, metrics, unknown paths, kept connections."""

from __future__ import annotations

import asyncio
import unittest

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from mimosahoist.forward.status import StatusService, StatusSource


class FakeSource(StatusSource):
    def __init__(self) -> None:
        self.is_ready = False

    @property
    def ready(self) -> bool:
        return self.is_ready

    def render_metrics(self) -> str:
        return "calls 3\n"


class StatusServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.source = FakeSource()
        self.server = HTTPServer(StatusService(self.source, "/readiness"))
        sock, self.port = bind_unused_port()
        self.server.add_sockets([sock])
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def request(self, path: str, method: str = "GET") -> tuple[int, bytes]:
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5.0)
        lines = head.decode().lower().split("\r\n")
        length = next(int(line[15:]) for line in lines if line.startswith("content-length:"))
        body = b"" if method == "HEAD" else await self.reader.readexactly(length)
        return int(lines[0].split()[1]), body

    async def test_responses_on_one_connection(self) -> None:
        self.assertEqual(await self.request("/readiness"), (503, b""))
        self.source.is_ready = True
        cases = [
            ("/readiness", "GET", 200, b""),
            ("/readiness?probe=1", "GET", 200, b""),
            ("/metrics", "GET", 200, b"calls 3\n"),
            ("/metrics", "HEAD", 200, b""),
            ("/other", "GET", 404, b""),
            ("/metrics", "POST", 405, b""),
        ]
        for path, method, status, body in cases:
            with self.subTest(path=path, method=method):
                self.assertEqual(await self.request(path, method), (status, body))


if __name__ == "__main__":
    unittest.main()
