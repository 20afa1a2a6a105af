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


class SnapshotHolders(NamedTuple):
    """The upstreams that hold a snapshot's shards, as they report it."""

    total: int
    upstreams_by_shard: dict[int, list[Upstream]]


def collect_snapshots(upstreams: Iterable[Upstream]) -> dict[int, SnapshotHolders]:
    """Build the partition maps of all snapshots that the upstreams hold."""
    snapshots: dict[int, SnapshotHolders] = {}
    for upstream in upstreams:
        if upstream.status is None:
            continue
        for held in upstream.status["snapshots"]:
            snapshot_holders = snapshots.get(held["id"])
            if snapshot_holders is None:
                snapshot_holders = SnapshotHolders(held["total"], defaultdict(list))
                snapshots[held["id"]] = snapshot_holders
            for shard in held["shards"]:
                if shard < snapshot_holders.total:
                    snapshot_holders.upstreams_by_shard[shard].append(upstream)
    return snapshots


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
    snapshots = collect_snapshots(usable)
    if not snapshots:
        return None
    best = max(snapshots, key=lambda snapshot: (coverage_ratio(snapshots[snapshot]), snapshot))
    return build_plan(best, snapshots[best])


def coverage_ratio(snapshot_holders: SnapshotHolders) -> float:
    """Fraction of a snapshot's shards that at least one upstream holds."""
    return len(snapshot_holders.upstreams_by_shard) / max(1, snapshot_holders.total)


def build_plan(snapshot: int, snapshot_holders: SnapshotHolders) -> Plan:
    """Group shards by the set of upstreams that holds them."""
    grouped: dict[tuple[str, ...], ShardGroup] = {}
    for shard in sorted(snapshot_holders.upstreams_by_shard):
        holders = snapshot_holders.upstreams_by_shard[shard]
        key = tuple(sorted(upstream.name for upstream in holders))
        grouped.setdefault(key, ShardGroup([], holders)).shards.append(shard)
    uncovered_shards = [
        shard
        for shard in range(snapshot_holders.total)
        if shard not in snapshot_holders.upstreams_by_shard
    ]
    groups = [
        group._replace(encoded=msgspec.json.encode(group.shards)) for group in grouped.values()
    ]
    return Plan(snapshot, snapshot_holders.total, groups, uncovered_shards)
