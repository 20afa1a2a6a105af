from __future__ import annotations

import asyncio
import datetime
import tempfile
import unittest
from pathlib import Path

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.declare import apply as declare_apply
from mimosahoist.declare.compile import Compiled, compile_file
from mimosahoist.declare.schema import MoveTable
from mimosahoist.lab.paused_loop import PausedTestCase
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.platform.kinds import move_key, move_status_key

VALID = """
[template.t]
parameters = ["slots", "word"]
preference = "coverage"
[[template.t.services]]
name = "shop-${word}"
kind = "search"
version = "v1"
slots = "${slots}"
connections = 35
connect_ms = 6
[organisation.acme]
template = "t"
parameters = { slots = 4, word = "x" }
callers = [{ name = "c", token_sha256 = "HASH", priority = 1 }]
[failure-domain.a]
out = false
""".replace(
    "HASH", "0" * 64
)

INVALID = {
    "unknown key": ('preference = "coverage"', 'preference = "coverage"\ncolour = 1', "colour"),
    "unknown service key": ("connect_ms = 6", "connect_ms = 6\nspeed = 1", "speed"),
    "unknown preference": ('"coverage"', '"cheap"', "preference"),
    "missing parameter": ("slots = 4, ", "", "slots"),
    "extra parameter": ("slots = 4", "slots = 4, other = 1", "other"),
    "unknown template": ('template = "t"', 'template = "u"', "'u'"),
    "unknown placeholder": ("shop-${word}", "shop-${name}", "${name}"),
    "bad token hash": ("0" * 64, "abc", "token_sha256"),
    "bad priority": ("priority = 1", "priority = 10", "priority"),
    "no slots": ("slots = 4", "slots = 0", "slots"),
    "wrong type": ("connections = 35", 'connections = "many"', "connections"),
    "bad name": ("[organisation.acme]", "[organisation.Acme]", "Acme"),
    "bad domain": ("out = false", "out = 1", "out"),
}


class CompileTest(unittest.TestCase):
    def compile(self, text: str) -> Compiled:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "d.toml"
            path.write_text(text, encoding="utf-8")
            return compile_file(str(path))

    def test_template_takes_parameters_with_their_types(self) -> None:
        objects = self.compile(VALID).objects
        (service,) = objects["organisation/acme"]["services"]
        self.assertEqual((service["name"], service["slots"]), ("shop-x", 4))
        self.assertEqual(objects["failure-domain/a"], {"name": "a", "out": False})

    def test_each_error_names_file_key_and_remedy(self) -> None:
        for case, (old, new, expected) in INVALID.items():
            with self.subTest(case):
                self.assertIn(old, VALID)
                with self.assertRaises(Problem) as caught:
                    self.compile(VALID.replace(old, new))
                self.assertIn("d.toml", caught.exception.message)
                self.assertIn(expected, caught.exception.message)
                self.assertTrue(caught.exception.remedy)

    def test_examples_compile(self) -> None:
        examples = Path(__file__).resolve().parents[3] / "examples"
        for path in sorted(examples.glob("*.toml")):
            with self.subTest(path.name):
                self.assertTrue(compile_file(str(path)).objects)


