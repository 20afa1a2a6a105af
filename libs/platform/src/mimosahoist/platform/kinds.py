"""Types and keys of the objects that the system keeps in the platform's store."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

ORGANISATION_PREFIX = "organisation/"
FAILURE_DOMAIN_PREFIX = "failure-domain/"
MOVE_PREFIX = "move/"
MOVE_STATUS_PREFIX = "move-status/"
SHARE_TABLE_KEY = "share-table/entries"
MOVE_LEASE_KEY = "lease/moves"
IDEMPOTENCY_PREFIX = "idempotency/"

Preference = Literal["coverage", "tail"]
ServiceKind = Literal["search", "run"]


class CallerSpec(TypedDict):
    """A caller, identified by the SHA-256 of its bearer token.

    Callers with lower priority numbers are served first.
    """

    name: str
    token_sha256: str
    priority: int


class ServiceSpec(TypedDict):
    """A service of an organisation and the load limits of each of its upstreams."""

    name: str
    kind: ServiceKind
    version: str
    slots: int
    queue: int
    connections: int
    connect_ms: int
    linger_ms: int
    cold_concurrency: int
    soft_timeout_share: float
    idempotent: bool
    canary: bool


class OrganisationSpec(TypedDict):
    """An organisation as compiled from its template."""

    name: str
    preference: Preference
    callers: list[CallerSpec]
    services: list[ServiceSpec]


class FailureDomainSpec(TypedDict):
    """Whether operators have drained a failure domain."""

    name: str
    out: bool


class MoveSpec(TypedDict):
    """A move of a service's traffic to a new version; times in Unix seconds."""

    organisation: str
    service: str
    source: str
    target: str
    started: float
    deadline: float


MovePhase = Literal["waiting", "running", "finishing", "done", "taken-back"]


class MoveStatus(TypedDict):
    """State of a move as last written by its controller.

    `spec_version` is the store version of the spec that the status refers to; `running_since` is
    the Unix time at which traffic began to move.
    """

    spec_version: int
    phase: MovePhase
    weight: float
    running_since: float
    reason: str
    controller: str
    fencing: int


class Lease(TypedDict):
    """A lease with a fencing number that increases with every holder."""

    holder: str
    fencing: int
    renewed: float
    duration: float


class ShareHolder(TypedDict):
    """Instance that holds a numbered share of every upstream's limits."""

    instance: str
    incarnation: int


class ShareTable(TypedDict):
    """Assignment of shares to instances; the list index is the share number."""

    holders: list[ShareHolder | None]


class InstanceRecord(TypedDict):
    """A live or leaving instance in the platform's instance list."""

    role: Literal["searcher", "entry"]
    failure_domain: str
    address: str
    state: Literal["live", "leaving"]
    organisation: NotRequired[str]
    service: NotRequired[str]
    version: NotRequired[str]
    peer_address: NotRequired[str]
    admin_address: NotRequired[str]


class IdempotencyRecord(TypedDict):
    """State of a request with an idempotency key, and its response once done."""

    body_hash: str
    state: Literal["started", "done", "released", "unknown"]
    owner: str
    status: int
    answer: str


def organisation_key(name: str) -> str:
    """Return the key of an organisation."""
    return ORGANISATION_PREFIX + name


def failure_domain_key(name: str) -> str:
    """Return the key of a failure domain."""
    return FAILURE_DOMAIN_PREFIX + name


def move_key(organisation: str, service: str) -> str:
    """Return the key of the move of a service."""
    return f"{MOVE_PREFIX}{organisation}/{service}"


def move_status_key(organisation: str, service: str) -> str:
    """Return the key of the status of a move."""
    return f"{MOVE_STATUS_PREFIX}{organisation}/{service}"
