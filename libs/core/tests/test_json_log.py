"""Rate limit of log lines, and the stream that they are written to."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
import unittest

from mimosahoist.core.json_log import MAX_EVENTS, LogRateLimiter


def make_record(at: float, level: int = logging.INFO, event: str = "event") -> logging.LogRecord:
    record = logging.LogRecord("x", level, "", 0, event, None, None)
    record.created = at
    return record


LOGGING_PROGRAM = """
from mimosahoist.core import json_log
json_log.configure("instance-1")
json_log.info("started", port=80)
"""


class OutputTest(unittest.TestCase):
    def test_each_line_on_standard_output_is_json_and_nothing_else_is_written(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-c", LOGGING_PROGRAM], capture_output=True, check=True, text=True
        )
        (line,) = completed.stdout.splitlines()
        fields = json.loads(line)
        self.assertEqual((fields["event"], fields["port"]), ("started", 80))
        self.assertEqual(completed.stderr, "")


class LogRateLimiterTest(unittest.TestCase):
    def test_rate_is_bounded_and_drops_are_reported(self) -> None:
        limiter = LogRateLimiter(rate=10.0, burst=5.0)
        self.assertEqual(sum(limiter.filter(make_record(1.0)) for _ in range(50)), 5)
        later = make_record(2.0)
        self.assertTrue(limiter.filter(later))
        self.assertEqual(later.fields["lines_dropped"], 45)

    def test_errors_are_never_dropped(self) -> None:
        limiter = LogRateLimiter(rate=0.0, burst=0.0)
        self.assertTrue(limiter.filter(make_record(1.0, logging.ERROR)))

    def test_clock_moving_backwards_adds_no_tokens(self) -> None:
        limiter = LogRateLimiter(rate=10.0, burst=1.0)
        limiter.filter(make_record(100.0))
        self.assertFalse(limiter.filter(make_record(1.0)))

    def test_lines_of_one_event_hide_no_other_event(self) -> None:
        limiter = LogRateLimiter(rate=10.0, burst=5.0, event_rate=1.0, event_burst=2.0)
        written = [limiter.filter(make_record(1.0, event="refused")) for _ in range(1000)]
        self.assertEqual(sum(written), 7)
        self.assertTrue(limiter.filter(make_record(1.0, event="store lost")))
        written = [limiter.filter(make_record(2.0, event="refused")) for _ in range(1000)]
        self.assertEqual(sum(written), 6)
        self.assertTrue(limiter.filter(make_record(2.0, event="store lost")))

    def test_number_of_events_with_lines_of_their_own_is_bounded(self) -> None:
        limiter = LogRateLimiter(rate=0.0, burst=0.0, event_rate=1.0, event_burst=1.0)
        written = [limiter.filter(make_record(1.0, event=str(name))) for name in range(10_000)]
        self.assertEqual(sum(written), MAX_EVENTS)
