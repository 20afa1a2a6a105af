"""Which snapshot a search uses and which upstreams hold its shards."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.upstream.upstream import Upstream


class ShardGroup(NamedTuple):
    """Shards that the same upstreams hold; one call asks for all of them.

    `encoded` is the JSON form of `shards`.
    """

    shards: list[int]
    upstreams: list[Upstream]
    encoded: bytes = b""


class Plan(NamedTuple):
    """One snapshot with its partition map."""

    snapshot: int
    total: int
    groups: list[ShardGroup]
    uncovered_shards: list[int]


class Holding(NamedTuple):
    """Partition of a snapshot as upstreams report it."""

    total: int
    owners: dict[int, list[Upstream]]


def collect_holdings(upstreams: Iterable[Upstream]) -> dict[int, Holding]:
    """Partition maps of all snapshots that the upstreams hold."""
    holdings: dict[int, Holding] = {}
    for upstream in upstreams:
        if upstream.status is None:
            continue
        for held in upstream.status["snapshots"]:
            holding = holdings.get(held["id"])
            if holding is None:
                holding = Holding(held["total"], defaultdict(list))
                holdings[held["id"]] = holding
            for shard in held["shards"]:
                if shard < holding.total:
                    holding.owners[shard].append(upstream)
    return holdings


def make_plan(upstreams: Iterable[Upstream], versions: tuple[str, ...], at: float) -> Plan | None:
    """Plan with the newest snapshot that is held best.

    A snapshot whose shards are all held by available upstreams goes before one with gaps; among
    equals the newest wins.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams of the service.
    versions : tuple of str
        Versions that may be used.
    at : float
        Loop time at which they must be available.

    Returns
    -------
    Plan or None
        None if no upstream holds any snapshot.
    """
    usable = [item for item in upstreams if item.version in versions and item.available(at)]
    holdings = collect_holdings(usable)
    if not holdings:
        return None
    best = max(holdings, key=lambda snapshot: (covered_share(holdings[snapshot]), snapshot))
    return build_plan(best, holdings[best])


def covered_share(holding: Holding) -> float:
    """Share of a snapshot's shards that some upstream holds."""
    return len(holding.owners) / max(1, holding.total)


def build_plan(snapshot: int, holding: Holding) -> Plan:
    """Group shards by the upstreams that hold them."""
    grouped: dict[tuple[str, ...], ShardGroup] = {}
    for shard in sorted(holding.owners):
        owners = holding.owners[shard]
        key = tuple(sorted(upstream.name for upstream in owners))
        grouped.setdefault(key, ShardGroup([], owners)).shards.append(shard)
    uncovered_shards = [shard for shard in range(holding.total) if shard not in holding.owners]
    groups = [
        group._replace(encoded=msgspec.json.encode(group.shards)) for group in grouped.values()
    ]
    return Plan(snapshot, holding.total, groups, uncovered_shards)
