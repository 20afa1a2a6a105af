"""Decoding and validation of request bodies from callers."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

import msgspec
import xxhash

from mimosahoist.core import settings
from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.problem import Problem, ProblemKind

MAX_BODY_BYTES = 64 * 1024
MAX_DEADLINE_MS = 60_000
MAX_LIMIT = 1000
MAX_OFFSET = 10_000
MAX_ROUTE_LENGTH = 64
MAX_KEY_LENGTH = 200
DEFAULT_LIMIT = 10
DEFAULT_ROUTE = "default"


class SearchBody(TypedDict):
    """Body of a search request."""

    query: dict[str, Any]
    deadline_ms: int
    limit: NotRequired[int]
    offset: NotRequired[int]
    route: NotRequired[str]


class RunBody(TypedDict):
    """Body of a run request."""

    operation: dict[str, Any]
    deadline_ms: int
    route: NotRequired[str]


def decode(body: bytes, kind: type) -> Any:
    """Decode and validate a request body.

    Raises
    ------
    Problem
        If the body is invalid; it names the wrong key and the remedy.
    """
    try:
        raw = msgspec.json.decode(body)
        if not isinstance(raw, dict):
            raise bad_request(
                "the body is not a JSON object", "send an object as described in docs/INTERFACES.md"
            )
        settings.reject_unknown_keys(raw, kind, "body", "")
        value = msgspec.convert(raw, kind)
    except DECODE_ERRORS as error:
        raise bad_request(f"the body is not valid: {error}", "correct the body's JSON") from error
    except Problem as problem:
        raise bad_request(problem.message, problem.remedy) from problem
    check_range("deadline_ms", value["deadline_ms"], 1, MAX_DEADLINE_MS)
    check_range("limit", value.get("limit", DEFAULT_LIMIT), 1, MAX_LIMIT)
    check_range("offset", value.get("offset", 0), 0, MAX_OFFSET)
    if len(value.get("route", "")) > MAX_ROUTE_LENGTH or "/" in value.get("route", ""):
        raise bad_request(
            "'route' is too long or contains '/'",
            f"use up to {MAX_ROUTE_LENGTH} characters without '/'",
        )
    return value


def check_range(key: str, value: int, low: int, high: int) -> None:
    """Raise a Problem unless a number lies within a range."""
    if not low <= value <= high:
        raise bad_request(
            f"'{key}' is {value}, outside {low} to {high}", f"send a {key} within this range"
        )


def check_key(key: str | None) -> str | None:
    """Check the length of an idempotency key."""
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise bad_request(
            "the Idempotency-Key is empty or too long", f"use 1 to {MAX_KEY_LENGTH} bytes"
        )
    return key


def fingerprint(organisation: str, service: str, content: Any) -> str:
    """Return a hash of a request's content, the same for equal requests of any caller."""
    encoded = msgspec.json.encode([organisation, service, content], order="sorted")
    return xxhash.xxh3_128_hexdigest(encoded)


def bad_request(message: str, remedy: str) -> Problem:
    """Return the Problem for an invalid request."""
    return Problem(ProblemKind.BAD_REQUEST, message, remedy)
