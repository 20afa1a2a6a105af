"""Tests of who gives way when callers hold too much, without connections."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mimosahoist.core.process_memory import KernelMemory, ProcessMemory
from mimosahoist.forward.callers.intake import (
    MIN_STUCK_SECONDS,
    SMALL_REQUEST_BYTES,
    TURNOVERS_PER_SECOND,
    ConnectionDecision,
    Holding,
    Intake,
    IntakeLimits,
    Phase,
    limits_of_machine,
)

LIMITS = IntakeLimits(10, 10, 1000, 1000)


class IntakeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.intake = Intake(LIMITS)
        self.ended: list[str] = []

    def open(self, name: str, at: float = 0.0) -> Holding | None:
        return self.intake.open(at, lambda: self.ended.append(name))

    def reading(self, name: str, size: int, at: float) -> Holding:
        holding = self.open(name, at)
        holding.enter(Phase.READING, at)
        holding.add(size, at)
        return holding

    def test_whoever_made_no_progress_for_longest_gives_way_to_a_new_connection(self) -> None:
        for number in range(10):
            self.open(f"c{number}", 10.0 - number)
        self.assertIsNotNone(self.open("new", 11.0))
        self.assertEqual(self.ended, ["c9"])
        self.assertEqual(len(self.intake.holdings), LIMITS.caller_connections)

    def test_idle_connections_give_way_after_unfinished_ones(self) -> None:
        for number in range(10):
            self.open(f"c{number}", float(number)).enter(Phase.IDLE, float(number))
        next(iter(self.intake.holdings)).enter(Phase.NEW, 50.0)
        self.open("first", 60.0).enter(Phase.IDLE, 60.0)
        self.assertEqual(len(self.ended), 1)
        self.open("second", 61.0)
        self.assertEqual(len(self.ended), 2)

    def test_requests_that_are_served_never_give_way(self) -> None:
        for number in range(10):
            self.open(f"c{number}").enter(Phase.SERVING, 0.0)
        self.assertIsNone(self.open("new", 9.0))
        self.assertEqual(self.ended, [])

    def test_stuck_body_gives_way_to_one_that_is_sent(self) -> None:
        self.reading("stuck", 600, 1.0)
        self.reading("other", 300, 2.0)
        sent = self.reading("sent", 0, 3.0)
        self.assertTrue(sent.add(200, 4.0))
        self.assertEqual(self.ended, ["stuck"])
        self.assertEqual(self.intake.held_bytes, 500)

    def test_answer_that_nobody_reads_gives_way(self) -> None:
        unread = self.open("unread", 0.0)
        unread.enter(Phase.WRITING, 1.0)
        unread.add(900, 1.0)
        self.reading("sent", 500, 2.0)
        self.assertEqual(self.ended, ["unread"])

    def test_newcomer_is_refused_if_all_room_is_taken_by_requests_being_served(self) -> None:
        served = self.open("served", 0.0)
        served.enter(Phase.SERVING, 0.0)
        served.add(900, 0.0)
        newcomer = self.open("newcomer", 1.0)
        newcomer.enter(Phase.READING, 1.0)
        self.assertFalse(newcomer.add(200, 1.0))
        self.assertEqual(self.ended, [])

    def test_single_request_is_taken_whatever_its_size(self) -> None:
        single = self.open("single", 0.0)
        single.enter(Phase.READING, 0.0)
        self.assertTrue(single.add(5000, 0.0))

    def test_stuck_writers_are_found(self) -> None:
        for name, at in (("slow", 1.0), ("quick", 9.0)):
            self.open(name, at).enter(Phase.WRITING, at)
        self.assertEqual([item.progressed_at for item in self.intake.stuck_writers(5.0)], [1.0])

    def test_bytes_stay_within_the_limit_and_are_counted_right_in_any_order(self) -> None:
        rng = random.Random(7)
        holdings: list[Holding] = []
        for step in range(3000):
            at = float(step)
            event = rng.random()
            holdings = [item for item in holdings if item in self.intake.holdings]
            if event < 0.2 or not holdings:
                opened = self.open(str(step), at)
                holdings += [opened] if opened is not None else []
            elif event < 0.6:
                holding = rng.choice(holdings)
                if holding.phase is not Phase.SERVING:
                    holding.enter(rng.choice((Phase.READING, Phase.WRITING)), at)
                    if not holding.add(rng.randrange(400), at):
                        holding.release()
            elif event < 0.8:
                holding = rng.choice(holdings)
                holding.release()
                holding.enter(rng.choice((Phase.IDLE, Phase.SERVING)), at)
            else:
                rng.choice(holdings).close()
            sizes = [item.size for item in self.intake.holdings]
            self.assertEqual(self.intake.held_bytes, sum(sizes))
            self.assertLessEqual(len(sizes), LIMITS.caller_connections)
            self.assertLessEqual(self.intake.held_bytes, max(LIMITS.held_bytes, *sizes, 0))

    def test_connection_that_has_just_come_does_not_give_way_to_a_new_one(self) -> None:
        for number in range(10):
            self.open(f"c{number}", 1.0)
        self.assertIsNone(self.open("early", 1.0 + MIN_STUCK_SECONDS / 2))
        self.assertEqual(self.ended, [])
        self.assertIsNotNone(self.open("later", 1.0 + MIN_STUCK_SECONDS))
        self.assertEqual(self.ended, ["c0"])

    def test_connections_that_come_again_and_again_leave_time_to_those_before_them(self) -> None:
        opened: dict[str, float] = {}
        lives: list[float] = []
        for step in range(20_000):
            at = 1.0 + step / 1000
            name = str(step)

            def give_way(name: str = name) -> None:
                lives.append(self.at - opened[name])

            self.at = at
            if self.intake.open(at, give_way) is not None:
                opened[name] = at
        # Those that were there at the start may all be replaced at once.
        after_start = lives[2 * LIMITS.caller_connections :]
        self.assertGreaterEqual(min(after_start), 0.9 / TURNOVERS_PER_SECOND)
        turnovers = len(lives) / LIMITS.caller_connections / 20.0
        self.assertAlmostEqual(turnovers, TURNOVERS_PER_SECOND, delta=0.2)

    def test_new_connection_waits_or_is_refused_by_what_the_others_do(self) -> None:
        for number in range(10):
            self.open(f"c{number}", 1.0)
        self.assertIs(self.intake.decide_on_connection(1.0), ConnectionDecision.LATER)
        self.assertIs(self.intake.decide_on_connection(2.0), ConnectionDecision.IN_PLACE_OF_ANOTHER)
        for holding in list(self.intake.holdings):
            holding.enter(Phase.SERVING, 1.0)
        self.assertIs(self.intake.decide_on_connection(2.0), ConnectionDecision.REFUSED)

    def test_heaviest_request_that_waits_gives_way_and_ordinary_ones_never_do(self) -> None:
        for number in range(10):
            self.open(f"c{number}", 0.0).wait(40 if number != 7 else 2230, 1.0)
        self.assertIsNotNone(self.open("new", 2.0))
        self.assertEqual(self.ended, ["c7"])
        next(reversed(self.intake.by_phase[Phase.NEW])).wait(40, 2.0)
        self.assertIsNone(self.open("newer", 3.0))

    def test_order_of_progress_is_kept_whatever_the_order_of_times(self) -> None:
        times = [5.0, 1.0, 7.0, 3.0]
        for at in times:
            self.reading(str(at), 10, at)
        ordered = [holding.progressed_at for holding in self.intake.by_phase[Phase.READING]]
        self.assertEqual(ordered, sorted(times))

    def test_limits_leave_room_for_the_process_on_any_machine(self) -> None:
        for memory_mb, descriptors in ((100, 460), (200, 4100), (300, 4100), (552, 10250)):
            limits = limits_of_machine(memory_mb << 20, descriptors)
            sockets = limits.caller_connections + limits.upstream_connections
            self.assertLess(sockets, descriptors - 200)
            held = limits.held_bytes + limits.receiving_bytes
            self.assertLess(held + (48 << 20), memory_mb << 20)
        self.assertEqual(limits_of_machine(0, 0), limits_of_machine(256 << 20, 1024))


MEGABYTE = 1 << 20


class FakeMemory(ProcessMemory):
    """A process that holds what a test says, and all that callers hold."""

    def __init__(self) -> None:
        self.other_bytes = 50 * MEGABYTE
        self.unused_bytes = 0
        self.intake: Intake | None = None

    def resident_bytes(self) -> int:
        return self.other_bytes + self.unused_bytes + self.intake.held_bytes

    def release_unused(self) -> None:
        self.unused_bytes = 0


class MemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = FakeMemory()
        limits = IntakeLimits(100, 100, 40 * MEGABYTE, MEGABYTE, 80 * MEGABYTE)
        self.intake = Intake(limits, self.memory)
        self.memory.intake = self.intake
        self.ended: list[str] = []

    def read(self, name: str, size: int, at: float = 1.0) -> bool:
        holding = self.intake.open(at, lambda: self.ended.append(name))
        holding.enter(Phase.READING, at)
        if holding.add(size, at):
            holding.enter(Phase.SERVING, at)
            return True
        holding.close()
        return False

    def test_memory_of_the_process_bounds_what_callers_hold_whatever_filled_it(self) -> None:
        self.memory.other_bytes = 70 * MEGABYTE
        taken = sum(self.read(str(number), MEGABYTE) for number in range(30))
        self.assertLessEqual(self.memory.resident_bytes(), 80 * MEGABYTE)
        self.assertGreater(taken, 5)

    def test_small_requests_are_taken_while_the_memory_is_short(self) -> None:
        self.memory.other_bytes = 95 * MEGABYTE
        self.assertTrue(self.read("first", MEGABYTE))
        self.assertFalse(self.read("second", MEGABYTE))
        for number in range(20):
            self.assertTrue(self.read(f"small {number}", SMALL_REQUEST_BYTES // 4))

    def test_single_request_is_taken_in_calm_however_short_the_memory_is(self) -> None:
        self.memory.other_bytes = 200 * MEGABYTE
        self.intake.sample_memory()
        self.assertTrue(self.read("single", 30 * MEGABYTE))

    def test_requests_are_taken_again_once_the_memory_is_free(self) -> None:
        self.memory.other_bytes = 95 * MEGABYTE
        self.assertTrue(self.read("first", MEGABYTE))
        self.assertFalse(self.read("second", MEGABYTE))
        self.memory.other_bytes = 50 * MEGABYTE
        self.intake.relieve(10.0)
        self.assertTrue(self.read("third", 20 * MEGABYTE))

    def test_memory_that_a_crowd_left_unused_is_given_back(self) -> None:
        self.memory.unused_bytes = 40 * MEGABYTE
        self.intake.sample_memory()
        self.assertTrue(self.intake.is_short)
        self.intake.relieve(10.0)
        self.assertFalse(self.intake.is_short)
        self.assertTrue(self.read("first", 10 * MEGABYTE))
        self.assertTrue(self.read("second", 10 * MEGABYTE))

    def test_unused_memory_is_given_back_at_intervals_only(self) -> None:
        released: list[float] = []
        self.memory.other_bytes = 90 * MEGABYTE
        with mock.patch.object(self.memory, "release_unused") as release:
            for tick in range(40):
                self.intake.relieve(10.0 + tick / 4)
                released += [tick / 4] * (release.call_count - len(released))
        self.assertEqual(released, [0.0, 2.0, 4.0, 6.0, 8.0])

    def test_a_few_large_requests_are_taken_however_short_the_memory_stays(self) -> None:
        self.intake.limits = self.intake.limits._replace(min_held_bytes=4 * MEGABYTE)
        self.memory.other_bytes = 85 * MEGABYTE
        self.intake.relieve(10.0)
        taken = [self.read(str(number), MEGABYTE) for number in range(8)]
        self.assertEqual(taken, [True] * 4 + [False] * 4)

    def test_unfinished_requests_give_way_when_something_else_fills_the_memory(self) -> None:
        for number in range(10):
            at = float(number)
            holding = self.intake.open(at, lambda name=number: self.ended.append(name))
            holding.enter(Phase.READING, at)
            self.assertTrue(holding.add(2 * MEGABYTE, at))
        self.memory.other_bytes = 70 * MEGABYTE
        self.intake.relieve(10.0)
        self.assertEqual(self.ended, [0, 1, 2, 3, 4])
        self.assertLessEqual(self.memory.resident_bytes(), 80 * MEGABYTE)

    def test_kernel_tells_the_memory_of_this_process(self) -> None:
        before = KernelMemory().resident_bytes()
        filled = bytearray(b"x" * (32 * MEGABYTE))
        self.assertGreater(KernelMemory().resident_bytes() - before, 16 * MEGABYTE)
        self.assertEqual(len(filled), 32 * MEGABYTE)
