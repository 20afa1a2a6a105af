"""Lab deployments: two reference organisations at their specified sizes, a small and a wide one."""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

from mimosahoist.lab.searcher_model import SearcherSpec

FAILURE_DOMAINS = ("a", "b", "c", "d")
ENTRY_COUNT = 8
MAX_REQUESTS_PER_UPSTREAM = 16
COLD_CONCURRENCY = 1
COLD_SECONDS = 2.0
FIRST_SNAPSHOT = 1
PORTS_PER_DEPLOYMENT = 1000
ENTRY_HTTP_OFFSET = 10
ENTRY_ADMIN_OFFSET = 30
ENTRY_PEER_OFFSET = 50
SEARCHER_OFFSET = 100


class ServiceSize(NamedTuple):
    """Size and timing of a service; a run service has a single group."""

    name: str
    kind: str
    groups: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float


class Deployment(NamedTuple):
    """An organisation with its degradation preference and its services."""

    organisation: str
    preference: str
    services: tuple[ServiceSize, ...]


TIDY_BOTHY = Deployment(
    "tidy-bothy",
    "coverage",
    (
        ServiceSize("sorter-app", "search", 10, 3, 4, 35, 6.0, 4.0),
        ServiceSize("charity-portal", "search", 15, 3, 4, 35, 6.0, 4.0),
        ServiceSize("booking-desk", "run", 1, 12, 3, 110, 1.0, 3.0),
        ServiceSize("tip-runs", "run", 1, 6, 3, 110, 1.0, 3.0),
    ),
)
LANTERN_GRID = Deployment(
    "lantern-grid",
    "tail",
    (
        ServiceSize("clue-desk", "search", 10, 3, 3, 30, 6.0, 4.0),
        ServiceSize("pack-build", "search", 15, 3, 3, 30, 6.0, 4.0),
        ServiceSize("grid-check", "run", 1, 7, 4, 45, 1.0, 3.0),
        ServiceSize("word-feed", "run", 1, 4, 4, 45, 1.0, 3.0),
    ),
)
SMALL = Deployment(
    "small",
    "coverage",
    (
        ServiceSize("catalogue", "search", 4, 3, 4, 35, 6.0, 4.0),
        ServiceSize("orders", "run", 1, 4, 3, 110, 1.0, 3.0),
    ),
)
WIDE = Deployment(
    "wide", "coverage", (ServiceSize("wide-search", "search", 93, 1, 4, 35, 6.0, 4.0),)
)
REFERENCE_DEPLOYMENTS = (TIDY_BOTHY, LANTERN_GRID)
DEPLOYMENTS = {item.organisation: item for item in (*REFERENCE_DEPLOYMENTS, SMALL, WIDE)}


def searcher_specs(deployment: Deployment, version: str = "v1") -> list[SearcherSpec]:
    """Return all searchers, with the replicas of a group spread over the failure domains."""
    specs = []
    for size in deployment.services:
        for group in range(size.groups):
            for replica in range(size.replicas):
                specs.append(searcher_spec(deployment, size, group, replica, version))
    return specs


def searcher_spec(
    deployment: Deployment, size: ServiceSize, group: int, replica: int, version: str
) -> SearcherSpec:
    """Return the specification of one replica of a group."""
    domain = FAILURE_DOMAINS[(group + replica) % len(FAILURE_DOMAINS)]
    return SearcherSpec(
        name=f"{size.name}-{version}-{group}-{replica}",
        organisation=deployment.organisation,
        service=size.name,
        kind=size.kind,
        failure_domain=domain,
        version=version,
        group=group,
        groups=size.groups,
        slots=size.slots,
        queue=MAX_REQUESTS_PER_UPSTREAM - size.slots,
        connections=size.connections,
        connect_ms=size.connect_ms,
        service_ms=size.service_ms,
        cold_concurrency=COLD_CONCURRENCY,
        cold_seconds=COLD_SECONDS,
    )


def caller_token(organisation: str, caller: str) -> str:
    """Return the bearer token that a caller uses in the lab."""
    return f"lab-{organisation}-{caller}"


def organisation_object(deployment: Deployment) -> dict[str, Any]:
    """Return the organisation's stored object, in the form compiled from declarations."""
    return {
        "name": deployment.organisation,
        "preference": deployment.preference,
        "callers": [
            {
                "name": name,
                "token_sha256": hashlib.sha256(
                    caller_token(deployment.organisation, name).encode()
                ).hexdigest(),
                "priority": priority,
            }
            for name, priority in (("desk", 0), ("batch", 5))
        ],
        "services": [service_object(size) for size in deployment.services],
    }


def service_object(size: ServiceSize) -> dict[str, Any]:
    """Return a service's entry in the organisation's stored object."""
    return {
        "name": size.name,
        "kind": size.kind,
        "version": "v1",
        "slots": size.slots,
        "queue": MAX_REQUESTS_PER_UPSTREAM - size.slots,
        "connections": size.connections,
        "connect_ms": int(size.connect_ms),
        "linger_ms": 5000,
        "cold_concurrency": COLD_CONCURRENCY,
        "soft_timeout_share": 0.8,
        "idempotent": False,
        "canary": True,
    }


def searcher_record(spec: SearcherSpec, address: str) -> dict[str, Any]:
    """Return a searcher's record in the platform's instance list."""
    return {
        "role": "searcher",
        "failure_domain": spec.failure_domain,
        "address": address,
        "state": "live",
        "organisation": spec.organisation,
        "service": spec.service,
        "version": spec.version,
    }
