"""Tests of callers' keys: who is refused, and what upstreams and other instances are shown."""

from __future__ import annotations

import asyncio
import random
import unittest

from fakes import HEADER_NAMES, EngineFixture, plain_route
from tornado.httputil import HTTPHeaders

from mimosahoist.forward.admission.validation import Refusal
from mimosahoist.forward.declarations import Configuration, Organisation
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.organisations.keys import KEYS_UNCONFIRMED, UNKNOWN_KEY, KeyRing
from mimosahoist.forward.organisations.steady_clock import SteadyClock
from mimosahoist.forward.organisations.usage_meter import UsageMeter
from mimosahoist.forward.outcomes import CallOutcome, Forwarded, NotRun, Refused
from mimosahoist.forward.relay import VERSION_HEADER
from mimosahoist.forward.relay_server import RelayDispatcher
from mimosahoist.forward.request import CallerRequest
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.platform.watched import WatchedItem, WatchedKind

ORGANISATIONS = (Organisation("bothy", ("k1", "k2"), 0), Organisation("grid", ("k3",)))
WINDOW_SECONDS = 5.0


def configuration(*routes: object, organisations: object = ORGANISATIONS) -> Configuration:
    return Configuration(7, routes or (plain_route(priority=3),), organisations=organisations)


class KeyRingTest(unittest.TestCase):
    def identify(self, value: str | None, keys_current: bool = True, **fields: object) -> object:
        headers = HTTPHeaders({} if value is None else {"Authorization": value})
        ring = KeyRing(configuration())
        return ring.identify(plain_route(**fields), headers, HEADER_NAMES, keys_current)

    def test_key_names_its_organisation(self) -> None:
        for value in ("Bearer k1", "bearer  k2 ", "BEARER k1"):
            self.assertEqual(self.identify(value), ("bothy", 0))
        self.assertEqual(self.identify("Bearer k3"), ("grid", None))

    def test_request_without_a_known_key_is_refused(self) -> None:
        spoiled = (None, "", "k1", "Basic k1", "Bearer", "Bearer k9", "Bearer k1,Bearer k3")
        for value in spoiled:
            self.assertEqual(self.identify(value), UNKNOWN_KEY, value)

    def test_instance_that_may_lack_keys_promises_that_the_request_has_not_run(self) -> None:
        for value in (None, "Bearer k1", "Bearer k9"):
            self.assertEqual(self.identify(value, keys_current=False), KEYS_UNCONFIRMED)

    def test_open_route_needs_no_key(self) -> None:
        self.assertEqual(self.identify(None, False, is_open=True), (None, None))
        self.assertEqual(self.identify("Bearer k1", is_open=True), ("bothy", 0))

    def test_without_organisations_no_key_is_read(self) -> None:
        ring = KeyRing(configuration(organisations=None))
        found = ring.identify(plain_route(), HTTPHeaders(), HEADER_NAMES, False)
        self.assertEqual(found, (None, None))
        ring = KeyRing(configuration(organisations=()))
        found = ring.identify(plain_route(), HTTPHeaders(), HEADER_NAMES, True)
        self.assertEqual(found, UNKNOWN_KEY)


