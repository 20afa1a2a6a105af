"""Structured logs: one JSON object a line through absl.logging."""

from __future__ import annotations

import datetime
import logging as python_logging
from typing import Any

import msgspec
from absl import logging


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


def configure(instance: str) -> None:
    """Send JSON lines of level info and above to standard error."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance))
    logging.set_verbosity(logging.INFO)
    python_logging.getLogger("tornado.access").setLevel(python_logging.CRITICAL)
    python_logging.getLogger("tornado.general").setLevel(python_logging.CRITICAL)


def change(event: str, **fields: Any) -> None:
    """Log a change of state with its fields."""
    logging.get_absl_logger().info(event, extra={"fields": fields})
