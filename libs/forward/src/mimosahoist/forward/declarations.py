"""What operators and upstreams declare, as the forwarding core understands it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import NamedTuple


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A declared route; times in seconds.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    targets : tuple of WeightedService
        Services for requests that one upstream runs; empty for a gathering route.
    shards : tuple of str
        Services of which each answers with a part; empty for a plain route.
    max_attempts : int
        Upstreams that may run one request, for each shard separately.
    result_limit : int
        Records of a gathered answer.
    min_coverage : float
        Share of the shards without which a gathered answer is no success.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int = 0
    max_attempts: int = 1
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    result_limit: int = 0
    min_coverage: float = 1.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class ServiceLimits:
    """What each upstream of a service bears.

    Attributes
    ----------
    connections : int
        Connections that one upstream accepts from all instances together; 0 if not declared.
    cold_rate : float
        Requests a second that one cold upstream bears from all instances; 0 if not declared.
    """

    name: str
    health_path: str = "/health"
    connections: int = 0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take; times in seconds."""

    header_bytes: int = 65536
    body_bytes: int = 1 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(frozen=True)
class Configuration:
    """One version of all routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


class UpstreamRecord(NamedTuple):
    """One upstream as it registered itself.

    Attributes
    ----------
    cold_seconds : float
        Seconds for which it stays cold, counted from the moment of the report.
    started_at_ms : int
        Unix millisecond of its start; 0 if it does not tell.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str = ""
    slots: int = 1
    leaving: bool = False
    cold_seconds: float = 0.0
    started_at_ms: int = 0


class SharedBounds(NamedTuple):
    """Bounds that hold for the sum over all instances.

    Attributes
    ----------
    repeat_ratio : float
        Extra sends allowed for each request of a service.
    repeat_slack : float
        Extra sends allowed besides, in each window.
    repeat_window : float
        Seconds of the window.
    cold_headroom, cold_slack : float
        A cold upstream's rate may be exceeded by this factor, and by this many a second.
    drain_seconds, grace_seconds : float
        Time within which a leaving upstream gets nothing more, and between SIGTERM and SIGKILL.
    recheck_seconds : float
        Time after an outage of the store in which entries that lapsed meanwhile come back.
    """

    repeat_ratio: float = 0.1
    repeat_slack: float = 8.0
    repeat_window: float = 10.0
    cold_headroom: float = 1.0
    cold_slack: float = 1.0
    drain_seconds: float = 3.0
    grace_seconds: float = 6.0
    recheck_seconds: float = 2.0
