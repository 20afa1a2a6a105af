"""Selection of the instances that gather searches for other instances; does no I/O.

Designed for many small instances, each with few searches, in front of many shards whose upstreams
accept few connections. If every instance searched directly, each would open a connection to every
upstream for a few calls, which is more than the upstreams accept. In each failure domain the
largest instances therefore gather for the others. A domain without copies of the shards has
another domain gather, so that one request crosses between domains instead of one per shard.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_GATHERERS_PER_DOMAIN = 2
GATHERING_CAPACITY_SHARE = 0.25
COVERAGE_TOLERANCE = 0.3


class Gatherer(NamedTuple):
    """An instance that advertises that it gathers for others.

    Attributes
    ----------
    address : str
        ``host:port`` for requests from other instances.
    capacity : float
        Available processor time, in cores.
    """

    name: str
    failure_domain: str
    address: str
    capacity: float


def select_gatherers(
    candidates: Iterable[Gatherer], max_per_domain: int
) -> dict[str, list[Gatherer]]:
    """Select the largest instances of each failure domain, up to a share of its capacity.

    Parameters
    ----------
    max_per_domain : int
        Upper limit per domain, unless it is below `MIN_GATHERERS_PER_DOMAIN`.
    """
    by_domain: dict[str, list[Gatherer]] = {}
    for candidate in candidates:
        by_domain.setdefault(candidate.failure_domain, []).append(candidate)
    return {domain: select_in_domain(found, max_per_domain) for domain, found in by_domain.items()}


def select_in_domain(candidates: list[Gatherer], max_per_domain: int) -> list[Gatherer]:
    """Select the largest instances of one failure domain; ties are broken by rendezvous hash."""
    target_capacity = GATHERING_CAPACITY_SHARE * sum(candidate.capacity for candidate in candidates)
    selected: list[Gatherer] = []
    for candidate in sorted(
        candidates, key=lambda candidate: (-candidate.capacity, hash_text(candidate.name))
    ):
        selected_capacity = sum(other.capacity for other in selected)
        if len(selected) >= max(MIN_GATHERERS_PER_DOMAIN, max_per_domain):
            break
        if len(selected) >= MIN_GATHERERS_PER_DOMAIN and selected_capacity >= target_capacity:
            break
        selected.append(candidate)
    return selected


def gathering_domains(coverage: dict[str, float]) -> set[str]:
    """Failure domains whose shard coverage is close to the highest.

    Relaying a search and its answer transfers about as many bytes as one or two parts, so a domain
    that lacks only a few more shards than another gathers for itself.

    Parameters
    ----------
    coverage : dict
        Share of the shards for which each failure domain has an upstream.
    """
    highest = max(coverage.values(), default=0.0)
    return {domain for domain, share in coverage.items() if share >= highest - COVERAGE_TOLERANCE}


def domain_order(own_name: str, own_domain: str, domains: Iterable[str]) -> list[str]:
    """Failure domains that gather for an instance, in order of preference.

    The instance's own domain comes first. The order of the others depends on a hash of the
    instance's name, which spreads the instances of a domain that cannot gather.
    """
    return sorted(
        domains, key=lambda domain: (domain != own_domain, hash_text(f"{own_name} {domain}"))
    )
