from __future__ import annotations

import asyncio
import random
import socket
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from mimosahoist.core.metrics import Metrics
from mimosahoist.core.problem import Problem
from mimosahoist.entry import bodies, http_servers
from mimosahoist.entry.application import Adapters, EntryApplication
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.memory import MemoryNetwork, MemoryPeerTransport, MemoryStore, MemoryTransport
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.lab.searcher_model import SearcherModel
from mimosahoist.platform.kinds import organisation_key

READY_SECONDS = 30.0
VALID_SEARCH = {"query": {"text": "x"}, "deadline_ms": 2000}


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = MemoryNetwork(random.Random(1))
        self.platform = PlatformModel(1)
        for spec in sizes.searcher_specs(sizes.SMALL):
            model = SearcherModel(spec, [(1, spec.groups)], 1)
            self.network.models[spec.name] = model
            self.platform.list_instance(spec.name, sizes.searcher_record(spec, spec.name))
        self.platform.store(
            "objects", organisation_key("small"), sizes.organisation_object(sizes.SMALL)
        )
        other = {**sizes.organisation_object(sizes.TIDY_BOTHY), "services": []}
        self.platform.store("objects", organisation_key("tidy-bothy"), other)
        self.http = free_address()
        self.admin = free_address()
        entry_settings: Any = {
            "instance": {"name": "e", "cluster": "c", "failure_domain": "a"},
            "listen": {"http": self.http, "admin": self.admin},
            "peers": {"address": "e:p", "public_key": "", "secret_key": "", "shares": 1},
            "platform": {"url": ""},
            "drain": {"notice": 0.05, "longest": 5.0},
        }
        adapters = Adapters(
            MemoryTransport(self.network, "a"),
            MemoryPeerTransport(self.network, "e:p", "a"),
            MemoryStore(self.platform, self.network, "a"),
        )
        self.app = EntryApplication(entry_settings, Metrics(), adapters, random.Random(1))
        await self.app.start()
        http_servers.listen(self.app)
        self.client = CurlAsyncHTTPClient(force_instance=True)
        async with asyncio.timeout(READY_SECONDS):
            while not self.app.ready():
                await asyncio.sleep(0.02)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.app.close()

    async def send(
        self,
        body: bytes,
        path: str = "small/catalogue/search",
        token: str = sizes.caller_token("small", "desk"),
        method: str = "POST",
        **headers: str,
    ) -> tuple[int, Any]:
        request = HTTPRequest(
            f"http://{self.http}/v1/{path}",
            method=method,
            body=body if method == "POST" else None,
            headers={"Authorization": f"Bearer {token}", **headers},
            request_timeout=20.0,
        )
        response = await self.client.fetch(request, raise_error=False)
        return response.code, msgspec.json.decode(response.body)

    def upstream_calls(self) -> int:
        return self.app.metrics.counters["shard_calls"] + self.app.metrics.counters["run_calls"]

    async def test_length_in_digits_of_another_script_is_a_bad_request(self) -> None:
        host, _, port = self.http.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        head = "POST /v1/small/docs/search HTTP/1.1\r\nHost: h\r\nContent-Length: ³\r\n\r\n"
        writer.write(head.encode("latin-1"))
        response = await asyncio.wait_for(reader.read(), 2.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 400 "), response)

    async def test_search_answers_with_coverage(self) -> None:
        status, value = await self.send(msgspec.json.encode(VALID_SEARCH))
        self.assertEqual(status, 200)
        self.assertEqual(value["coverage"], {"shards": 4, "answered": 4, "missing": []})
        self.assertEqual(len(value["hits"]), 10)

    async def test_offset_continues_the_same_order(self) -> None:
        _, whole = await self.send(msgspec.json.encode({**VALID_SEARCH, "limit": 20}))
        _, rest = await self.send(msgspec.json.encode({**VALID_SEARCH, "limit": 10, "offset": 10}))
        self.assertEqual(whole["hits"][10:], rest["hits"])

    async def test_invalid_requests_get_typed_errors_and_no_upstream_calls(self) -> None:
        good = msgspec.json.encode(VALID_SEARCH)
        token = sizes.caller_token("tidy-bothy", "desk")
        cases: dict[str, tuple[int, str, dict[str, Any]]] = {
            "no JSON": (400, "bad-request", {"body": b"{"}),
            "no object": (400, "bad-request", {"body": b"[1]"}),
            "not UTF-8": (400, "bad-request", {"body": b'{"query": "\xff"}'}),
            "deeply nested": (400, "bad-request", {"body": b"[" * 60_000}),
            "no deadline": (400, "bad-request", {"body": b'{"query": {}}'}),
            "past deadline": (400, "bad-request", {"body": b'{"query":{},"deadline_ms":0}'}),
            "negative deadline": (400, "bad-request", {"body": b'{"query":{},"deadline_ms":-5}'}),
            "unknown key": (400, "bad-request", {"body": good[:-1] + b',"x":1}'}),
            "huge limit": (400, "bad-request", {"body": good[:-1] + b',"limit":100000}'}),
            "oversized": (413, "too-large", {"body": b"x" * (bodies.MAX_BODY_BYTES + 1)}),
            "bad token": (401, "unauthenticated", {"body": good, "token": "x"}),
            "token of another organisation": (403, "forbidden", {"body": good, "token": token}),
            "unknown service": (404, "not-found", {"body": good, "path": "small/none/search"}),
            "wrong kind": (404, "not-found", {"body": good, "path": "small/catalogue/run"}),
            "unknown path": (404, "not-found", {"body": good, "path": "x"}),
            "wrong method": (400, "bad-request", {"body": b"", "method": "GET"}),
            "long key": (
                400,
                "bad-request",
                {
                    "body": b'{"operation":{},"deadline_ms":100}',
                    "path": "small/orders/run",
                    "Idempotency-Key": "k" * 500,
                },
            ),
        }
        before = self.upstream_calls()
        for case, (status, kind, arguments) in cases.items():
            with self.subTest(case):
                got, value = await self.send(**arguments)
                self.assertEqual((got, value["error"]["kind"]), (status, kind))
                self.assertTrue(value["error"]["remedy"])
                self.assertEqual(value["error"]["run"], "not-run")
        self.assertEqual(self.upstream_calls(), before)
        self.assertEqual((await self.send(good))[0], 200)

    async def test_random_bytes_on_sockets_do_not_affect_other_requests(self) -> None:
        rng = random.Random(3)
        host, _, port = self.http.rpartition(":")
        for _ in range(30):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /v1/small HTTP/1.1\r\n" + rng.randbytes(rng.randrange(400)))
            await writer.drain()
            writer.close()
        self.assertEqual((await self.send(msgspec.json.encode(VALID_SEARCH)))[0], 200)

    async def test_drain_finishes_open_requests(self) -> None:
        for model in self.network.models.values():
            model.faults.slow_factor = 20.0
        requests = [
            asyncio.create_task(
                self.send(msgspec.json.encode({**VALID_SEARCH, "deadline_ms": 4000}))
            )
            for _ in range(3)
        ]
        while not self.app.open_requests:
            await asyncio.sleep(0.005)
        await self.app.drain()
        self.assertEqual([status for status, _ in await asyncio.gather(*requests)], [200] * 3)

    async def test_operators_see_status_metrics_and_a_span_for_each_hop(self) -> None:
        await self.send(msgspec.json.encode(VALID_SEARCH), **{"X-Trace": "1"})
        answers = {}
        for name in ("status", "metrics", "traces", "health"):
            answers[name] = (await self.client.fetch(f"http://{self.admin}/{name}")).body
        status = msgspec.json.decode(answers["status"])
        self.assertEqual(status["share"], 0)
        self.assertIn(b"mimosahoist_search_catalogue_count 1", answers["metrics"])
        spans = msgspec.json.decode(answers["traces"])
        (root,) = [span for span in spans if span["name"] == "search"]
        hops = [span for span in spans if span["parent"] == root["span"]]
        self.assertGreaterEqual(len(hops), 4)


class BodiesFuzzTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.one_of(st.binary(max_size=200), st.text(max_size=200).map(str.encode)))
    def test_any_bytes_decode_or_raise_problem(self, body: bytes) -> None:
        self.check_decode(body)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(["query", "deadline_ms", "limit", "offset", "route", "x"]),
            st.one_of(st.none(), st.integers(), st.floats(allow_nan=False), st.text(), st.just({})),
        )
    )
    def test_any_object_decodes_or_raises_problem(self, value: Any) -> None:
        self.check_decode(msgspec.json.encode(value))

    def check_decode(self, body: bytes) -> None:
        for kind in (bodies.SearchBody, bodies.RunBody):
            try:
                bodies.decode(body, kind)
            except Problem as problem:
                self.assertTrue(problem.remedy)
