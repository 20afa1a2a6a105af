"""Validation of callers' requests before anything is forwarded."""

from __future__ import annotations

from dataclasses import dataclass

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
MAX_TIME_LEFT_DIGITS = 9


@dataclass(frozen=True)
class Refusal:
    """A request that is rejected without being forwarded; retrying it does not help."""

    status: int
    reason: str


NO_REQUEST_ID = Refusal(STATUS_BAD_REQUEST, "the request ID header is missing")
NO_ROUTE = Refusal(STATUS_NOT_FOUND, "no route matches; check host and path")


def parse_time_left(value: str | None) -> float | None:
    """Seconds for which the caller still waits, or None if its header is missing or invalid."""
    if value is None or not value.isdigit() or len(value) > MAX_TIME_LEFT_DIGITS:
        return None
    return int(value) / 1000
