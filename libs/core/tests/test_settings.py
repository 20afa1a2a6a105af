"""Loading and validation of settings files, and the errors for invalid ones."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import TypedDict

from mimosahoist.core import settings
from mimosahoist.core.problem import Problem, ProblemKind


class Inner(TypedDict):
    port: int


class Outer(TypedDict):
    name: str
    inner: Inner


INVALID_FILES = {
    "unknown key": ('name = "a"\ncolour = 1\n[inner]\nport = 1\n', "unknown key 'colour'"),
    "unknown nested key": ('name = "a"\n[inner]\nport = 1\nhost = "h"\n', "'inner.host'"),
    "wrong type": ('name = "a"\n[inner]\nport = "x"\n', "$.inner.port"),
    "missing key": ('name = "a"\n[inner]\n', "`port`"),
    "invalid TOML": ("name = \n", "invalid TOML"),
}


class SettingsTest(unittest.TestCase):
    def write(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "settings.toml"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_valid_file_is_loaded(self) -> None:
        path = self.write('name = "a"\n[inner]\nport = 1\n')
        self.assertEqual(settings.load(path, Outer), {"name": "a", "inner": {"port": 1}})

    def test_each_error_names_file_key_and_remedy(self) -> None:
        for case, (text, expected) in INVALID_FILES.items():
            with self.subTest(case):
                path = self.write(text)
                with self.assertRaises(Problem) as caught:
                    settings.load(path, Outer)
                self.assertIs(caught.exception.kind, ProblemKind.SETTINGS)
                self.assertIn(path, caught.exception.message)
                self.assertIn(expected, caught.exception.message)
                self.assertTrue(caught.exception.remedy)

    def test_missing_file_raises_a_problem(self) -> None:
        with self.assertRaises(Problem):
            settings.load("/nonexistent/settings.toml", Outer)
