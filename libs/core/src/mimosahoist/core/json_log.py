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
# Lines of an event that are written whatever other events write. A crowd of callers is refused
# line by line, which must not hide that the store was lost or the settings changed.
EVENT_LINES_PER_SECOND = 1.0
EVENT_BURST_LINES = 20.0
# Event names are constants of the code; names beyond these are written from the common rate only.
MAX_EVENTS = 256


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


class TokenBucket:
    """Tokens that come at a rate, up to a burst.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Maximum number of tokens.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None

    def take(self, at: float) -> bool:
        """Take a token at a time, in seconds; return whether there was one."""
        elapsed = at - (at if self.refilled_at is None else self.refilled_at)
        self.refilled_at = at
        self.tokens = min(self.burst, self.tokens + max(0.0, elapsed) * self.rate)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LogRateLimiter:
    """Limits the rate of log lines: some of each event, and a common rate for those beyond.

    The first line written after a drop carries the number of dropped lines in `lines_dropped`.

    Parameters
    ----------
    rate, event_rate : float
        Lines per second: of all events together beyond their own, and of each event's own.
    burst, event_burst : float
        Maximum numbers of lines written at once after an idle period.
    """

    def __init__(
        self, rate: float, burst: float, event_rate: float = 0.0, event_burst: float = 0.0
    ) -> None:
        self.common = TokenBucket(rate, burst)
        self.event_rate = event_rate
        self.event_burst = event_burst
        self.events: dict[str, TokenBucket] = {}
        self.dropped = 0

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Return whether a line may be written; warnings and errors are never dropped."""
        has_token = self.take_own(record) or self.common.take(record.created)
        if not has_token and record.levelno < python_logging.WARNING:
            self.dropped += 1
            return False
        if self.dropped:
            record.fields = {**getattr(record, "fields", {}), "lines_dropped": self.dropped}
            self.dropped = 0
        return True

    def take_own(self, record: python_logging.LogRecord) -> bool:
        """Take a token of the record's own event."""
        event = str(record.msg)
        own = self.events.get(event)
        if own is None:
            if len(self.events) >= MAX_EVENTS:
                return False
            own = self.events[event] = TokenBucket(self.event_rate, self.event_burst)
        return own.take(record.created)


def configure(instance: str) -> None:
    """Write JSON lines of level info and above to standard output, at a limited rate."""
    # The command line is parsed by argparse; absl would print a warning until its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stdout
    handler.setFormatter(JsonFormatter(instance))
    handler.addFilter(
        LogRateLimiter(
            LOG_LINES_PER_SECOND, LOG_BURST_LINES, EVENT_LINES_PER_SECOND, EVENT_BURST_LINES
        )
    )
    logging.set_verbosity(logging.INFO)
    python_logging.getLogger("tornado.access").setLevel(python_logging.CRITICAL)
    python_logging.getLogger("tornado.general").setLevel(python_logging.CRITICAL)


def info(event: str, **fields: Any) -> None:
    """Log an event and its fields at level info."""
    logging.get_absl_logger().info(event, extra={"fields": fields})
