"""Settings of an entry instance."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class InstanceTable(TypedDict):
    """Who the instance is."""

    name: str
    cluster: str
    failure_domain: str


class ListenTable(TypedDict):
    """Where callers and operators reach it, as ``host:port``."""

    http: str
    admin: str


class PeersTable(TypedDict):
    """Exchange with other instances.

    `shares` is the number of numbered shares into which upstreams' limits are divided, the same
    at all instances.
    """

    address: str
    public_key: str
    secret_key: str
    shares: int
    seeds: NotRequired[list[str]]


class PlatformTable(TypedDict):
    """The platform's object API."""

    url: str


class DrainTable(TypedDict):
    """Graceful stop: seconds of notice to the balancer, and the longest wait for requests."""

    notice: float
    longest: float


class TraceTable(TypedDict):
    """Traces; the ratio is the share of requests that are sampled."""

    sample_ratio: float


class EntrySettings(TypedDict):
    """All settings of an entry instance."""

    instance: InstanceTable
    listen: ListenTable
    peers: PeersTable
    platform: PlatformTable
    traces: NotRequired[TraceTable]
    drain: NotRequired[DrainTable]