class KeysInRequestsTest(PausedTestCase):
    def start(self, organisations: object = ORGANISATIONS, **fields: object) -> None:
        self.fixture = EngineFixture()
        self.cache = StateCache(self.fixture.fleet)
        route = plain_route(**{"priority": 3, **fields})
        value = configuration(route, organisations=organisations)
        self.cache.put_if_newer(WatchedKind.CONFIGURATION, WatchedItem("main", 1, value))
        self.upstream = self.fixture.add("desk", "a")
        self.dispatcher = Dispatcher(
            self.cache, self.fixture.engine, HEADER_NAMES, self.fixture.metrics
        )
        self.clock = SteadyClock()
        self.meter = UsageMeter(WINDOW_SECONDS, self.clock)
        self.dispatcher.usage_meter = self.meter

    async def send(self, dispatcher: Dispatcher, **headers: str) -> object:
        fields = {"Host": "h", HEADER_NAMES.request_id: "r", HEADER_NAMES.time_left: "900"}
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return await dispatcher.dispatch("GET", "/x/1", HTTPHeaders({**fields, **named}), b"")

    def counted(self) -> dict[str, int]:
        return {
            organisation: count
            for counts in self.meter.windows.values()
            for organisation, count in counts.items()
            if count
        }

    async def test_upstream_sees_the_organisation_and_never_the_key(self) -> None:
        self.start()
        outcome = await self.send(self.dispatcher, Authorization="Bearer k1", X_Organisation="grid")
        self.assertIsInstance(outcome, Forwarded)
        headers = self.upstream.forwarded_headers[0]
        self.assertEqual(headers.get_list(HEADER_NAMES.organisation), ["bothy"])
        self.assertNotIn("Authorization", headers)
        self.assertEqual(self.counted(), {"bothy": 1})

    async def test_open_route_strips_what_the_caller_claims(self) -> None:
        self.start(is_open=True)
        await self.send(self.dispatcher, Authorization="Bearer k9", X_Organisation="grid")
        headers = self.upstream.forwarded_headers[0]
        self.assertNotIn(HEADER_NAMES.organisation, headers)
        self.assertNotIn("Authorization", headers)
        self.assertEqual(self.counted(), {})

    async def test_without_organisations_headers_pass_unchanged(self) -> None:
        self.start(organisations=None)
        await self.send(self.dispatcher, Authorization="Basic x", X_Organisation="grid")
        headers = self.upstream.forwarded_headers[0]
        self.assertEqual(headers["Authorization"], "Basic x")
        self.assertEqual(headers[HEADER_NAMES.organisation], "grid")

    async def test_refused_caller_reaches_no_upstream(self) -> None:
        self.start()
        outcome = await self.send(self.dispatcher, Authorization="Bearer k9")
        self.assertEqual(outcome, UNKNOWN_KEY)
        self.dispatcher.keys_current = lambda: False
        self.assertIsInstance(await self.send(self.dispatcher, Authorization="Bearer k1"), NotRun)
        self.assertEqual(self.upstream.arrivals, [])

    async def test_priority_of_the_organisation_goes_before_that_of_the_route(self) -> None:
        self.start()
        seen = []
        perform = self.upstream.perform

        async def record_priority(request: CallerRequest, *rest: object) -> CallOutcome:
            seen.append(request.priority)
            return await perform(request, *rest)

        self.upstream.perform = record_priority
        await self.send(self.dispatcher, Authorization="Bearer k1")
        await self.send(self.dispatcher, Authorization="Bearer k3")
        self.assertEqual(seen, [0, 3])

    async def test_relayed_request_keeps_the_identity_that_was_found_for_it(self) -> None:
        self.start()
        relay = RelayDispatcher(self.cache, self.fixture.engine, HEADER_NAMES, self.fixture.metrics)
        relay.usage_meter = self.meter
        outcome = await self.send(
            relay, X_Organisation="bothy", **{VERSION_HEADER.replace("-", "_"): "7"}
        )
        self.assertIsInstance(outcome, Forwarded)
        headers = self.upstream.forwarded_headers[0]
        self.assertEqual(headers[HEADER_NAMES.organisation], "bothy")
        self.assertEqual(self.counted(), {})

    async def test_request_that_no_upstream_ran_is_not_counted(self) -> None:
        self.start()
        self.upstream.script = lambda number: (0.01, Refused(503))
        self.assertIsInstance(await self.send(self.dispatcher, Authorization="Bearer k1"), NotRun)
        self.assertEqual(self.counted(), {})

    async def test_removed_key_is_refused_once_its_configuration_is_in_force(self) -> None:
        self.start()
        value = configuration(plain_route(), organisations=(Organisation("bothy", ("k2",)),))
        value = Configuration(8, value.routes, organisations=value.organisations)
        self.cache.put_if_newer(WatchedKind.CONFIGURATION, WatchedItem("main", 2, value))
        outcome = await self.send(self.dispatcher, Authorization="Bearer k1")
        self.assertIsInstance(outcome, Refusal)


class MeterTest(PausedTestCase):
    async def test_steps_of_the_time_of_day_do_not_move_requests_to_other_windows(self) -> None:
        loop = asyncio.get_running_loop()
        clock = SteadyClock()
        meter = UsageMeter(WINDOW_SECONDS, clock)
        for _ in range(40):
            await asyncio.sleep(1.0)
            clock.sample()
        window = meter.current_window()
        loop.unix_offset = random.Random(1).choice((-7.0, 7.0))
        clock.sample()
        self.assertEqual(meter.current_window(), window)

    async def test_lasting_change_of_the_time_of_day_is_followed(self) -> None:
        loop = asyncio.get_running_loop()
        clock = SteadyClock()
        loop.unix_offset = 30.0
        for _ in range(90):
            await asyncio.sleep(1.0)
            clock.sample()
        self.assertAlmostEqual(clock.unix_time(), loop.unix_time(), places=3)
