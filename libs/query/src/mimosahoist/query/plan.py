"""Selection of the snapshot for a search and of the upstreams that hold its shards."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mimosahoist.upstream.upstream import Upstream


class ShardGroup(NamedTuple):
    """Shards held by the same set of upstreams; one call queries all of them.

    `encoded` is the JSON form of `shards`.
    """

    shards: list[int]
    upstreams: list[Upstream]
    encoded: bytes = b""


class Plan(NamedTuple):
    """A snapshot and its partition map."""

    snapshot: int
    total: int
    groups: list[ShardGroup]
    uncovered_shards: list[int]


class PartitionMap(NamedTuple):
    """The upstreams that hold each shard of a snapshot, as they report it."""

    total: int
    upstreams_by_shard: dict[int, list[Upstream]]


def collect_partition_maps(upstreams: Iterable[Upstream]) -> dict[int, PartitionMap]:
    """Build the partition maps of all snapshots that the upstreams hold."""
    partition_maps: dict[int, PartitionMap] = {}
    for upstream in upstreams:
        if upstream.status is None:
            continue
        for held in upstream.status["snapshots"]:
            partition_map = partition_maps.get(held["id"])
            if partition_map is None:
                partition_map = PartitionMap(held["total"], defaultdict(list))
                partition_maps[held["id"]] = partition_map
            for shard in held["shards"]:
                if shard < partition_map.total:
                    partition_map.upstreams_by_shard[shard].append(upstream)
    return partition_maps


def make_plan(upstreams: Iterable[Upstream], versions: tuple[str, ...], at: float) -> Plan | None:
    """Plan for the snapshot with the best shard coverage, and the newest among equals.

    Only shards held by available upstreams count as covered.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams of the service.
    versions : tuple of str
        Upstream versions that may be used.
    at : float
        Event loop time at which the upstreams must be available.

    Returns
    -------
    Plan or None
        None if no upstream holds any snapshot.
    """
    usable = [item for item in upstreams if item.version in versions and item.available(at)]
    partition_maps = collect_partition_maps(usable)
    if not partition_maps:
        return None
    best = max(
        partition_maps, key=lambda snapshot: (coverage_ratio(partition_maps[snapshot]), snapshot)
    )
    return build_plan(best, partition_maps[best])


def coverage_ratio(partition_map: PartitionMap) -> float:
    """Fraction of a snapshot's shards that at least one upstream holds."""
    return len(partition_map.upstreams_by_shard) / max(1, partition_map.total)


def build_plan(snapshot: int, partition_map: PartitionMap) -> Plan:
    """Group shards by the set of upstreams that holds them."""
    grouped: dict[tuple[str, ...], ShardGroup] = {}
    for shard in sorted(partition_map.upstreams_by_shard):
        holders = partition_map.upstreams_by_shard[shard]
        key = tuple(sorted(upstream.name for upstream in holders))
        grouped.setdefault(key, ShardGroup([], holders)).shards.append(shard)
    uncovered_shards = [
        shard
        for shard in range(partition_map.total)
        if shard not in partition_map.upstreams_by_shard
    ]
    groups = [
        group._replace(encoded=msgspec.json.encode(group.shards)) for group in grouped.values()
    ]
    return Plan(snapshot, partition_map.total, groups, uncovered_shards)
