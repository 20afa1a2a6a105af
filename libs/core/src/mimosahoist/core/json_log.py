"""Structured logs: one JSON object a line through absl.logging."""

from __future__ import annotations

import datetime
import logging as python_logging
import sys
from typing import Any

import msgspec
from absl import logging

LINES_PER_SECOND = 100.0
LINES_AT_ONCE = 400.0


class JsonFormatter(python_logging.Formatter):
    """Formats each record as one JSON line."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.instance = instance

    def format(self, record: python_logging.LogRecord) -> str:
        """Encode a record."""
        fields: dict[str, Any] = {
            "time": datetime.datetime.fromtimestamp(record.created, datetime.UTC).isoformat(),
            "level": record.levelname.lower(),
            "instance": self.instance,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


class LineBudget:
    """Lets a bounded number of lines through; the next line tells how many were dropped.

    Parameters
    ----------
    rate : float
        Lines a second.
    burst : float
        Lines at once after a quiet time.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.counted_at: float | None = None
        self.dropped = 0

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Whether a line may be written; warnings and errors always may."""
        elapsed = record.created - (self.counted_at or record.created)
        self.counted_at = record.created
        self.left = min(self.burst, self.left + max(0.0, elapsed) * self.rate)
        if self.left < 1.0 and record.levelno < python_logging.WARNING:
            self.dropped += 1
            return False
        self.left = max(0.0, self.left - 1.0)
        if self.dropped:
            record.fields = {**getattr(record, "fields", {}), "lines_dropped": self.dropped}
            self.dropped = 0
        return True


def configure(instance: str) -> None:
    """Send JSON lines of level info and above to standard output, at a bounded rate."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stdout
    handler.setFormatter(JsonFormatter(instance))
    handler.addFilter(LineBudget(LINES_PER_SECOND, LINES_AT_ONCE))
    logging.set_verbosity(logging.INFO)
    python_logging.getLogger("tornado.access").setLevel(python_logging.CRITICAL)
    python_logging.getLogger("tornado.general").setLevel(python_logging.CRITICAL)


def info(event: str, **fields: Any) -> None:
    """Log a change of state with its fields."""
    logging.get_absl_logger().info(event, extra={"fields": fields})
