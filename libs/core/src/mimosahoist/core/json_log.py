"""Structured logging: one JSON object per line through absl.logging."""

from __future__ import annotations

import datetime
import logging as python_logging
import sys
from typing import Any

import msgspec
from absl import flags, logging

LOG_LINES_PER_SECOND = 100.0
LOG_BURST_LINES = 400.0


class JsonFormatter(python_logging.Formatter):
    """Formats each log record as one line of JSON."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.instance = instance

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the JSON line for a record."""
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


class LogRateLimiter:
    """Token bucket that limits the rate of log lines.

    The first line written after a drop carries the number of dropped lines in `lines_dropped`.

    Parameters
    ----------
    rate : float
        Lines per second.
    burst : float
        Maximum number of lines written at once after an idle period.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None
        self.dropped = 0

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Return whether a line may be written; warnings and errors are never dropped."""
        elapsed = record.created - (self.refilled_at or record.created)
        self.refilled_at = record.created
        self.tokens = min(self.burst, self.tokens + max(0.0, elapsed) * self.rate)
        if self.tokens < 1.0 and record.levelno < python_logging.WARNING:
            self.dropped += 1
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        if self.dropped:
            record.fields = {**getattr(record, "fields", {}), "lines_dropped": self.dropped}
            self.dropped = 0
        return True


def configure(instance: str) -> None:
    """Write JSON lines of level info and above to standard output, at a limited rate."""
    # The command line is parsed by argparse; absl would print a warning until its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stdout
    handler.setFormatter(JsonFormatter(instance))
    handler.addFilter(LogRateLimiter(LOG_LINES_PER_SECOND, LOG_BURST_LINES))
    logging.set_verbosity(logging.INFO)
    python_logging.getLogger("tornado.access").setLevel(python_logging.CRITICAL)
    python_logging.getLogger("tornado.general").setLevel(python_logging.CRITICAL)


def info(event: str, **fields: Any) -> None:
    """Log an event and its fields at level info."""
    logging.get_absl_logger().info(event, extra={"fields": fields})
