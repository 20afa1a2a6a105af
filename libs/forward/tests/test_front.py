"""The callers' HTTP server over real loopback connections."""

from __future__ import annotations

import asyncio
import gc
import random
import socket
import unittest
from dataclasses import replace
from unittest import mock

from fakes import HEADER_NAMES, EngineFixture, FakeUpstream, answered, plain_route
from tornado.testing import bind_unused_port

from mimosahoist.core.metrics import Metrics
from mimosahoist.forward.callers.intake import Intake, IntakeLimits
from mimosahoist.forward.callers.message import CallerMessageDelegate
from mimosahoist.forward.callers.servers import CallerServer, FrontendServer
from mimosahoist.forward.declarations import CallerLimits, Configuration, RouteKind, SharedBounds
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.front import CallerFrontend
from mimosahoist.forward.outcomes import Answered
from mimosahoist.forward.routing import RouteTable
from mimosahoist.forward.state_cache import StateCache

GET = "GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Time-Left: 3000\r\n{more}\r\n"
LIMITS = CallerLimits(header_bytes=2000, body_bytes=1000, header_timeout=0.2)


class CallerFrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fixture = EngineFixture(SharedBounds(repeat_slack=1000.0))
        self.upstream: FakeUpstream = self.fixture.add("desk", "a")
        self.state_cache = StateCache(self.fixture.fleet)
        self.configure(plain_route(RouteKind.NON_IDEMPOTENT))
        dispatcher = Dispatcher(self.state_cache, self.fixture.engine, HEADER_NAMES, Metrics())
        self.frontend = CallerFrontend(dispatcher)
        self.server = CallerServer(self.frontend)
        sock, self.port = bind_unused_port()
        self.server.add_sockets([sock])
        self.rng = random.Random(2)

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.frontend.tasks.close()
        await self.fixture.engine.close()
        await self.server.close_all_connections()

    def configure(self, *routes: object) -> None:
        self.state_cache.routes = RouteTable(Configuration(1, tuple(routes), {}, LIMITS))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def request(
        self, path: str = "/x/1", more: str = "", body: bytes = b""
    ) -> tuple[int, str]:
        reader, writer = await self.connect()
        writer.write(GET.format(path=path, more=more).encode("latin-1") + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        return int(head.split()[1]), head

    async def test_refused_requests(self) -> None:
        cases = [
            ("no route", {"path": "/other/1"}, 404),
            ("headers too large", {"more": f"X-Much: {'x' * 3000}\r\n"}, 431),
            ("length too large", {"more": "Content-Length: 2000\r\n"}, 413),
            ("length in other digits", {"more": "Content-Length: ³\r\n"}, 400),
            ("length without end", {"more": f"Content-Length: {'1' * 1500}\r\n"}, 400),
            (
                "chunks too large",
                {
                    "more": "Transfer-Encoding: chunked\r\n",
                    "body": b"800\r\n" + b"x" * 2048 + b"\r\n0\r\n\r\n",
                },
                413,
            ),
        ]
        for name, request, status in cases:
            with self.subTest(name):
                self.assertEqual((await self.request(**request))[0], status)
        self.assertEqual(self.upstream.arrivals, [])

    async def test_request_whose_time_left_is_no_number_is_answered(self) -> None:
        for value in ("³", "1³", "-5", "9" * 40, "x"):
            with self.subTest(value):
                reader, writer = await self.connect()
                head = GET.format(path="/x/1", more="").replace("3000", value)
                writer.write(head.encode("latin-1"))
                response = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
                self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)

    async def test_incomplete_headers_get_408(self) -> None:
        at = asyncio.get_running_loop().time()
        idle, _ = await self.connect()
        reader, writer = await self.connect()
        writer.write(b"GET /x/1 HTTP/1.1\r\nHost: h\r\n")
        await asyncio.sleep(0.05)
        self.frontend.refuse_slow_headers(at)
        self.frontend.refuse_slow_headers(at + 0.15)
        self.assertEqual(self.frontend.open_connections, 2)
        self.frontend.refuse_slow_headers(at + 0.25)
        self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 408 "))
        self.assertFalse(idle.at_eof())
        self.assertEqual(self.frontend.open_connections, 1)
        self.assertEqual(self.upstream.arrivals, [])

    async def test_head_that_was_answered_408_and_is_not_collected_yet_ends_no_look_at_others(
        self,
    ) -> None:
        at = asyncio.get_running_loop().time()
        readers = []
        for _ in range(2):
            reader, writer = await self.connect()
            writer.write(b"GET /x/1 HTTP/1.1\r\nHost: h\r\n")
            readers.append(reader)
        await asyncio.sleep(0.05)
        # They stay reachable after their close, as those in reference cycles do.
        connections = list(self.frontend.connections)
        connections[0].stream.close()
        self.frontend.refuse_slow_headers(at)
        self.frontend.refuse_slow_headers(at + 0.25)
        self.frontend.refuse_slow_headers(at + 0.5)
        answers = sorted([await reader.read() for reader in readers])
        self.assertEqual(answers[0], b"")
        self.assertTrue(answers[1].startswith(b"HTTP/1.1 408 "))
        self.assertEqual(len(connections), 2)

    async def test_incomplete_body_gets_408(self) -> None:
        status, _ = await self.request(more="Content-Length: 10\r\n", body=b"x")
        self.assertEqual(status, 408)
        self.assertEqual(self.upstream.arrivals, [])

    async def test_missing_configuration_gets_503_with_retry_after(self) -> None:
        self.state_cache.routes = None
        status, head = await self.request()
        self.assertEqual(status, 503)
        self.assertIn("Retry-After:", head)

    async def test_response_is_returned_unchanged(self) -> None:
        self.upstream.script = lambda number: (0.0, answered("x", b"the body", status=418))
        status, head = await self.request()
        self.assertEqual(status, 418)
        self.assertIn("X-Signature: signed-x", head)

    async def test_request_that_an_error_ends_is_answered(self) -> None:
        def answer_that_cannot_be_written(number: int) -> tuple[float, Answered]:
            return 0.0, replace(answered("x"), reason="a\rb")

        cases = {
            "in the decisions": mock.patch.object(
                self.fixture.engine, "choose", side_effect=ZeroDivisionError
            ),
            "in the response": mock.patch.object(
                self.upstream, "script", answer_that_cannot_be_written
            ),
        }
        for name, error in cases.items():
            with self.subTest(name), error:
                status, _ = await asyncio.wait_for(self.request(), 2.0)
                self.assertEqual(status, 502)
                self.assertEqual(self.frontend.open_requests, 0)

    async def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        await self.request(more="Connection: X-Own\r\nX-Own: 1\r\nTE: x\r\nX-Kept: 2\r\n")
        headers = self.upstream.forwarded_headers[0]
        self.assertEqual(headers["X-Kept"], "2")
        self.assertEqual(headers["X-Request-Id"], "r1")
        for name in ("X-Own", "TE", "Connection"):
            self.assertNotIn(name, headers)

    async def test_closed_caller_connection_cancels_the_call(self) -> None:
        dropped: list[int] = []
        self.upstream.script = lambda number: (0.0, None)
        self.upstream.abort_call = dropped.append
        reader, writer = await self.connect()
        writer.write(GET.format(path="/x/1", more="").encode())
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.6)
        self.assertEqual(len(dropped), 1)
        self.assertEqual(self.frontend.open_requests, 0)

    async def test_chunk_line_without_end_is_not_taken_for_a_head_that_is_too_large(self) -> None:
        reader, writer = await self.connect()
        head = GET.format(path="/x/1", more="Transfer-Encoding: chunked\r\n").encode()
        writer.write(head + b"1" * 100)
        self.assertNotIn(b" 431 ", await asyncio.wait_for(reader.read(), 2.0))
        self.assertEqual(self.upstream.arrivals, [])

    async def test_closed_connections_are_not_kept(self) -> None:
        for server in (self.server, FrontendServer(self.frontend)):
            with self.subTest(type(server).__name__):
                if server is not self.server:
                    sock, self.port = bind_unused_port()
                    server.add_sockets([sock])
                    self.addCleanup(server.stop)
                for _ in range(5):
                    reader, writer = await self.connect()
                    writer.write(GET.format(path="/x/1", more="").encode())
                    await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                await asyncio.sleep(0.1)
                gc.collect()
                self.assertEqual(len(self.frontend.readers), 0)
                self.assertEqual(len(self.frontend.connections), 0)

    async def test_nothing_is_begun_for_callers_that_sent_ahead_and_left(self) -> None:
        self.upstream.script = lambda number: (0.3, answered("x"))
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                self.upstream.arrivals.clear()
                _, writer = await self.connect()
                writer.write(50 * GET.format(path="/x/1", more="").encode())
                await asyncio.sleep(0.1)
                if is_reset:
                    writer.transport.abort()
                writer.close()
                await asyncio.sleep(0.1)
                self.frontend.close_left_connections()
                await asyncio.sleep(0.7)
                self.assertEqual(len(self.upstream.arrivals), 1)
                self.assertEqual(self.frontend.open_requests, 0)

    async def test_whole_body_of_a_caller_that_has_left_is_not_begun(self) -> None:
        receive = CallerMessageDelegate.data_received

        def receive_and_lose(delegate: CallerMessageDelegate, chunk: bytes) -> None:
            receive(delegate, chunk)
            delegate.server_connection.stream.close()

        with mock.patch.object(CallerMessageDelegate, "data_received", receive_and_lose):
            _, writer = await self.connect()
            head = GET.format(path="/x/1", more="Content-Length: 500\r\n").encode()
            writer.write(head + b"x" * 500)
            await asyncio.sleep(0.1)
        self.assertEqual(self.upstream.arrivals, [])
        self.assertEqual(self.frontend.intake.held_bytes, 0)

    async def test_drain_drops_no_request_that_was_read(self) -> None:
        self.upstream.script = lambda number: (0.02, answered("x"))
        self.begin_stop()
        answered_count = cut_off = 0
        for _ in range(40):
            reader, writer = await self.connect()
            await asyncio.sleep(0.002)
            writer.write(GET.format(path="/x/1", more="").encode())
            for _ in range(self.rng.randrange(6)):
                await asyncio.sleep(0)
            arrivals = len(self.upstream.arrivals)
            self.frontend.close_idle_connections()
            try:
                head = await asyncio.wait_for(reader.read(), 5.0)
            except ConnectionResetError:
                head = b""
            await asyncio.sleep(0.03)
            was_forwarded = len(self.upstream.arrivals) > arrivals
            answered_count += bool(head)
            cut_off += was_forwarded and not head
        self.assertEqual(cut_off, 0)
        self.assertGreater(answered_count, 0)

    def begin_stop(self) -> None:
        self.frontend.draining = True
        self.server.conn_params.no_keep_alive = True

    async def test_request_completed_late_in_a_stop_is_not_passed_on_but_rejected(self) -> None:
        self.begin_stop()
        reader, writer = await self.connect()
        writer.write(GET.format(path="/x/1", more="Content-Length: 4\r\n").encode() + b"ab")
        await asyncio.sleep(0.02)
        self.frontend.stop_accepting()
        self.frontend.close_idle_connections()
        writer.write(b"cd")
        response = await asyncio.wait_for(reader.read(), 2.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"Retry-After:", response)
        self.assertIn(b"Connection: close", response)
        self.assertEqual(self.upstream.arrivals, [])

    async def test_request_open_at_the_end_of_a_stop_gets_an_answer_that_promises_nothing(
        self,
    ) -> None:
        self.upstream.script = lambda number: (0.0, None)
        self.begin_stop()
        reader, writer = await self.connect()
        writer.write(GET.format(path="/x/1", more="").encode())
        await asyncio.sleep(0.05)
        await self.frontend.end_open_requests()
        response = await asyncio.wait_for(reader.read(), 2.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 504 "), response)
        self.assertEqual(self.frontend.open_requests, 0)

    async def test_draining_instance_closes_caller_connections(self) -> None:
        self.frontend.draining = True
        _, head = await self.request()
        self.assertIn("Connection: close", head)


class CrowdedFrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fixture = EngineFixture(SharedBounds(repeat_slack=1000.0))
        self.upstream: FakeUpstream = self.fixture.add("desk", "a")
        cache = StateCache(self.fixture.fleet)
        limits = CallerLimits(header_bytes=2000, body_bytes=1000, header_timeout=30.0)
        cache.routes = RouteTable(Configuration(1, (plain_route(),), {}, limits))
        self.dispatcher = Dispatcher(cache, self.fixture.engine, HEADER_NAMES, Metrics())
        intake = Intake(IntakeLimits(3, 10, 6000, 1000))
        self.frontend = CallerFrontend(self.dispatcher, intake)
        self.server = CallerServer(self.frontend)
        sock, self.port = bind_unused_port()
        self.server.add_sockets([sock])

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.frontend.tasks.close()
        await self.fixture.engine.close()
        await self.server.close_all_connections()

    async def connect(self, data: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader

    async def test_connections_without_a_head_give_way_to_a_request(self) -> None:
        stuck = [await self.connect(data) for data in (b"", b"GET /x", b"", b"GET")]
        head = GET.format(path="/x/1", more="").encode()
        reader = await self.connect(head)
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        self.assertEqual([await item.read() for item in stuck[:2]], [b"", b""])
        self.assertEqual(len(self.frontend.intake.holdings), 3)
        self.assertEqual(self.dispatcher.metrics.counters["connections_gave_way"], 2)

    async def test_bytes_that_are_not_read_yet_are_bounded_for_each_connection(self) -> None:
        bounded = IntakeLimits(3, 10, 6000, 1000, unread_bytes=8192)
        self.frontend.intake = Intake(bounded)
        self.upstream.script = lambda number: (30.0, answered("x"))
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        writer.write(GET.format(path="/x/1", more="").encode() + bytes(1 << 20))
        await asyncio.sleep(0.3)
        self.assertGreater(writer.transport.get_write_buffer_size(), 900 << 10)

    async def test_connection_that_has_to_wait_is_served_and_not_refused(self) -> None:
        head = GET.format(path="/x/1", more="").encode()
        for _ in range(4):
            stuck = [await asyncio.open_connection("127.0.0.1", self.port) for _ in range(5)]
            for _, writer in stuck:
                self.addCleanup(writer.close)
            reader = await self.connect(head)
            line = await asyncio.wait_for(reader.readline(), 5.0)
            self.assertIn(b" 200 ", line)

    async def test_body_that_stops_is_refused_as_not_run_for_one_that_is_sent(self) -> None:
        body = GET.format(path="/x/1", more="Content-Length: 990\r\n").encode()
        more = 5 * "".join(f"{number:x}:\r\n" for number in range(3))
        stuck = await self.connect(
            body.replace(b"\r\n\r\n", f"\r\n{more}\r\n".encode()) + b"x" * 980
        )
        reader = await self.connect(
            body.replace(b"\r\n\r\n", f"\r\n{more}\r\n".encode()) + b"x" * 990
        )
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        refusal = await stuck.read()
        self.assertIn(b" 503 ", refusal)
        self.assertIn(b"Retry-After", refusal)
        self.assertEqual(len(self.upstream.arrivals), 1)
