"""Division of the repeat budget among instances that start, stop and learn of each other late.

Guards against a sum over all instances that exceeds the bound in some window: an instance that
restarts has forgotten what it spent, and one that starts is counted by the others only later.
"""

from __future__ import annotations

import random
import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.forward.declarations import SharedBounds
from mimosahoist.forward.repeat_budget import RepeatBudget
from mimosahoist.forward.shares import CONVERGENCE_SECONDS, Shares, WindowedShare

BOUNDS = SharedBounds(repeat_ratio=0.2, repeat_slack=56.0, repeat_window=10.0)
STEP_SECONDS = 0.05
PLAYED_SECONDS = 45.0


class Event(NamedTuple):
    """A start, restart or stop of one instance."""

    at: float
    name: int
    starts: bool


class Fleet:
    """Instances of one service, each of which spends all that its budget allows.

    Every instance knows of the others with a delay, and counts a stopped one as long as it is not
    told that it left. The first ones by name gather, so a start changes roles as well.
    """

    def __init__(self, names: int, gatherers: int = 0) -> None:
        self.gatherers = gatherers
        self.members = {name: self.start(0.0) for name in range(names)}
        self.known_at = dict.fromkeys(range(names), -100.0)
        self.first_sends: list[float] = []
        self.repeats: list[float] = []

    def start(self, at: float) -> RepeatBudget:
        """The budget of a new instance, which does not know what was spent before."""
        return RepeatBudget(BOUNDS, WindowedShare(BOUNDS.repeat_window, at))

    def apply(self, event: Event) -> None:
        """Start, restart or stop an instance."""
        if event.starts:
            self.members[event.name] = self.start(event.at)
            self.known_at.setdefault(event.name, event.at + CONVERGENCE_SECONDS)
        else:
            self.members.pop(event.name, None)

    def play(self, at: float, rng: random.Random, requests: float) -> None:
        """One step: callers' requests arrive, and every instance repeats as often as it may."""
        for name, budget in self.members.items():
            known = {other for other, since in self.known_at.items() if since <= at} | {name}
            gatherers = sorted(known)[: self.gatherers]
            shares = Shares(len(known), len(gatherers), name in gatherers)
            budget.share.update(1.0 / shares.divisor, at)
            if rng.random() < requests:
                budget.record_first_send(at)
                self.first_sends.append(at)
            while budget.spend(at):
                self.repeats.append(at)

    def excess(self) -> float:
        """Greatest amount by which a window exceeds the bound."""
        window = BOUNDS.repeat_window
        greatest = 0.0
        for end in self.repeats:
            repeats = sum(end - window < at <= end for at in self.repeats)
            requests = max(
                sum(end - window - shift < at <= end - shift for at in self.first_sends)
                for shift in (0.0, window / 2, window)
            )
            bound = BOUNDS.repeat_ratio * requests + BOUNDS.repeat_slack
            greatest = max(greatest, repeats - bound)
        return greatest


events = st.lists(
    st.builds(
        Event,
        st.floats(0.0, PLAYED_SECONDS, allow_nan=False),
        st.integers(0, 9),
        st.booleans(),
    ),
    max_size=16,
)


class RepeatBudgetModelTest(unittest.TestCase):
    def excess(
        self, names: int, changes: list[Event], requests: float, seed: int, gatherers: int = 0
    ) -> float:
        fleet = Fleet(names, gatherers)
        rng = random.Random(seed)
        pending = sorted(changes)
        at = 0.0
        while at < PLAYED_SECONDS:
            while pending and pending[0].at <= at:
                fleet.apply(pending.pop(0))
            fleet.play(at, rng, requests)
            at += STEP_SECONDS
        return fleet.excess()

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.integers(1, 8),
        events,
        st.sampled_from([0.0, 0.02, 0.2]),
        st.integers(0, 99),
        st.integers(0, 4),
    )
    def test_sum_stays_within_the_bound_however_instances_start_and_stop(
        self, names: int, changes: list[Event], requests: float, seed: int, gatherers: int
    ) -> None:
        self.assertLessEqual(self.excess(names, changes, requests, seed, gatherers), 0.0)

    def test_restart_of_all_instances_within_a_window(self) -> None:
        for restart in (13.0, 17.0, 21.9):
            changes = [Event(restart, name, True) for name in range(8)]
            self.assertLessEqual(self.excess(8, changes, 0.0, 1), 0.0)

    def test_fleet_that_doubles_at_once(self) -> None:
        changes = [Event(20.0, name, True) for name in range(8, 16)]
        self.assertLessEqual(self.excess(8, changes, 0.0, 1), 0.0)

    def test_rise_takes_effect_after_the_window_and_a_fall_at_once(self) -> None:
        share = WindowedShare(10.0, 0.0)
        share.update(0.5, 0.0)
        self.assertEqual((share.value(11.9), share.value(12.0)), (0.0, 0.5))
        share.update(1.0, 20.0)
        self.assertEqual((share.value(31.9), share.value(32.0)), (0.5, 1.0))
        share.update(0.25, 40.0)
        self.assertEqual(share.value(40.0), 0.25)


if __name__ == "__main__":
    unittest.main()
