"""Runs all unit tests and prints a summary line; known failures are printed but do not count."""

from __future__ import annotations

import logging as python_logging
import sys
import unittest
from pathlib import Path

from absl import logging

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def known_failures() -> set[str]:
    """Names of the tests in KNOWN-RED.txt."""
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip() for line in lines if line.startswith(ENTRY_PREFIX)
    }


def load_tests() -> unittest.TestSuite:
    """Load the tests of all libraries and of the platform folder."""
    suite = unittest.TestSuite()
    sys.path.insert(0, str(ROOT / "platform"))
    for folder in [*sorted((ROOT / "libs").glob("*/tests")), ROOT / "platform" / "tests"]:
        loader = unittest.TestLoader()
        suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
    return suite


def main() -> int:
    """Run all tests; return 1 on a failure missing from KNOWN-RED.txt, or if no test ran."""
    logging.set_verbosity(logging.FATAL)
    python_logging.getLogger("tornado").setLevel(python_logging.CRITICAL)
    result = unittest.TextTestRunner(verbosity=1).run(load_tests())
    known = known_failures()
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(failed & known):
        print(f"known failure: {name}")
    for name in sorted(known - failed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    unexpected = failed - known
    print(f"{result.testsRun - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
