"""Which connection of the readiness port gives way, and when a new one has to wait."""

from __future__ import annotations

import random
import unittest

from mimosahoist.forward.callers.intake import MIN_STUCK_SECONDS
from mimosahoist.forward.callers.status_connections import StatusConnections


class StatusConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.connections: StatusConnections[int] = StatusConnections(maximum=3)

    def test_none_waits_or_gives_way_while_there_is_room(self) -> None:
        for number in range(3):
            self.assertFalse(self.connections.must_wait(0.0))
            self.assertIsNone(self.connections.open(number, 0.0))

    def test_oldest_gives_way_once_it_has_had_its_moment(self) -> None:
        for number in range(3):
            self.connections.open(number, number * 0.01)
        self.assertTrue(self.connections.must_wait(MIN_STUCK_SECONDS - 0.001))
        self.assertFalse(self.connections.must_wait(MIN_STUCK_SECONDS))
        self.assertEqual(self.connections.open(3, MIN_STUCK_SECONDS), 0)
        self.assertTrue(self.connections.must_wait(MIN_STUCK_SECONDS))

    def test_closed_connections_make_room(self) -> None:
        for number in range(3):
            self.connections.open(number, 0.0)
        self.connections.close(1)
        self.assertFalse(self.connections.must_wait(0.0))
        self.assertIsNone(self.connections.open(3, 0.0))

    def test_bound_holds_and_each_has_its_moment_in_any_order(self) -> None:
        rng = random.Random(5)
        at = 0.0
        opened: dict[int, float] = {}
        for number in range(3000):
            at += rng.uniform(0.0, 0.03)
            if opened and rng.random() < 0.2:
                closed = rng.choice(list(opened))
                self.connections.close(closed)
                del opened[closed]
            if self.connections.must_wait(at):
                continue
            oldest = self.connections.open(number, at)
            if oldest is not None:
                self.assertGreaterEqual(at - opened.pop(oldest), MIN_STUCK_SECONDS)
            opened[number] = at
            self.assertLessEqual(len(self.connections.opened_at), 3)
