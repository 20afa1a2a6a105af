"""Validation of facts, and the semilattice laws of their merge rules."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.entry.shared_facts import CrashFacts, RampFacts
from mimosahoist.moves.evidence import EvidenceFacts, VerdictFacts
from mimosahoist.peers.facts import FactKind
from mimosahoist.peers.members import MemberFacts, ObservedFacts

SMALL = st.integers(0, 3)
TIMES = st.integers(0, 5).map(float)
CRASH = st.tuples(st.sampled_from(["u1", "u2"]), TIMES, st.booleans()).map(list)

VALUES: list[tuple[FactKind, st.SearchStrategy[Any]]] = [
    (
        MemberFacts(),
        st.tuples(SMALL, SMALL, st.just("p"), st.just("h"), st.just("a"), TIMES).map(list),
    ),
    (ObservedFacts(), st.tuples(SMALL, SMALL).map(list)),
    (RampFacts(), st.tuples(SMALL, SMALL, SMALL).map(list)),
    (CrashFacts(), st.tuples(st.lists(CRASH, max_size=4), TIMES, TIMES).map(list)),
    (VerdictFacts(), st.tuples(TIMES, st.sampled_from(["r1", "r2"])).map(list)),
    (EvidenceFacts(), st.lists(SMALL, min_size=7, max_size=7)),
]

MALFORMED: list[Any] = [
    None,
    1,
    "x",
    [],
    [1],
    ["a"] * 6,
    [[], []],
    {"a": 1},
    [-1] * 7,
    [-1] * 13,
    [None] * 3,
    [float("inf")] * 7,
    [1e300] * 7,
    [0, 0, "p", "h", "a", "since"],
]


class SemilatticeTest(unittest.TestCase):
    def test_join_is_commutative_associative_and_idempotent(self) -> None:
        for kind, values in VALUES:
            with self.subTest(type(kind).__name__):
                self.check_join_laws(kind, values)

    def check_join_laws(self, kind: FactKind, values: st.SearchStrategy[Any]) -> None:
        @settings(derandomize=True, max_examples=150, deadline=None)
        @given(values, values, values)
        def laws(left: Any, middle: Any, right: Any) -> None:
            join = kind.join
            self.assertEqual(list(join(left, middle)), list(join(middle, left)))
            self.assertEqual(
                list(join(join(left, middle), right)), list(join(left, join(middle, right)))
            )
            joined = join(left, middle)
            self.assertEqual(list(join(joined, middle)), list(joined))

        laws()

    def test_malformed_values_are_rejected(self) -> None:
        for kind, _ in VALUES:
            for value in MALFORMED:
                with self.subTest(f"{type(kind).__name__} {value!r}"):
                    self.assertFalse(kind.valid(value))
