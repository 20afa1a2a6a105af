"""Validation of callers' requests before anything is forwarded."""

from __future__ import annotations

from dataclasses import dataclass

from mimosahoist.core.decimal_text import parse_integer

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
MILLISECONDS_PER_SECOND = 1000
MAX_TIME_LEFT_MILLISECONDS = 10**9 - 1


@dataclass(frozen=True)
class Refusal:
    """A request that is rejected without being forwarded; retrying it does not help."""

    status: int
    reason: str


NO_REQUEST_ID = Refusal(STATUS_BAD_REQUEST, "the request ID header is missing")
NO_ROUTE = Refusal(STATUS_NOT_FOUND, "no route matches; check host and path")


def parse_time_left(value: str | None) -> float | None:
    """Seconds for which the caller still waits, or None if its header is missing or invalid."""
    milliseconds = parse_integer(value or "", MAX_TIME_LEFT_MILLISECONDS)
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND
