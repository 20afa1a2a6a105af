"""Runs all unit tests and prints one closing line; known failures are printed, not hidden."""

from __future__ import annotations

import logging as python_logging
import sys
import unittest
from pathlib import Path

from absl import logging

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MARK = "test: "


def known_red() -> set[str]:
    """Names of tests that KNOWN-RED.txt lists."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(MARK).strip() for line in lines if line.startswith(MARK)}


def load_tests() -> unittest.TestSuite:
    """Tests of all libraries and of the platform's folder."""
    suite = unittest.TestSuite()
    sys.path.insert(0, str(ROOT / "platform"))
    for folder in [*sorted((ROOT / "libs").glob("*/tests")), ROOT / "platform" / "tests"]:
        loader = unittest.TestLoader()
        suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
    return suite


def main() -> int:
    """Run; fail on any failure that is not listed."""
    logging.set_verbosity(logging.FATAL)
    python_logging.getLogger("tornado").setLevel(python_logging.CRITICAL)
    result = unittest.TextTestRunner(verbosity=1).run(load_tests())
    listed = known_red()
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(failed & listed):
        print(f"known red: {name}")
    for name in sorted(listed - failed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    counted = failed - listed
    print(f"{result.testsRun - len(failed)} passed, {len(counted)} failed")
    return 1 if counted or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
