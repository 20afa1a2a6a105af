"""Load that an upstream reports in its responses."""

from __future__ import annotations

from mimosahoist.core.decimal_text import parse_integer

MAX_REPORTED_REQUESTS = 1_000_000


class ReportedLoad:
    """Most recent load that an upstream reported."""

    def __init__(self, running: int, waiting: int, slots: int, at: float) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.at = at

    @classmethod
    def parse(cls, value: str, at: float) -> ReportedLoad | None:
        """Parse ``running,waiting,slots``; return None if the value is malformed."""
        numbers = [parse_integer(field, MAX_REPORTED_REQUESTS) for field in value.split(",")]
        if len(numbers) != 3 or None in numbers:
            return None
        running, waiting, slots = numbers
        return cls(running, waiting, max(1, slots), at)
