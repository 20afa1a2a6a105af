"""Settings of an entry instance."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class InstanceTable(TypedDict):
    """Identity of the instance."""

    name: str
    cluster: str
    failure_domain: str


class ListenTable(TypedDict):
    """Listen addresses for callers and operators, as ``host:port``."""

    http: str
    admin: str


class PeersTable(TypedDict):
    """Exchange of state with other instances.

    `shares` is the number of shares into which the upstreams' limits are divided. It must be the
    same on all instances.
    """

    address: str
    public_key: str
    secret_key: str
    shares: int
    seeds: NotRequired[list[str]]


class PlatformTable(TypedDict):
    """Address of the platform's object API."""

    url: str


class DrainTable(TypedDict):
    """Graceful shutdown, in seconds.

    `notice` is the time that the load balancer has to react to failing readiness; `longest` is
    the maximum wait for open requests.
    """

    notice: float
    longest: float


class TraceTable(TypedDict):
    """Tracing; `sample_ratio` is the fraction of requests that are sampled."""

    sample_ratio: float


class EntrySettings(TypedDict):
    """All settings of an entry instance."""

    instance: InstanceTable
    listen: ListenTable
    peers: PeersTable
    platform: PlatformTable
    traces: NotRequired[TraceTable]
    drain: NotRequired[DrainTable]
