"""Run requests on a simulated fleet: at-most-once execution, idempotency keys and retries."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING
from unittest import mock

from mimosahoist.core.problem import Problem, ProblemKind, RunState
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.memory import MemoryConnection
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.upstream.messages import RUN_PATH

if TYPE_CHECKING:
    from mimosahoist.lab.searcher_model import SearcherModel

SERVICE = "orders"
DEADLINE = 1.0


class RunTest(PausedTestCase):
    async def start_fleet(self, entries: int = 3) -> MemoryFleet:
        fleet = MemoryFleet(sizes.SMALL, 4, entries)
        await fleet.start()
        return fleet

    def searchers(self, fleet: MemoryFleet) -> list[SearcherModel]:
        return [model for model in fleet.models.values() if model.spec.service == SERVICE]

    def executions(self, fleet: MemoryFleet) -> Counter[str]:
        total: Counter[str] = Counter()
        for model in self.searchers(fleet):
            total.update(model.record.operations)
        return total

    async def expect_problem(self, fleet: MemoryFleet, identifier: str, key: str | None) -> Problem:
        with self.assertRaises(Problem) as caught:
            await fleet.run(SERVICE, {"id": identifier}, DEADLINE, key)
        return caught.exception

    async def test_lost_answer_is_unknown_and_not_sent_again(self) -> None:
        fleet = await self.start_fleet()
        for model in self.searchers(fleet):
            model.faults.lost_answer_rate = 1.0
        problem = await self.expect_problem(fleet, "a", None)
        self.assertEqual((problem.kind, problem.run), (ProblemKind.UNKNOWN, RunState.UNKNOWN))
        self.assertEqual(self.executions(fleet)["a"], 1)
        await fleet.close()

    async def test_call_that_raised_an_error_is_unknown_and_not_sent_again(self) -> None:
        fleet = await self.start_fleet()
        with mock.patch.object(
            MemoryConnection, "exchange", side_effect=ZeroDivisionError
        ) as exchange:
            async with asyncio.timeout(2 * DEADLINE):
                problem = await self.expect_problem(fleet, "a", None)
        self.assertIs(problem.run, RunState.UNKNOWN)
        runs = [call for call in exchange.call_args_list if call.args[0] == RUN_PATH]
        self.assertEqual(len(runs), 1)
        await fleet.close()

    async def test_missing_reply_is_unknown(self) -> None:
        fleet = await self.start_fleet()
        for model in self.searchers(fleet):
            model.faults.silent_rate = 1.0
        problem = await self.expect_problem(fleet, "a", None)
        self.assertIs(problem.run, RunState.UNKNOWN)
        await fleet.close()

    async def test_refused_requests_are_retried_elsewhere_and_did_not_run(self) -> None:
        fleet = await self.start_fleet()
        models = self.searchers(fleet)
        for model in models[1:]:
            model.faults.shed_rate = 1.0
        for number in range(20):
            try:
                await fleet.run(SERVICE, {"id": f"op-{number}"}, DEADLINE)
            except Problem as problem:
                self.assertIs(problem.run, RunState.NOT_RUN)
                self.assertEqual(self.executions(fleet)[f"op-{number}"], 0)
        models[0].faults.shed_rate = 1.0
        self.assertIs((await self.expect_problem(fleet, "last", None)).run, RunState.NOT_RUN)
        self.assertEqual(self.executions(fleet)["last"], 0)
        await fleet.close()

    async def test_repeat_with_a_key_gets_the_stored_answer_at_any_instance(self) -> None:
        fleet = await self.start_fleet()
        results = [
            await fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key", app)
            for app in fleet.entries.values()
        ]
        self.assertEqual([result.replayed for result in results], [False, True, True])
        self.assertEqual(len({str(result.result) for result in results}), 1)
        self.assertEqual(self.executions(fleet)["a"], 1)
        await fleet.close()

    async def test_concurrent_repeats_run_once(self) -> None:
        fleet = await self.start_fleet()
        requests = [
            fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key", app) for app in fleet.entries.values()
        ]
        results = await asyncio.gather(*requests)
        self.assertEqual(sum(not result.replayed for result in results), 1)
        self.assertEqual(self.executions(fleet)["a"], 1)
        await fleet.close()

    async def test_key_with_a_different_body_is_rejected(self) -> None:
        fleet = await self.start_fleet()
        await fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key")
        problem = await self.expect_problem(fleet, "b", "key")
        self.assertIs(problem.kind, ProblemKind.KEY_REUSED)
        self.assertEqual(self.executions(fleet)["b"], 0)
        await fleet.close()

    async def test_different_keys_run_separately(self) -> None:
        fleet = await self.start_fleet()
        await fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key")
        await fleet.run(SERVICE, {"id": "b"}, DEADLINE, "key-2")
        self.assertEqual(sum(self.executions(fleet).values()), 2)
        await fleet.close()

    async def test_unknown_outcome_stays_unknown_for_repeats(self) -> None:
        fleet = await self.start_fleet()
        for model in self.searchers(fleet):
            model.faults.lost_answer_rate = 1.0
        await self.expect_problem(fleet, "a", "key")
        for model in self.searchers(fleet):
            model.faults.lost_answer_rate = 0.0
        problem = await self.expect_problem(fleet, "a", "key")
        self.assertIs(problem.run, RunState.UNKNOWN)
        self.assertEqual(self.executions(fleet)["a"], 1)
        await fleet.close()

    async def test_key_of_a_refused_request_may_be_retried(self) -> None:
        fleet = await self.start_fleet()
        for model in self.searchers(fleet):
            model.faults.shed_rate = 1.0
        self.assertIs((await self.expect_problem(fleet, "a", "key")).run, RunState.NOT_RUN)
        for model in self.searchers(fleet):
            model.faults.shed_rate = 0.0
        result = await fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key")
        self.assertFalse(result.replayed)
        await fleet.close()

    async def test_instance_killed_during_a_run_leaves_an_unknown_outcome(self) -> None:
        fleet = await self.start_fleet()
        app = fleet.entries["entry-0"]
        for model in self.searchers(fleet):
            model.faults.slow_factor = 50.0
        running = asyncio.create_task(fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key", app))
        await asyncio.sleep(0.05)
        running.cancel()
        await fleet.kill_entry("entry-0")
        await asyncio.sleep(1)
        problem = await self.expect_problem(fleet, "a", "key")
        self.assertIs(problem.run, RunState.UNKNOWN)
        self.assertEqual(self.executions(fleet)["a"], 1)
        await fleet.close()

    async def test_store_faults_never_run_a_key_twice(self) -> None:
        faults = {
            "outage": {"down": True},
            "lost answers": {"lost_answer_rate": 1.0},
            "slow": {"delay": 0.2},
        }
        for case, values in faults.items():
            with self.subTest(case):
                fleet = await self.start_fleet()
                for name, value in values.items():
                    setattr(fleet.platform.faults, name, value)
                for _ in range(3):
                    try:
                        await fleet.run(SERVICE, {"id": "a"}, DEADLINE, "key")
                    except Problem as problem:
                        if problem.run is RunState.NOT_RUN:
                            self.assertEqual(self.executions(fleet)["a"], 0)
                fleet.platform.faults.lost_answer_rate = 0.0
                fleet.platform.set_down(False)
                await asyncio.sleep(5)
                await fleet.run(SERVICE, {"id": "a"}, 3.0, "key")
                self.assertEqual(self.executions(fleet)["a"], 1)
                await fleet.close()

    async def test_operation_that_crashes_upstreams_is_rejected(self) -> None:
        fleet = await self.start_fleet()
        for model in self.searchers(fleet):
            model.faults.crash_text = "killer"
            model.spec = model.spec._replace(restart_seconds=0.2, cold_seconds=0.2)
        operation = {"id": "k", "text": "killer"}
        kinds = []
        for _ in range(8):
            with self.assertRaises(Problem) as caught:
                await fleet.run(SERVICE, operation, DEADLINE)
            kinds.append(caught.exception.kind)
            await asyncio.sleep(0.1)
        self.assertLessEqual(fleet.total("killed"), 3)
        self.assertIs(kinds[-1], ProblemKind.REJECTED_REQUEST)
        await fleet.close()