class ApplyTest(PausedTestCase):
    DOMAIN_IN_USE = Compiled({"failure-domain/a": {"name": "a", "out": False}}, [])
    DOMAIN_DRAINED = Compiled({"failure-domain/a": {"name": "a", "out": True}}, [])

    async def test_applying_again_changes_nothing(self) -> None:
        store = PlatformModel(1)
        first = await declare_apply.apply(
            store, await declare_apply.plan(store, self.DOMAIN_IN_USE, False)
        )
        again = await declare_apply.apply(
            store, await declare_apply.plan(store, self.DOMAIN_IN_USE, False)
        )
        self.assertEqual(([item.action for item in first], again), (["create"], []))

    async def test_concurrent_apply_reports_conflict_to_one_operator(self) -> None:
        store = PlatformModel(1)
        await declare_apply.apply(store, await declare_apply.plan(store, self.DOMAIN_IN_USE, False))
        plans = [
            [declare_apply.plan_change("failure-domain/a", stored, {"name": name, "out": True})]
            for name in ("x", "y")
            for stored in [store.collections["objects"].objects["failure-domain/a"]]
        ]
        results = await asyncio.gather(
            *(declare_apply.apply(store, plan) for plan in plans), return_exceptions=True
        )
        problems = [result for result in results if isinstance(result, Problem)]
        self.assertEqual(len(problems), 1)
        self.assertIs(problems[0].kind, ProblemKind.CONFLICT)
        self.assertIn("'failure-domain/a' was changed", problems[0].message)
        self.assertIn("keys that differ: name, out", problems[0].message)
        self.assertIn("version 2", problems[0].message)
        winner = next(result for result in results if not isinstance(result, Problem))
        stored = store.collections["objects"].objects["failure-domain/a"]
        self.assertEqual((winner[0].version, stored.version), (2, 2))
        self.assertIn(stored.value["name"], ("x", "y"))

    async def test_write_with_lost_answer_is_confirmed_by_reading_back(self) -> None:
        store = PlatformModel(1)
        plan = await declare_apply.plan(store, self.DOMAIN_IN_USE, False)
        store.faults.lost_answer_rate = 1.0
        (applied,) = await declare_apply.apply(store, plan)
        self.assertEqual(applied.version, 1)
        self.assertEqual(len(store.history), 1)

    async def test_outage_is_never_reported_as_accepted(self) -> None:
        store = PlatformModel(1)
        plan = await declare_apply.plan(store, self.DOMAIN_IN_USE, False)
        store.set_down(True)
        with self.assertRaises(Problem) as caught:
            await declare_apply.apply(store, plan)
        self.assertIs(caught.exception.kind, ProblemKind.STORE)

    async def test_prune_deletes_only_what_is_not_declared(self) -> None:
        store = PlatformModel(1)
        await store.put("organisation/old", {"name": "old"}, 0)
        await store.put("share-table/entries", {"holders": []}, 0)
        changes = await declare_apply.plan(store, self.DOMAIN_IN_USE, True)
        self.assertEqual(
            sorted((change.key, change.action) for change in changes),
            [("failure-domain/a", "create"), ("organisation/old", "delete")],
        )

    async def test_invalid_moves_are_rejected(self) -> None:
        store = PlatformModel(1)
        service = {"name": "s", "version": "v1"}
        await store.put("organisation/o", {"services": [service]}, 0)
        later = datetime.datetime.fromtimestamp(2_000_000_000, datetime.UTC)
        past = datetime.datetime.fromtimestamp(1_000_000_000, datetime.UTC)
        cases = {
            "unknown service": ("t", "v2", later, "no such service"),
            "same version": ("s", "v1", later, "on version 'v1' already"),
            "past deadline": ("s", "v2", past, "deadline is past"),
        }
        for case, (name, target, deadline, expected) in cases.items():
            with self.subTest(case):
                move = MoveTable(organisation="o", service=name, target=target, deadline=deadline)
                with self.assertRaises(Problem) as caught:
                    await declare_apply.plan(store, Compiled({}, [move]), False)
                self.assertIn(expected, caught.exception.message)

    async def test_move_after_a_done_move_starts_from_its_target(self) -> None:
        store = PlatformModel(1)
        await store.put("organisation/o", {"services": [{"name": "s", "version": "v1"}]}, 0)
        times = {"started": 0.0, "deadline": 1.0}
        spec = {"organisation": "o", "service": "s", "source": "v1", "target": "v2", **times}
        stored = await store.put(move_key("o", "s"), spec, 0)
        done = {"spec_version": stored.version, "phase": "done"}
        await store.put(move_status_key("o", "s"), done, 0)
        later = datetime.datetime.fromtimestamp(2_000_000_000, datetime.UTC)
        move = MoveTable(organisation="o", service="s", target="v3", deadline=later)
        (change,) = await declare_apply.plan(store, Compiled({}, [move]), False)
        self.assertEqual((change.after["source"], change.after["target"]), ("v2", "v3"))
