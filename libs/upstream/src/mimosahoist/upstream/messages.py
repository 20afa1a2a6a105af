"""Messages of the upstream protocol."""

from __future__ import annotations

from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

SEARCH_PATH = "/search"
RUN_PATH = "/run"
CANCEL_PATH = "/cancel"
STATUS_PATH = "/status"

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_CANCELLED = 499
STATUS_REFUSED = 503
STATUS_DEADLINE = 504


class Hit(NamedTuple):
    """A scored document."""

    score: float
    id: str


class SnapshotHeld(TypedDict):
    """A snapshot that a searcher holds, with the searcher's shards out of `total`."""

    id: int
    total: int
    shards: list[int]


class UpstreamStatus(TypedDict):
    """Status report of an upstream."""

    instance: str
    incarnation: int
    snapshots: list[SnapshotHeld]
    warm: bool
    running: int
    queued: int
    draining: bool


class SearchCall(TypedDict):
    """A shard call: a search in some shards of a snapshot."""

    request: str
    query: Any
    route: str
    snapshot: int
    shards: list[int]
    limit: int
    deadline_ms: int


class SearchResponse(TypedDict):
    """Response to a shard call, which echoes request, snapshot and shards."""

    request: str
    snapshot: int
    shards: list[int]
    total: int
    hits: list[Hit]
    warm: bool
    incarnation: int
    newest: int


class RunCall(TypedDict):
    """A run call: an operation that a single upstream runs."""

    request: str
    operation: Any
    route: str
    deadline_ms: int


class RunResponse(TypedDict):
    """Response to a run call."""

    request: str
    result: Any
    warm: bool
    incarnation: int


class UpstreamRefusal(TypedDict):
    """Refusal by an upstream, which has not run the request."""

    kind: str
    newest: NotRequired[int]


search_response_decoder = msgspec.json.Decoder(SearchResponse)
run_response_decoder = msgspec.json.Decoder(RunResponse)
status_decoder = msgspec.json.Decoder(UpstreamStatus)
refusal_decoder = msgspec.json.Decoder(UpstreamRefusal)
