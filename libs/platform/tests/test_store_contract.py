"""Requirements on clients of the platform's store: conditional writes, watches and outages."""

from __future__ import annotations

import asyncio
import unittest

from tornado.testing import bind_unused_port

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.lab.platform_server import create_platform_server
from mimosahoist.platform.http_store import HttpPlatformStore, decode
from mimosahoist.platform.store import PlatformStore, StoredObject

KEY = "organisation/a"


class OddResponseTest(unittest.TestCase):
    def test_odd_response_counts_as_no_response(self) -> None:
        depth = 20000
        bodies = (
            b"",
            b"\xff",
            b'{"key":"\xff"}',
            b'["a",1e999,{}]',
            b'["a",1,{"x":' + b"[" * depth + b"]" * depth + b"}]",
            b'["a",1,{},' + b"[" * depth + b"]" * depth + b"]",
        )
        for body in bodies:
            with self.subTest(body[:40]), self.assertRaises(Problem):
                decode(body, StoredObject)


class StoreContract:
    """Tests for every store, run against the in-memory model and over HTTP."""

    store: PlatformStore
    model: PlatformModel

    async def assert_problem(self, kind: ProblemKind, operation: object) -> None:
        with self.assertRaises(Problem) as caught:
            await operation
        self.assertIs(caught.exception.kind, kind)

    async def test_create_read_update(self) -> None:
        created = await self.store.put(KEY, {"n": 1}, 0)
        updated = await self.store.put(KEY, {"n": 2}, created.version)
        self.assertGreater(updated.version, created.version)
        self.assertEqual((await self.store.get(KEY)).value, {"n": 2})

    async def test_missing_object_is_none(self) -> None:
        self.assertIsNone(await self.store.get("organisation/none"))

    async def test_stale_version_conflicts_and_changes_nothing(self) -> None:
        first = await self.store.put(KEY, {"n": 1}, 0)
        await self.store.put(KEY, {"n": 2}, first.version)
        await self.assert_problem(
            ProblemKind.CONFLICT, self.store.put(KEY, {"n": 3}, first.version)
        )
        await self.assert_problem(ProblemKind.CONFLICT, self.store.put(KEY, {"n": 3}, 0))
        self.assertEqual((await self.store.get(KEY)).value, {"n": 2})

    async def test_deleted_object_can_be_created_again(self) -> None:
        first = await self.store.put(KEY, {"n": 1}, 0)
        await self.store.put(KEY, None, first.version)
        self.assertIsNone(await self.store.get(KEY))
        again = await self.store.put(KEY, {"n": 2}, 0)
        self.assertGreater(again.version, first.version)

    async def test_changes_contain_all_objects_after_a_revision(self) -> None:
        first = await self.store.put(KEY, {"n": 1}, 0)
        second = await self.store.put("organisation/b", {"n": 2}, 0)
        changes = await self.store.changes("objects", first.version, 0.0)
        self.assertEqual([item.key for item in changes.objects], ["organisation/b"])
        self.assertEqual(changes.revision, second.version)

    async def test_waiting_watch_receives_the_next_change(self) -> None:
        watch = asyncio.create_task(self.store.changes("objects", 0, 5.0))
        await asyncio.sleep(0.05)
        await self.store.put(KEY, {"n": 1}, 0)
        self.assertEqual((await watch).objects[0].key, KEY)

    async def test_records_are_not_watched(self) -> None:
        await self.store.put("idempotency/x", {"n": 1}, 0)
        changes = await self.store.changes("objects", 0, 0.0)
        self.assertEqual(changes.objects, [])

    async def test_write_with_lost_response_takes_effect(self) -> None:
        self.model.faults.lost_answer_rate = 1.0
        await self.assert_problem(ProblemKind.STORE, self.store.put(KEY, {"n": 1}, 0))
        self.assertEqual((await self.store.get(KEY)).value, {"n": 1})

    async def test_outage_raises_store_unavailable(self) -> None:
        self.model.set_down(True)
        for operation in (
            self.store.get(KEY),
            self.store.put(KEY, {}, 0),
            self.store.changes("objects", 0, 0.0),
        ):
            await self.assert_problem(ProblemKind.STORE, operation)


class ModelStoreTest(StoreContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.model = PlatformModel(1)
        self.store = self.model


class HttpStoreTest(StoreContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.model = PlatformModel(1)
        self.server = create_platform_server(self.model)
        sock, port = bind_unused_port()
        self.server.add_socket(sock)
        self.store = HttpPlatformStore(f"http://127.0.0.1:{port}")
        await self.store.start()

    async def asyncTearDown(self) -> None:
        await self.store.close()
        self.server.stop()
        await self.server.close_all_connections()
