"""Callers' requests and their results."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.upstream.messages import Hit

if TYPE_CHECKING:
    from opentelemetry.trace import Span


class SearchRequest(NamedTuple):
    """A search request; `deadline` is event loop time in seconds."""

    request_id: str
    query: Any
    route: str
    limit: int
    offset: int
    deadline: float
    priority: int
    fingerprint: str
    span: Span | None = None


class MissingShard(NamedTuple):
    """A shard that the answer does not cover, and the reason."""

    shard: int
    reason: str


class SearchResult(NamedTuple):
    """A merged answer and its shard coverage."""

    request_id: str
    snapshot: int
    shards: int
    answered: int
    missing: list[MissingShard]
    hits: list[Hit]


class RunRequest(NamedTuple):
    """A request that one upstream executes; `deadline` is event loop time in seconds."""

    request_id: str
    operation: Any
    route: str
    deadline: float
    priority: int
    fingerprint: str
    idempotency_key: str | None = None
    span: Span | None = None


class RunResult(NamedTuple):
    """Result of a run request."""

    request_id: str
    result: Any
    replayed: bool
