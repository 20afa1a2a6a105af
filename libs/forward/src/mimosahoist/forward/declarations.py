"""Data model of operators' declarations and upstreams' registrations."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import NamedTuple


class RouteKind(enum.StrEnum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WeightedService(NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """A declared route; times are in seconds.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    targets : tuple of WeightedService
        Services whose upstreams serve requests of a plain route; empty for a gathering route.
    shards : tuple of str
        Services that each return one part of the answer; empty for a plain route.
    max_attempts : int
        Maximum number of upstreams that may run one request, per shard.
    result_limit : int
        Maximum number of records in a gathered answer.
    min_coverage : float
        Minimum share of shards for a gathered answer to count as a success.
    is_open : bool
        Whether requests need no key, although organisations are declared.
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
    is_open: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class ServiceLimits:
    """Limits of each upstream of a service.

    Attributes
    ----------
    connections : int
        Maximum connections to one upstream from all instances together; 0 if not declared.
    cold_rate : float
        Maximum requests per second to one cold upstream from all instances together; 0 if not
        declared.
    """

    name: str
    health_path: str = "/health"
    connections: int = 0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Size limits and time-outs of callers' requests; times are in seconds."""

    header_bytes: int = 65536
    body_bytes: int = 1 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@dataclass(frozen=True)
class Organisation:
    """A customer whose callers are known by keys.

    Attributes
    ----------
    keys : tuple of str
        Each of them identifies callers of this organisation.
    priority : int or None
        Rank of its requests, 0 being the highest; None if that of the route applies.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True)
class Configuration:
    """One version of all routes, service limits, caller limits and organisations.

    Attributes
    ----------
    organisations : tuple of Organisation or None
        None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] | None = None


class UpstreamRecord(NamedTuple):
    """Registration of one upstream.

    Attributes
    ----------
    cold_seconds : float
        Seconds for which it remains cold, counted from the time of the report.
    started_at_ms : int
        Unix time of its start in milliseconds; 0 if not reported.
    sequence : int
        Number of the report, counted by the upstream since its start; 0 if not reported.
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
    sequence: int = 0


class SharedBounds(NamedTuple):
    """Limits on the sum over all instances.

    Attributes
    ----------
    repeat_ratio : float
        Hedges and retries allowed per request of a service.
    repeat_slack : float
        Additional hedges and retries allowed in each window.
    repeat_window : float
        Length of the window in seconds.
    cold_headroom, cold_slack : float
        Factor applied to the rate of a cold upstream, and requests per second added to it.
    drain_seconds, grace_seconds : float
        Time within which a leaving upstream stops receiving requests, and time from SIGTERM to
        SIGKILL.
    recheck_seconds : float
        Time after a store outage in which entries that expired during it may return.
    exposure_share, exposure_slack : float
        Share of a service's requests during a rollout, and number of requests beyond it, that its
        target version may get before it has proved good.
    revocation_seconds : float
        Time within which every instance refuses a key that was taken away, whether it is in touch
        with the store or not; 0 if a key may be taken until the instance learns of it.
    """

    repeat_ratio: float = 0.1
    repeat_slack: float = 8.0
    repeat_window: float = 10.0
    cold_headroom: float = 1.0
    cold_slack: float = 1.0
    drain_seconds: float = 3.0
    grace_seconds: float = 6.0
    recheck_seconds: float = 2.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    revocation_seconds: float = 0.0
