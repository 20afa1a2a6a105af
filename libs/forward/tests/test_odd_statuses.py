"""Statuses that are none: upstreams in trouble send them, and callers must not get them."""

from __future__ import annotations

import unittest

from fakes import HEADER_NAMES, EngineFixture, gathering_route, plain_route
from test_connection import CLOSE, KEEP, ScriptedUpstream

from mimosahoist.forward.declarations import ServiceLimits, UpstreamRecord
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.gatherers import Gatherer
from mimosahoist.forward.outcomes import Answered, Failed, Lost
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.relay import RelayTarget
from mimosahoist.forward.upstream import Upstream

ODD_STATUSES = (
    "000",
    "001",
    "099",
    "199",
    "600",
    "999",
    "0200",
    "2000",
    "20",
    "+200",
    "-20",
    "2O0",
)
RESPONSE = "HTTP/1.1 {status} Odd\r\nX-Signature: s1\r\nContent-Length: 2\r\n\r\nok"


class OddStatusTest(unittest.IsolatedAsyncioTestCase):
    async def script(self, status: str, action: str) -> str:
        scripted = ScriptedUpstream((RESPONSE.format(status=status).encode(), action))
        address = await scripted.start()
        self.addCleanup(scripted.server.close)
        return address

    async def upstream(
        self, fixture: EngineFixture, service: str, status: str, action: str
    ) -> Upstream:
        address = await self.script(status, action)
        record = UpstreamRecord(f"{service}-a", service, address, "a", slots=4)
        upstream = Upstream(record, ServiceLimits(service), fixture.fleet.bounds, HEADER_NAMES)
        self.addCleanup(upstream.close)
        fixture.fleet.by_name[record.name] = upstream
        fixture.fleet.services[service] = {record.name: upstream}
        return upstream

    async def test_call_that_is_answered_so_is_lost(self) -> None:
        fixture = EngineFixture()
        for status in ODD_STATUSES:
            for action in (KEEP, CLOSE):
                with self.subTest(status, action=action):
                    upstream = await self.upstream(fixture, "desk", status, action)
                    request = fixture.request(plain_route(), time_left=0.3)
                    outcome = await upstream.call(request, request.deadline)
                    self.assertIsInstance(outcome, Lost)
                    self.assertEqual(upstream.pool.open_count, 0)

    async def test_callers_get_a_failure_of_the_instance_instead(self) -> None:
        for status in ODD_STATUSES:
            with self.subTest(status):
                fixture = EngineFixture()
                await self.upstream(fixture, "desk", status, KEEP)
                await self.upstream(fixture, "s0", status, KEEP)
                request = fixture.request(plain_route(), time_left=0.2)
                self.assertIsInstance(await PlainForward(fixture.engine, request).run(), Failed)
                request = fixture.request(gathering_route(1), time_left=0.2)
                self.assertIsInstance(await ScatterGather(fixture.engine, request).run(), Failed)
                await fixture.engine.close()

    async def test_relayed_call_that_is_answered_so_is_lost(self) -> None:
        for status in ODD_STATUSES:
            with self.subTest(status):
                fixture = EngineFixture()
                address = await self.script(status, KEEP)
                target = RelayTarget(Gatherer("g", "a", address, 1.0), fixture.engine)
                request = fixture.request(plain_route(), time_left=0.3)
                self.assertIsInstance(await target.call(request, request.deadline), Lost)
                target.close()

    async def test_statuses_of_the_protocol_are_answers(self) -> None:
        fixture = EngineFixture()
        for status in ("200", "299", "300", "404", "500", "599"):
            upstream = await self.upstream(fixture, "desk", status, KEEP)
            request = fixture.request(plain_route())
            outcome = await upstream.call(request, request.deadline)
            self.assertIsInstance(outcome, Answered, status)
