"""Tests of what is begun under load: hopeless requests, scarce repeats, and urgent ones first."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from dataclasses import replace

from fakes import EngineFixture, FakeUpstream, answered, gathering_route, plain_route
from tornado.httputil import HTTPHeaders

from mimosahoist.core.tasks import now
from mimosahoist.forward.admission.decision import (
    Candidate,
    Reason,
    decide,
    expected_answers,
    needed_repeats,
    rejected_share,
)
from mimosahoist.forward.admission.gate import find_competitions
from mimosahoist.forward.admission.outlook import UNAVAILABLE, ServiceOutlook
from mimosahoist.forward.declarations import Configuration
from mimosahoist.forward.gather import ScatterGather
from mimosahoist.forward.outcomes import Answered, Gathered, NotRun, Refused
from mimosahoist.forward.plain import PlainForward
from mimosahoist.forward.relay import OVERLOAD_HEADER, RelayTarget
from mimosahoist.lab.paused_loop import PausedTestCase

CALM = ServiceOutlook(0.0, 10.02, 0.0, math.inf)
URGENT_SECONDS = 0.06


def candidate(outlooks: list[ServiceOutlook], **fields: object) -> Candidate:
    defaults = {
        "required": 35,
        "rank": 0,
        "has_returned": False,
        "deadline": 11.0,
        "urgent_seconds": URGENT_SECONDS,
    }
    return Candidate(outlooks, **{**defaults, **fields})


def queueing(seconds: float) -> ServiceOutlook:
    return ServiceOutlook(seconds, 10.02 + seconds, 0.0, math.inf)


class DecisionTest(unittest.TestCase):
    def reason(self, asked: Candidate) -> Reason | None:
        rejection = decide(asked, 10.0, random.Random(1))
        return None if rejection is None else rejection.reason

    def test_calm_request_is_begun(self) -> None:
        self.assertIsNone(self.reason(candidate([CALM] * 36, rank=2)))

    def test_search_that_cannot_reach_its_coverage_in_time_is_not_begun(self) -> None:
        late = ServiceOutlook(0.0, 11.5, 0.0, math.inf)
        for outlook in (late, UNAVAILABLE):
            self.assertIsNone(self.reason(candidate([CALM] * 35 + [outlook])))
            self.assertIs(self.reason(candidate([CALM] * 34 + [outlook] * 2)), Reason.TOO_LATE)

    def test_rejection_tells_when_an_answer_is_possible(self) -> None:
        late = ServiceOutlook(0.0, 11.5, 0.0, math.inf)
        rejection = decide(candidate([CALM] * 34 + [late] * 2), 10.0, random.Random(1))
        self.assertEqual(rejection.possible_at, 11.5)

    def test_search_is_not_begun_without_the_repeats_that_it_needs(self) -> None:
        refusing = ServiceOutlook(0.0, 10.02, 0.7, 0.0)
        self.assertIsNone(self.reason(candidate([CALM] * 34 + [refusing] * 2)))
        self.assertIs(self.reason(candidate([CALM] * 30 + [refusing] * 6)), Reason.NO_REPEATS)
        affordable = refusing._replace(repeats_left=9.0)
        self.assertIsNone(self.reason(candidate([CALM] * 30 + [affordable] * 6)))

    def test_less_urgent_ranks_leave_repeats_to_the_urgent_ones(self) -> None:
        scarce = ServiceOutlook(0.0, 10.02, 0.5, needed_repeats(0.5))
        expected = [expected_answers(candidate([scarce] * 36, rank=rank)) for rank in range(3)]
        self.assertEqual(expected[0], 36.0)
        self.assertEqual(expected, sorted(expected, reverse=True))
        self.assertLess(expected[2], expected[1])

    def test_long_queues_turn_less_urgent_requests_away_and_never_all(self) -> None:
        queues = [queueing(URGENT_SECONDS * share) for share in (0.2, 0.6, 0.8, 9.0)]
        shares = [rejected_share(candidate([queue] * 36, rank=1)) for queue in queues]
        self.assertEqual(shares[0], 0.0)
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[-1], 1.0)
        for queue in queues:
            self.assertEqual(rejected_share(candidate([queue] * 36, rank=0)), 0.0)

    def test_callers_that_return_go_before_new_ones(self) -> None:
        asked = candidate([queueing(URGENT_SECONDS)] * 36, rank=1)
        returned = asked._replace(has_returned=True)
        self.assertLess(rejected_share(returned), rejected_share(asked))

    def test_queue_of_a_shard_that_is_not_needed_turns_nobody_away(self) -> None:
        outlooks = [CALM] * 35 + [queueing(5.0)]
        self.assertEqual(rejected_share(candidate(outlooks, rank=1)), 0.0)

    def test_ranks_are_those_of_the_routes_that_share_services(self) -> None:
        urgent = replace(gathering_route(4, priority=0), name="urgent", target_latency=0.05)
        search = gathering_route(10, priority=4)
        other = plain_route(priority=1)
        found = find_competitions(Configuration(1, (search, urgent, other)))
        self.assertEqual(found["search"], ((0, 4), 0.05))
        self.assertEqual(found["urgent"], ((0, 4), 0.05))
        self.assertEqual(found["lookup"].priorities, (1,))

    def test_configuration_of_thousands_of_routes_names_few_sets_of_services(self) -> None:
        routes = [replace(gathering_route(36), name=f"r{number}") for number in range(3000)]
        found = find_competitions(Configuration(1, tuple(routes)))
        self.assertEqual(len({id(competition) for competition in found.values()}), 1)


class LoadTest(PausedTestCase):
    """Requests against upstreams that turn calls away, with the deciding code as it runs."""

    def start(self, shards: int, refused_share: float) -> EngineFixture:
        fixture = EngineFixture()
        rng = random.Random(4)
        for number in range(shards):
            for domain in ("a", "b"):
                name = f"s{number}"
                upstream = fixture.add(name, domain)
                upstream.script = self.script(f"{name}-{domain}", refused_share, rng)
        return fixture

    def script(self, name: str, refused_share: float, rng: random.Random) -> object:
        def answer(number: int) -> object:
            if rng.random() < refused_share:
                return 0.002, Refused(503)
            return 0.02, answered(name, name.encode().ljust(16)[:16])

        return answer

    def arrivals(self, fixture: EngineFixture) -> int:
        return sum(len(upstream.arrivals) for upstream in fixture.fleet.by_name.values())

    async def play(self, fixture: EngineFixture, count: int) -> list[object]:
        route = gathering_route(20, min_coverage=0.95)
        tasks = []
        for _ in range(count):
            search = ScatterGather(fixture.engine, fixture.request(route))
            tasks.append(asyncio.create_task(search.run()))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*tasks)

    async def test_calm_searches_are_all_begun(self) -> None:
        fixture = self.start(20, 0.0)
        outcomes = await self.play(fixture, 100)
        self.assertTrue(all(isinstance(outcome, Gathered) for outcome in outcomes))

    async def test_searches_that_would_fail_for_want_of_repeats_are_turned_away_at_once(
        self,
    ) -> None:
        fixture = self.start(20, 0.7)
        outcomes = await self.play(fixture, 200)
        later = outcomes[60:]
        turned_away = [
            outcome for outcome in later if isinstance(outcome, NotRun) and outcome.is_overload
        ]
        failed = [outcome for outcome in later if not isinstance(outcome, NotRun | Gathered)]
        self.assertGreater(len(turned_away), len(later) // 2)
        self.assertLess(len(failed), len(later) // 5)
        self.assertTrue(all(outcome.retry_after > 0 for outcome in turned_away))
        self.assertLess(max(fixture.engine.gate.reserved.values()), 1e-9)

    async def test_search_whose_shards_have_no_upstream_takes_no_room_of_the_others(self) -> None:
        fixture = self.start(18, 0.0)
        outcomes = await self.play(fixture, 5)
        self.assertTrue(all(isinstance(outcome, NotRun) for outcome in outcomes))
        self.assertEqual(self.arrivals(fixture), 0)

    async def test_room_that_returns_is_used_again(self) -> None:
        fixture = self.start(20, 0.7)
        await self.play(fixture, 100)
        for name, upstream in fixture.fleet.by_name.items():
            upstream.script = self.script(name, 0.0, random.Random(1))
        await asyncio.sleep(3.0)
        outcomes = await self.play(fixture, 50)
        self.assertTrue(all(isinstance(outcome, Gathered) for outcome in outcomes))

    async def test_plain_request_is_not_begun_if_every_copy_is_too_late(self) -> None:
        fixture = EngineFixture()
        upstreams: list[FakeUpstream] = [fixture.add("desk", domain) for domain in ("a", "b")]
        for upstream in upstreams:
            upstream.loads.record("4,4000,4,100", now())
        fixture.engine.gate.short_until["desk"] = now() + 1.0
        outcome = await PlainForward(fixture.engine, fixture.request(plain_route())).run()
        self.assertIsInstance(outcome, NotRun)
        self.assertTrue(outcome.is_overload)
        self.assertEqual([upstream.arrivals for upstream in upstreams], [[], []])

    async def test_refusal_for_want_of_room_is_not_tried_by_another_instance(self) -> None:
        fixture = EngineFixture()
        upstream = fixture.add("desk", "a")
        request = fixture.request(plain_route())
        overload = HTTPHeaders({OVERLOAD_HEADER: "1", "Retry-After": "0.2"})
        for headers, name in ((HTTPHeaders(), "Refused"), (overload, "Answered")):
            found = RelayTarget.classify_outcome(
                upstream, Answered(503, "", headers, b"", 0.01), request
            )
            self.assertEqual(type(found).__name__, name)
