"""Order in which callers' requests are taken on, on the paused clock."""

from __future__ import annotations

import asyncio

from mimosahoist.forward.callers.turns import REQUEST_LINES, Account, Turns, request_cost
from mimosahoist.lab.paused_loop import PausedTestCase

ORDINARY_LINES = 10
HEAVY_LINES = 2200


class TurnsTest(PausedTestCase):
    def setUp(self) -> None:
        self.turns = Turns(max_lines_per_turn=400)
        self.taken: list[str] = []

    async def request(
        self, name: str, lines: int, account: Account | None = None, ahead: bool = False
    ) -> None:
        account = account or Account()
        cost = request_cost(lines * b"\n", ahead)
        if self.turns.take_now(cost, account) or await self.turns.wait(cost, account):
            self.taken.append(name)

    async def send_ahead(self, name: str, count: int, lines: int = ORDINARY_LINES) -> None:
        account = Account()
        for number in range(count):
            await self.request(f"{name}.{number}", lines, account, ahead=True)

    async def test_request_in_calm_is_taken_on_at_once(self) -> None:
        self.assertTrue(self.turns.take_now(request_cost(ORDINARY_LINES * b"\n", False), Account()))

    async def test_ordinary_request_passes_a_crowd_of_heads_of_very_many_fields(self) -> None:
        crowd = [asyncio.create_task(self.request(f"c{n}", HEAVY_LINES)) for n in range(50)]
        await asyncio.sleep(0)
        await self.request("ordinary", ORDINARY_LINES)
        self.assertLessEqual(self.taken.index("ordinary"), 2)
        await asyncio.gather(*crowd)
        self.assertEqual(len(self.taken), 51)

    async def test_ordinary_requests_pass_those_that_were_sent_ahead(self) -> None:
        crowd = [asyncio.create_task(self.send_ahead(f"c{n}", 20)) for n in range(50)]
        account = Account()
        for number in range(3):
            for _ in range(5):
                await asyncio.sleep(0)
            before = len(self.taken)
            await self.request(f"ordinary.{number}", ORDINARY_LINES, account)
            # What was taken on before, and the work of one turn.
            in_turn = 1 + 400 // (ORDINARY_LINES + REQUEST_LINES)
            self.assertLessEqual(len(self.taken) - before, 2 * in_turn)
        await asyncio.gather(*crowd)
        self.assertEqual(len(self.taken), 50 * 20 + 3)

    async def test_work_of_one_turn_is_bounded(self) -> None:
        crowd = [asyncio.create_task(self.request(f"c{n}", ORDINARY_LINES)) for n in range(200)]
        most = 0
        while len(self.taken) < 200:
            before = len(self.taken)
            await asyncio.sleep(0)
            most = max(most, len(self.taken) - before)
        self.assertLessEqual(most, 1 + 400 // (ORDINARY_LINES + REQUEST_LINES))
        await asyncio.gather(*crowd)

    async def test_heavy_requests_are_not_starved_by_ordinary_ones(self) -> None:
        heavy = asyncio.create_task(self.request("first", HEAVY_LINES))
        waiting = asyncio.create_task(self.request("waiting", HEAVY_LINES))
        ordinary: list[asyncio.Task[None]] = []
        while not waiting.done() and len(ordinary) < 2000:
            for _ in range(400 // (ORDINARY_LINES + REQUEST_LINES)):
                ordinary.append(asyncio.create_task(self.request("o", ORDINARY_LINES)))
            await asyncio.sleep(0)
        await asyncio.gather(heavy, waiting, *ordinary)
        self.assertLess(self.taken.index("waiting"), 1000)

    async def test_callers_that_leave_while_they_wait_hold_up_nobody_and_are_forgotten(
        self,
    ) -> None:
        stays = [asyncio.create_task(self.request(f"c{n}", HEAVY_LINES)) for n in range(2)]
        accounts = [Account() for _ in range(500)]
        leaves = [
            asyncio.create_task(self.request("left", HEAVY_LINES, account)) for account in accounts
        ]
        await asyncio.sleep(0)
        for account in accounts:
            self.turns.abandon(account)
        self.assertLess(len(self.turns.heap), 100)
        await self.request("ordinary", ORDINARY_LINES)
        await asyncio.gather(*stays, *leaves)
        self.assertEqual(sorted(self.taken), ["c0", "c1", "ordinary"])
        self.assertEqual(self.turns.waiting_count, 0)
