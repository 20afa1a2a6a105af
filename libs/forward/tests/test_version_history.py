"""What is known of versions after any sequence of orders, told in any order."""

from __future__ import annotations

import itertools
import unittest

from mimosahoist.forward.version_history import (
    RECORD_TTL_SECONDS,
    VersionFacts,
    VersionHistory,
    VersionRecord,
    VersionState,
    settle,
)
from mimosahoist.peers.facts import Fact, FactTable

ON_TRIAL, ROLLED_BACK, IN_SERVICE, REPLACED = VersionState
AT = 1000.0


def make_history() -> VersionHistory:
    return VersionHistory(FactTable(), lambda service: None)


class VersionHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = make_history()

    def states(self, history: VersionHistory | None = None) -> dict[str, VersionState]:
        records = (history or self.history).of("desk")
        return {record.version: record.state for record in records}

    def order(self, version: str, key: str) -> None:
        self.history.record_order("desk", version, key, {"v1"} - {version}, AT)

    def end(self, version: str, key: str, completed: bool) -> None:
        self.history.record_outcome("desk", version, key, completed, AT)

    def unproven(self) -> set[str]:
        return set(self.history.unproven["desk"])

    def test_versions_are_unproven_until_they_are_completed(self) -> None:
        self.order("v2", "a")
        self.assertEqual(self.states(), {"v1": IN_SERVICE, "v2": ON_TRIAL})
        self.end("v2", "a", False)
        self.order("v3", "b")
        self.order("v4", "c")
        self.assertEqual(self.unproven(), {"v2", "v3", "v4"})
        self.end("v4", "c", True)
        self.assertEqual(self.states()["v1"], REPLACED)
        self.assertEqual(self.unproven(), {"v2", "v3"})

    def test_outcome_holds_for_its_order_only(self) -> None:
        self.order("v2", "a")
        self.assertIsNone(self.history.outcome("desk", "v2", "a"))
        self.end("v2", "a", False)
        self.assertEqual(self.history.outcome("desk", "v2", "a"), ROLLED_BACK)
        self.order("v2", "b")
        self.assertEqual(self.states()["v2"], ON_TRIAL)
        self.assertIsNone(self.history.outcome("desk", "v2", "b"))
        self.end("v2", "b", True)
        self.assertEqual(self.history.outcome("desk", "v2", "b"), IN_SERVICE)

    def test_version_in_service_stays_so_if_an_order_of_it_is_rolled_back(self) -> None:
        self.order("v2", "a")
        self.end("v2", "a", False)
        self.order("v1", "b")
        self.end("v1", "b", False)
        self.assertEqual(self.states(), {"v1": IN_SERVICE, "v2": ROLLED_BACK})
        self.end("v1", "b", True)
        self.assertEqual(self.history.outcome("desk", "v1", "b"), IN_SERVICE)

    def test_version_beside_another_in_service_is_tried_like_a_new_one(self) -> None:
        self.history.record_order("desk", "v2", "a", {"v1", "v3"}, AT)
        self.end("v2", "a", False)
        self.order("v3", "b")
        self.assertFalse(self.history.is_in_service("desk", "v3"))
        self.assertEqual(self.unproven(), {"v2", "v3"})

    def test_replaced_version_is_tried_like_a_new_one(self) -> None:
        self.order("v2", "a")
        self.end("v2", "a", True)
        self.order("v1", "b")
        self.assertEqual(self.unproven(), {"v1"})

    def test_records_told_in_any_order_give_the_same(self) -> None:
        steps = [
            VersionRecord("v2", 0, "", IN_SERVICE, AT),
            VersionRecord("v2", 1, "a", ON_TRIAL, AT),
            VersionRecord("v2", 1, "a", ROLLED_BACK, AT + 1.0),
            VersionRecord("v2", 2, "b", ON_TRIAL, AT + 2.0),
            VersionRecord("v2", 2, "b", IN_SERVICE, AT + 3.0),
        ]
        for told in itertools.permutations(steps):
            history = make_history()
            for record in (*told, told[0]):
                history.merge("desk", [record])
            self.assertEqual(history.of("desk"), (steps[-1],))
            self.assertEqual(history.unproven["desk"], frozenset())

    def test_another_instance_learns_and_keeps_what_is_told(self) -> None:
        told: list[str] = []
        other = VersionHistory(FactTable(), told.append)
        self.order("v2", "a")
        self.end("v2", "a", False)
        at = VersionFacts().prefix
        facts = [Fact(*item) for item in self.history.fact_table.values(at)]
        table = other.fact_table
        for fact in facts:
            self.assertTrue(VersionFacts().valid(fact.value))
            if table.join(*fact):
                other.handle_fact(*fact)
        self.assertEqual(self.states(other), self.states())
        self.assertEqual(told, ["desk"] * 2)

    def test_odd_records_of_others_are_dropped(self) -> None:
        sound = ["desk", "v2", 1, "a", "rolled-back", AT]
        self.assertTrue(VersionFacts().valid(sound))
        for position, value in enumerate((None, 7, "x", [], "good", float("nan"))):
            odd = [*sound[:position], value, *sound[position + 1 :]]
            with self.subTest(odd):
                self.assertFalse(VersionFacts().valid(odd))
        self.assertFalse(VersionFacts().valid(sound[:-1]))

    def test_record_of_a_listed_version_does_not_expire(self) -> None:
        self.order("v2", "a")
        late = AT + RECORD_TTL_SECONDS + 1.0
        self.history.maintain({"desk": {"v2"}}, late)
        self.assertEqual(self.states(), {"v2": ON_TRIAL})
        self.assertEqual(self.history.of("desk")[0].recorded_at, late)

    def test_outcome_in_a_status_without_records_is_understood(self) -> None:
        self.assertEqual([record.state for record in settle([], "v2", False, AT)], [ROLLED_BACK])
        self.assertEqual([record.state for record in settle([], "v2", True, AT)], [IN_SERVICE])
