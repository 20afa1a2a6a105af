"""Which instances gather for others: decision without any network.

The load it answers: many small instances, each with few searches, in front of many shards that
accept few connections. If all of them searched by themselves, each would open a connection to
every upstream for a few calls, more than the upstreams accept. So in each failure domain the
largest instances gather for the others. A domain that holds no copies of the shards leaves the
gathering to another one, so that one request crosses instead of one for each shard.
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
    """An instance that offers to gather.

    Attributes
    ----------
    address : str
        ``host:port`` for requests of other instances.
    capacity : float
        Processor time that it has, in cores.
    """

    name: str
    failure_domain: str
    address: str
    capacity: float


def select_gatherers(offers: Iterable[Gatherer], max_per_domain: int) -> dict[str, list[Gatherer]]:
    """Largest offers of each failure domain, until they make up a share of its capacity.

    Parameters
    ----------
    most : int
        Gatherers in one domain at most.
    """
    by_domain: dict[str, list[Gatherer]] = {}
    for offer in offers:
        by_domain.setdefault(offer.failure_domain, []).append(offer)
    return {domain: select_in_domain(found, max_per_domain) for domain, found in by_domain.items()}


def select_in_domain(offers: list[Gatherer], max_per_domain: int) -> list[Gatherer]:
    """Largest offers of one failure domain; equal ones in rendezvous order."""
    target_capacity = GATHERING_CAPACITY_SHARE * sum(offer.capacity for offer in offers)
    selected: list[Gatherer] = []
    for offer in sorted(offers, key=lambda offer: (-offer.capacity, hash_text(offer.name))):
        selected_capacity = sum(other.capacity for other in selected)
        if len(selected) >= max(MIN_GATHERERS_PER_DOMAIN, max_per_domain):
            break
        if len(selected) >= MIN_GATHERERS_PER_DOMAIN and selected_capacity >= target_capacity:
            break
        selected.append(offer)
    return selected


def gathering_domains(coverage: dict[str, float]) -> set[str]:
    """Failure domains that hold about as many shards as the one that holds most.

    To pass a search on and bring its answer back costs about as many bytes as one or two parts, so
    a domain that lacks only a few shards more than another gathers by itself.

    Parameters
    ----------
    coverage : dict
        Share of the shards of which each failure domain has an upstream.
    """
    highest = max(coverage.values(), default=0.0)
    return {domain for domain, share in coverage.items() if share >= highest - COVERAGE_TOLERANCE}


def domain_order(own_name: str, own_domain: str, domains: Iterable[str]) -> list[str]:
    """Domains in which an instance has its searches gathered, the preferred one first.

    Instances of a domain that cannot gather spread over the others.
    """
    return sorted(
        domains, key=lambda domain: (domain != own_domain, hash_text(f"{own_name} {domain}"))
    )
