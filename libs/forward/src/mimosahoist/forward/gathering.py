"""Keeps the roles of gathering up to date with members, upstreams and configuration."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from mimosahoist.core.tasks import TaskSet
from mimosahoist.forward.gatherers import (
    Gatherer,
    domain_order,
    gathering_domains,
    pick_gatherers,
)
from mimosahoist.forward.shares import FleetShares, Shares

if TYPE_CHECKING:
    from collections.abc import Set

    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.forward.peers import Peers
    from mimosahoist.forward.relay import Relays

REVIEW_SECONDS = 1.0
SETTLE_SECONDS = 0.1
CONNECTIONS_SHARE = 0.3
UNLIMITED = 1 << 16


class Gathering:
    """Decides who serves for this instance, and which part of the shared limits it may use.

    Searches go to a domain that holds the shards; repeatable plain requests stay in their domain,
    where few instances know its upstreams better than many and share fewer parts of the budget.

    Instances beyond a cut may still be at work, so limits are divided by all that have not said
    that they left, while searches go only to those that answer probes.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        peers: Peers,
        fleet: UpstreamFleet,
        relays: Relays,
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.fleet = fleet
        self.relays = relays
        self.tasks = TaskSet()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Begin to follow members, upstreams and configuration."""
        self.peers.member_listeners.append(self.changed.set)
        self.tasks.spawn(self.run(), "review roles")

    async def close(self) -> None:
        """Stop."""
        await self.tasks.close()

    async def run(self) -> None:
        """Review after changes, several at a time, and now and then."""
        while True:
            try:
                async with asyncio.timeout(REVIEW_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.changed.clear()
            self.review()
            await asyncio.sleep(SETTLE_SECONDS)

    def review(self) -> None:
        """Work out the roles anew."""
        possible = self.peers.possibly_alive() | {self.settings.name}
        domains = gathering_domains(self.coverage())
        live = self.pick(self.peers.alive_names(), len(domains))
        maybe = self.pick(possible, len(domains))
        instances = max(self.settings.instances_expected, len(possible))
        shards = self.shares(instances, [*live.items(), *maybe.items()], domains)
        plain = self.shares(instances, [*live.items(), *maybe.items()], live.keys() | maybe.keys())
        self.fleet.set_shares(FleetShares(shards, plain))
        own_domain = self.settings.failure_domain
        order = domain_order(self.settings.name, own_domain, live.keys() & domains)
        self.relays.set_preferred(
            [] if shards.gathers else [live[domain] for domain in order],
            [] if plain.gathers else [live.get(own_domain, [])],
            {domain: found for domain, found in live.items() if domain != own_domain},
        )

    def shares(
        self, instances: int, picked: list[tuple[str, list[Gatherer]]], domains: Set[str]
    ) -> Shares:
        """Shares of a limit, by who may serve for others in some domains."""
        names = {
            gatherer.name
            for domain, gatherers in picked
            if domain in domains
            for gatherer in gatherers
        }
        return Shares(instances, len(names), self.settings.name in names)

    def coverage(self) -> dict[str, float]:
        """Share of the shards of which each failure domain in use has an upstream."""
        held: Counter[str] = Counter()
        for shard in self.fleet.shards:
            held.update(
                {
                    upstream.record.failure_domain
                    for upstream in self.fleet.services.get(shard, {}).values()
                    if not upstream.record.leaving
                }
            )
        return {
            domain: count / len(self.fleet.shards)
            for domain, count in held.items()
            if domain not in self.fleet.domains_out
        }

    def pick(self, names: set[str], domains: int) -> dict[str, list[Gatherer]]:
        """Instances that serve for others, among some, by failure domain."""
        return pick_gatherers(self.peers.advertised_gatherers(names), self.most(domains))

    def most(self, domains: int) -> int:
        """Gathering instances in a domain, so that each may hold some connections."""
        caps = [self.fleet.limits_of(shard).connections for shard in self.fleet.shards]
        least = min((cap for cap in caps if cap), default=UNLIMITED)
        return int(least * CONNECTIONS_SHARE / max(1, domains))
