"""Messages of the upstreams' protocol."""

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
    """A snapshot that a searcher holds, with its part of the partition map."""

    id: int
    total: int
    shards: list[int]


class UpstreamStatus(TypedDict):
    """What an upstream reports of itself."""

    instance: str
    incarnation: int
    snapshots: list[SnapshotHeld]
    warm: bool
    running: int
    queued: int
    draining: bool


class SearchCall(TypedDict):
    """A shard call."""

    request: str
    query: Any
    route: str
    snapshot: int
    shards: list[int]
    limit: int
    deadline_ms: int


class SearchAnswer(TypedDict):
    """Answer to a shard call; it echoes request, snapshot and shards."""

    request: str
    snapshot: int
    shards: list[int]
    total: int
    hits: list[Hit]
    warm: bool
    incarnation: int
    newest: int


class RunCall(TypedDict):
    """A request for one upstream."""

    request: str
    operation: Any
    route: str
    deadline_ms: int


class RunAnswer(TypedDict):
    """Answer to a run call."""

    request: str
    result: Any
    warm: bool
    incarnation: int


class UpstreamRefusal(TypedDict):
    """An upstream's refusal; the request was not run."""

    kind: str
    newest: NotRequired[int]


search_answer_decoder = msgspec.json.Decoder(SearchAnswer)
run_answer_decoder = msgspec.json.Decoder(RunAnswer)
status_decoder = msgspec.json.Decoder(UpstreamStatus)
refusal_decoder = msgspec.json.Decoder(UpstreamRefusal)
