"""Tests of questions to single peers, on a paused clock."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from mimosahoist.core.metrics import Metrics
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.peers.inquiries import INQUIRY_PREFIX, Inquiries, InquiryHandler
from mimosahoist.peers.transport import PeerTransport

DELAY_SECONDS = 0.01


class Wire(PeerTransport):
    """Delivers messages between peers after a delay; `lost` addresses get none."""

    def __init__(self) -> None:
        self.peers: dict[str, Inquiries] = {}
        self.lost: set[str] = set()

    async def start(self, handler: Any) -> None:
        pass

    async def close(self) -> None:
        pass

    def disconnect(self, address: str) -> None:
        pass

    def send(self, address: str, frame: bytes) -> None:
        if address not in self.lost:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_SECONDS, self.peers[address].handle, frame)


class Doubling(InquiryHandler):
    async def answer(self, sender: str, body: Any) -> Any:
        if not isinstance(body, int):
            raise ValueError("not a number")
        return [sender, 2 * body]


class InquiriesTest(PausedTestCase):
    def start(self) -> Wire:
        wire = Wire()
        for name in ("a", "b"):
            wire.peers[name] = Inquiries("c", name, name, wire, Metrics())
            wire.peers[name].register("double", Doubling())
        return wire

    async def test_each_question_gets_its_own_answer(self) -> None:
        wire = self.start()
        asks = [wire.peers["a"].ask("b", "double", number, 1.0) for number in range(5)]
        answers = await asyncio.gather(*asks)
        self.assertEqual(answers, [["a", 2 * number] for number in range(5)])

    async def test_lost_or_malformed_questions_end_without_an_answer(self) -> None:
        wire = self.start()
        self.assertIsNone(await wire.peers["a"].ask("b", "double", "text", 0.5))
        self.assertIsNone(await wire.peers["a"].ask("b", "unknown topic", 1, 0.5))
        wire.lost.add("b")
        self.assertIsNone(await wire.peers["a"].ask("b", "double", 1, 0.5))
        self.assertEqual(wire.peers["a"].pending, {})

    async def test_answer_after_the_timeout_is_dropped(self) -> None:
        wire = self.start()
        self.assertIsNone(await wire.peers["a"].ask("b", "double", 1, DELAY_SECONDS))
        await asyncio.sleep(1.0)
        self.assertEqual(await wire.peers["a"].ask("b", "double", 3, 1.0), ["a", 6])

    async def test_spoiled_messages_are_counted_and_dropped(self) -> None:
        peer = self.start().peers["a"]
        foreign = ("other", False, 1, "double", "x", "b", 1)
        spoiled = [b"", b"\xff", msgspec.msgpack.encode([1, 2]), msgspec.msgpack.encode(foreign)]
        for data in spoiled:
            peer.handle(INQUIRY_PREFIX + data)
        counters = peer.metrics.counters
        self.assertEqual((counters["inquiries_malformed"], counters["inquiries_foreign"]), (3, 1))
