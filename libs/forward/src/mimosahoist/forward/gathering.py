"""Assigns the gathering roles: which instances serve for others, and who serves for this one.

The roles are updated when members, upstreams or the configuration change.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import TaskSet
from mimosahoist.forward.gatherers import (
    Gatherer,
    domain_order,
    gathering_domains,
    select_gatherers,
)
from mimosahoist.forward.shares import FleetShares, Shares

if TYPE_CHECKING:
    from collections.abc import Set

    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.forward.peers import Peers
    from mimosahoist.forward.relay import RelayClient

MAX_UPDATE_INTERVAL_SECONDS = 1.0
MIN_UPDATE_INTERVAL_SECONDS = 0.1
GATHERERS_PER_CONNECTION = 0.3
UNLIMITED_CONNECTIONS = 1 << 16


class GatheringRoles:
    """Selects the instances that serve for this one, and sets its share of the shared limits.

    Searches go to a failure domain that holds the shards. Repeatable plain requests stay in their
    domain, where a few instances track the state of its upstreams better than many would and the
    repeat budget is divided into fewer shares.

    Instances on the other side of a network partition may still be running. Limits are therefore
    divided among all instances that have not announced that they left, while searches go only to
    those that answer probes.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        peers: Peers,
        fleet: UpstreamFleet,
        relays: RelayClient,
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.fleet = fleet
        self.relays = relays
        self.tasks = TaskSet()
        self.changed = asyncio.Event()
        self.updated_version = (-1, -1)

    async def start(self) -> None:
        """Start updating the roles."""
        self.peers.member_listeners.append(self.changed.set)
        self.tasks.keep_running(self.run, "update gathering roles")

    async def close(self) -> None:
        """Stop updating the roles."""
        await self.tasks.close()

    async def run(self) -> None:
        """Update the roles periodically and after changes, batching changes close in time."""
        while True:
            try:
                async with asyncio.timeout(MAX_UPDATE_INTERVAL_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                if self.inputs_version() == self.updated_version:
                    continue
            self.changed.clear()
            try:
                self.update_roles()
            except Exception:
                self.changed.set()
                raise
            await asyncio.sleep(MIN_UPDATE_INTERVAL_SECONDS)

    def inputs_version(self) -> tuple[int, int]:
        """Version of the inputs for whose changes `changed` is not set."""
        return self.peers.advertisements_version, self.fleet.version

    def update_roles(self) -> None:
        """Recompute the relay targets and the shares of the limits."""
        self.updated_version = self.inputs_version()
        possible_names = self.peers.possibly_alive() | {self.settings.name}
        domains = gathering_domains(self.coverage())
        live = self.select(self.peers.alive_names(), len(domains))
        possible = self.select(possible_names, len(domains))
        instances = max(self.settings.expected_instances, len(possible_names))
        selected = [*live.items(), *possible.items()]
        shards = self.shares(instances, selected, domains, possible_names)
        plain = self.shares(instances, selected, live.keys() | possible.keys(), possible_names)
        self.fleet.set_shares(FleetShares(shards, plain, tuple(sorted(possible_names))))
        own_domain = self.settings.failure_domain
        order = domain_order(self.settings.name, own_domain, live.keys() & domains)
        self.relays.set_gatherers(
            [] if shards.gathers else [live[domain] for domain in order],
            [] if plain.gathers else [live.get(own_domain, [])],
            {domain: found for domain, found in live.items() if domain != own_domain},
        )

    def shares(
        self,
        instances: int,
        selected: list[tuple[str, list[Gatherer]]],
        domains: Set[str],
        possible_names: Set[str],
    ) -> Shares:
        """Shares of a limit, from the instances that may serve for others in `domains`."""
        names = {
            gatherer.name
            for domain, gatherers in selected
            if domain in domains
            for gatherer in gatherers
        }
        callers = tuple(sorted(names or possible_names))
        return Shares(instances, len(names), self.settings.name in names, callers)

    def coverage(self) -> dict[str, float]:
        """Share of the shards with an upstream, for each failure domain that is not evacuated."""
        shards_held: Counter[str] = Counter()
        for shard in self.fleet.shards:
            shards_held.update(
                {
                    upstream.record.failure_domain
                    for upstream in self.fleet.services.get(shard, {}).values()
                    if not upstream.leaving
                }
            )
        return {
            domain: count / len(self.fleet.shards)
            for domain, count in shards_held.items()
            if domain not in self.fleet.domains_out
        }

    def select(self, names: Set[str], domains: int) -> dict[str, list[Gatherer]]:
        """Instances among `names` that serve for others, by failure domain."""
        return select_gatherers(self.peers.advertised_gatherers(names), self.max_gatherers(domains))

    def max_gatherers(self, domains: int) -> int:
        """Maximum number of gatherers per domain, so that each may hold several connections."""
        caps = [self.fleet.limits_of(shard).connections for shard in self.fleet.shards]
        lowest_cap = min((cap for cap in caps if cap), default=UNLIMITED_CONNECTIONS)
        return int(lowest_cap * GATHERERS_PER_CONNECTION / max(1, domains))
