"""A module knows only modules that stand below it, also for types."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

LIBRARIES = Path(__file__).resolve().parents[2]
NAMESPACE = "mimosahoist"


def module_name(path: Path) -> str:
    """Dotted name of a module by its place under ``src``."""
    parts = path.with_suffix("").parts
    return ".".join(parts[parts.index("src") + 1 :]).removesuffix(".__init__")


def imported(path: Path, modules: set[str]) -> set[str]:
    """The workspace's modules that a file imports, also under ``TYPE_CHECKING``."""
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


def find_circle(graph: dict[str, set[str]]) -> list[str]:
    """Modules left over when all that import nothing unsettled are taken away."""
    left = {name: set(below) for name, below in graph.items()}
    while True:
        settled = [name for name, below in left.items() if not below & left.keys()]
        if not settled:
            return sorted(left)
        for name in settled:
            del left[name]


class LayersTest(unittest.TestCase):
    def test_no_circle_of_imports(self) -> None:
        paths = {module_name(path): path for path in LIBRARIES.glob(f"*/src/{NAMESPACE}/**/*.py")}
        graph = {name: imported(path, set(paths)) - {name} for name, path in paths.items()}
        self.assertGreater(len(graph), 100)
        self.assertEqual(find_circle(graph), [])
