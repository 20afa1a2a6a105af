"""Tests of byte sequences that an upstream may send, over real loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import unittest
import weakref
from unittest import mock

from fakes import HEADER_NAMES, gathering_route
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from mimosahoist.core.tasks import now
from mimosahoist.forward.connection import keep_alive_seconds
from mimosahoist.forward.declarations import ServiceLimits, SharedBounds, UpstreamRecord
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.outcomes import Answered, CallOutcome, LossKind, Lost, Refused, Unreached
from mimosahoist.forward.request import CallerRequest
from mimosahoist.forward.upstream import Upstream

SIGNED = b"X-Signature: s1\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + SIGNED + b"\r\nbody"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\nbody"
RESET = "reset"
CLOSE = "close"
KEEP = "keep"
LATE_RESPONSE = "late response"
LATE_RESPONSE_SECONDS = 0.03


def response(status: str, headers: bytes = b"", body: bytes = b"") -> bytes:
    length = f"Content-Length: {len(body)}\r\n".encode()
    return f"HTTP/1.1 {status}\r\n".encode() + length + headers + b"\r\n" + body


def make_request(id: str = "r1", body: bytes = b"") -> CallerRequest:
    headers = HTTPHeaders({HEADER_NAMES.request_id: id, "Host": "h"})
    at = now()
    return CallerRequest(
        id, gathering_route(1), "GET", "/x/1", headers, body, at, at + 5, at + 5, at + 5
    )


class ScriptedUpstream:
    """Sends the n-th script in response to the n-th request; the last script repeats.

    A script is the bytes to send and what to do with the connection after that.
    """

    def __init__(self, *scripts: tuple[bytes, str]) -> None:
        self.scripts = list(scripts)
        self.requests: list[bytes] = []
        self.connections = 0

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                data, action = self.scripts[min(len(self.requests), len(self.scripts)) - 1]
                writer.write(data)
                if action == RESET:
                    writer.transport.abort()
                    return
                await writer.drain()
                if action == CLOSE:
                    return
                if action == LATE_RESPONSE:
                    await asyncio.sleep(LATE_RESPONSE_SECONDS)
                    writer.write(COMPLETE)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        finally:
            writer.close()


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def upstream(self, *scripts: tuple[bytes, str]) -> Upstream:
        self.scripted = ScriptedUpstream(*scripts)
        address = await self.scripted.start()
        self.addCleanup(self.scripted.server.close)
        record = UpstreamRecord("u1", "s", address, "a", slots=4)
        upstream = Upstream(record, ServiceLimits("s"), SharedBounds(), HEADER_NAMES)
        self.addCleanup(upstream.close)
        return upstream

    async def call(
        self, upstream: Upstream, id: str = "r1", seconds: float = 5.0, body: bytes = b""
    ) -> CallOutcome:
        return await upstream.call(make_request(id, body), now() + seconds)

    async def test_unusable_responses_are_lost_and_close_the_connection(self) -> None:
        cases = [
            ("truncated body", COMPLETE[:-1], CLOSE, LossKind.BROKEN),
            ("truncated headers", COMPLETE[:20], CLOSE, LossKind.BROKEN),
            ("closed without a response", b"", CLOSE, LossKind.BROKEN),
            ("reset in the body", COMPLETE[:-1], RESET, LossKind.BROKEN),
            ("not HTTP", b"garbage\r\n\r\n", KEEP, LossKind.MALFORMED),
            (
                "response to another request",
                response("200 OK", SIGNED + b"X-Request-Id: r9\r\n"),
                KEEP,
                None,
            ),
            (
                "content encoding",
                response("200 OK", SIGNED + b"Content-Encoding: gzip\r\n"),
                KEEP,
                None,
            ),
            ("no signature", response("200 OK"), KEEP, LossKind.MALFORMED),
        ]
        for name, data, action, kind in cases:
            with self.subTest(name):
                upstream = await self.upstream((data, action))
                outcome = await self.call(upstream)
                self.assertIsInstance(outcome, Lost)
                if kind is not None:
                    self.assertIs(outcome.kind, kind)
                self.assertEqual(len(self.scripted.requests), 1)
                self.assertEqual((upstream.pool.idle, upstream.pool.open_count), ([], 0))

    async def test_request_is_not_kept_for_the_garbage_collector(self) -> None:
        self.addCleanup(gc.enable)
        gc.disable()
        for data, action in ((COMPLETE, KEEP), (COMPLETE[:-1], CLOSE)):
            upstream = await self.upstream((data, action))
            request = make_request(body=b"x" * 200_000)
            kept = weakref.ref(request)
            await upstream.call(request, now() + 5)
            del request
            await asyncio.sleep(0)
            self.assertTrue(kept() is None, action)

    async def test_body_is_written_without_a_copy_for_each_call(self) -> None:
        body = b"x" * 200_000
        written: list[object] = []
        write = IOStream.write

        def record(stream: IOStream, data: bytes) -> object:
            written.append(data)
            return write(stream, data)

        with mock.patch.object(IOStream, "write", record):
            for number in range(3):
                upstream = await self.upstream((COMPLETE, CLOSE))
                self.assertIsInstance(await self.call(upstream, f"r{number}", body=body), Answered)
        self.assertEqual(sum(data is body for data in written), 3)
        self.assertLess(max(len(data) for data in written if data is not body), 1000)

    async def test_header_fields_are_not_kept_while_the_response_is_awaited(self) -> None:
        upstream = await self.upstream((b"", KEEP))
        kept: list[weakref.ref[HTTPHeaders]] = []
        request_headers = upstream.request_headers

        def record(request: CallerRequest) -> HTTPHeaders:
            headers = request_headers(request)
            kept.append(weakref.ref(headers))
            return headers

        with mock.patch.object(upstream, "request_headers", record):
            task = asyncio.create_task(self.call(upstream, seconds=1.0))
            while not self.scripted.requests:
                await asyncio.sleep(0.01)
            self.assertEqual([reference() for reference in kept], [None])
            self.assertIsInstance(await task, Lost)

    async def test_complete_responses(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SIGNED + b"\r\n"
        chunked += b"4\r\nbody\r\n0\r\n\r\n"
        cases = [
            ("length", COMPLETE, KEEP),
            ("chunks", chunked, KEEP),
            ("end", WITHOUT_LENGTH, CLOSE),
        ]
        for name, data, action in cases:
            with self.subTest(name):
                upstream = await self.upstream((data, action))
                outcome = await self.call(upstream)
                self.assertIsInstance(outcome, Answered)
                self.assertEqual((outcome.status, outcome.body), (200, b"body"))
                self.assertEqual(len(upstream.pool.idle), int(action == KEEP))

    async def test_refused_calls_did_not_run(self) -> None:
        full = await self.upstream((response("503 Busy", b"X-Not-Run: 1\r\n"), KEEP))
        self.assertEqual(await self.call(full), Refused(503))
        other = await self.upstream((response("421 Misdirected"), KEEP))
        self.assertEqual(await self.call(other), Refused(421, other_instance=True))

    async def test_answer_with_a_spoiled_number_in_its_head_is_not_lost(self) -> None:
        upstream = await self.upstream((COMPLETE, KEEP))
        numbers = [
            "0,0,³",
            "0,0",
            "³",
            "1³",
            "9" * 5000,
            "+1",
            "1_0",
            "-1",
            "nan",
            "1e400",
            "",
        ]
        names = ["X-Load", "X-Cold-Left", "X-Limit", "X-Leaving", "Retry-After", "Keep-Alive"]
        for name in names:
            for number in numbers:
                with self.subTest(name, number=number[:9]):
                    value = f"timeout={number}" if name == "Keep-Alive" else number
                    line = f"{name}: {value}\r\n".encode("latin-1")
                    self.scripted.scripts = [(response("200 OK", SIGNED + line, b"body"), KEEP)]
                    outcome = await self.call(upstream)
                    self.assertIsInstance(outcome, Answered)
                    self.assertEqual(outcome.body, b"body")
        self.assertEqual(upstream.pool.open_count, len(upstream.pool.idle))

    async def test_answer_with_one_bit_of_its_head_flipped_is_never_taken_as_not_run(
        self,
    ) -> None:
        headers = SIGNED + b"X-Load: 3,2,4\r\nX-Cold-Left: 50\r\nKeep-Alive: timeout=5\r\n"
        sound = response("200 OK", headers, b"body")
        upstream = await self.upstream((sound, CLOSE))
        for bit in range(8 * (len(sound) - len(b"body"))):
            spoiled = bytearray(sound)
            spoiled[bit // 8] ^= 1 << bit % 8
            self.scripted.scripts = [(bytes(spoiled), CLOSE)]
            outcome = await self.call(upstream, seconds=0.2)
            self.assertIsInstance(outcome, Answered | Lost, bytes(spoiled))
            self.assertNotEqual(outcome, Lost(LossKind.ERROR), bytes(spoiled))
            self.assertEqual(upstream.pool.open_count, len(upstream.pool.idle))

    async def test_surplus_response_is_not_matched_to_the_next_request(self) -> None:
        extra = response("200 OK", SIGNED + b"X-Request-Id: r1\r\n", b"extra")
        upstream = await self.upstream((COMPLETE + extra, KEEP), (COMPLETE, KEEP))
        self.assertEqual((await self.call(upstream)).body, b"body")
        self.assertEqual(upstream.pool.idle, [])
        self.assertEqual((await self.call(upstream, "r2")).body, b"body")
        self.assertEqual(self.scripted.connections, 2)

    async def test_late_surplus_response_prevents_reuse_of_the_connection(self) -> None:
        upstream = await self.upstream((COMPLETE, LATE_RESPONSE), (COMPLETE, KEEP))
        await self.call(upstream)
        self.assertEqual(len(upstream.pool.idle), 1)
        await asyncio.sleep(3 * LATE_RESPONSE_SECONDS)
        await self.call(upstream, "r2")
        self.assertEqual(self.scripted.connections, 2)

    async def test_request_on_a_broken_reused_connection_is_not_resent(self) -> None:
        upstream = await self.upstream((COMPLETE, KEEP), (b"", CLOSE))
        await self.call(upstream)
        outcome = await self.call(upstream, "r2")
        self.assertEqual(outcome, Lost(LossKind.BROKEN))
        self.assertEqual(len(self.scripted.requests), 2)

    async def test_timed_out_call_closes_its_connection(self) -> None:
        upstream = await self.upstream((b"", KEEP))
        outcome = await self.call(upstream, seconds=0.05)
        self.assertEqual(outcome, Lost(LossKind.TIMEOUT))
        self.assertEqual((upstream.pool.open_count, upstream.in_flight), (0, {}))

    async def test_refused_connection_is_unreached(self) -> None:
        upstream = await self.upstream((COMPLETE, KEEP))
        self.scripted.server.close()
        await self.scripted.server.wait_closed()
        self.assertIsInstance(await self.call(upstream), Unreached)
        self.assertEqual((upstream.pool.open_count, upstream.in_flight), (0, {}))

    async def test_call_that_raises_an_error_after_its_request_was_sent_may_have_run(self) -> None:
        upstream = await self.upstream((COMPLETE, KEEP))
        upstream.update_from_headers = mock.Mock(side_effect=ZeroDivisionError)
        self.assertEqual(await self.call(upstream), Lost(LossKind.ERROR))
        self.assertEqual(len(self.scripted.requests), 1)
        self.assertEqual((upstream.pool.open_count, upstream.active_connections), (0, {}))

    async def test_call_that_raises_an_error_before_a_connection_is_open_did_not_run(self) -> None:
        upstream = await self.upstream((COMPLETE, KEEP))
        upstream.pool.address = f"{'a' * 100}:80"
        self.assertIsInstance(await self.call(upstream), Unreached)
        self.assertEqual((upstream.pool.open_count, upstream.in_flight), (0, {}))

    async def test_cancelled_call_closes_its_connection(self) -> None:
        upstream = await self.upstream((b"", KEEP))
        task = asyncio.create_task(self.call(upstream))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual((upstream.pool.open_count, upstream.in_flight), (0, {}))

    async def test_load_and_warm_up_state_are_read_from_headers(self) -> None:
        headers = SIGNED + b"X-Load: 3,2,4\r\nX-Cold-Left: 500\r\n"
        upstream = await self.upstream((response("200 OK", headers), KEEP))
        await self.call(upstream)
        self.assertAlmostEqual(upstream.occupancy(now()), 1.25)
        self.assertTrue(upstream.cold(now()))

    def test_keep_alive_header(self) -> None:
        cases = [("timeout=5", 4.7), ("max=9, timeout=2", 1.7), ("", 30.0), ("timeout=x", 30.0)]
        for value, seconds in cases:
            self.assertAlmostEqual(keep_alive_seconds(value), seconds)

    async def test_connections_of_a_departing_upstream_are_closed(self) -> None:
        plain = response("200 OK", SIGNED)
        leaving = response("200 OK", SIGNED + b"X-Leaving: 1\r\n")
        upstream = await self.upstream((plain, KEEP), (plain, KEEP), (leaving, KEEP))
        fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        fleet.by_name["u1"] = upstream
        upstream.announcement_listener = fleet.handle_announcement
        await asyncio.gather(self.call(upstream), self.call(upstream))
        self.assertEqual(len(upstream.pool.idle), 2)
        await self.call(upstream)
        self.assertEqual((upstream.pool.idle, upstream.pool.open_count), ([], 0))

    async def test_response_that_breaks_off_or_is_abandoned_after_its_head_still_announces(
        self,
    ) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + SIGNED + b"X-Limit: 4\r\n\r\n"
        for action in (CLOSE, RESET, KEEP):
            with self.subTest(action):
                upstream = await self.upstream((head + b"bo", action))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await self.call(upstream)
                self.assertEqual(upstream.announcements.limit, 4.0)
