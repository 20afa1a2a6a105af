"""Imports between modules form no cycle, including imports for type checking only."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

LIBRARIES = Path(__file__).resolve().parents[2]
NAMESPACE = "mimosahoist"


def module_name(path: Path) -> str:
    """Return the dotted name of a module from its path under ``src``."""
    parts = path.with_suffix("").parts
    return ".".join(parts[parts.index("src") + 1 :]).removesuffix(".__init__")


def imported_modules(path: Path, modules: set[str]) -> set[str]:
    """Return the workspace modules that a file imports, also under ``TYPE_CHECKING``."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module, *(f"{node.module}.{alias.name}" for alias in node.names)]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        found |= {name for name in names if name in modules}
    return found


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """Return the modules that remain after repeatedly removing those without remaining imports."""
    remaining = {name: set(imports) for name, imports in graph.items()}
    while True:
        removable = [name for name, imports in remaining.items() if not imports & remaining.keys()]
        if not removable:
            return sorted(remaining)
        for name in removable:
            del remaining[name]


class ImportCycleTest(unittest.TestCase):
    def test_imports_form_no_cycle(self) -> None:
        paths = {module_name(path): path for path in LIBRARIES.glob(f"*/src/{NAMESPACE}/**/*.py")}
        graph = {name: imported_modules(path, set(paths)) - {name} for name, path in paths.items()}
        self.assertGreater(len(graph), 100)
        self.assertEqual(find_cycle(graph), [])
