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
from mimosahoist.forward.shares import Shares

if TYPE_CHECKING:
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.forward.peers import Peers
    from mimosahoist.forward.relay import Relays

REVIEW_SECONDS = 1.0
SETTLE_SECONDS = 0.1
CONNECTIONS_SHARE = 0.3
UNLIMITED = 1 << 16


class Gathering:
    """Decides who gathers for this instance, and which part of the shared limits it may use.

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
        coverage = self.coverage()
        domains = gathering_domains(coverage)
        live = self.pick(self.peers.alive_names(), domains)
        sharing = {
            gatherer.name
            for found in (live, self.pick(possible, domains))
            for gatherers in found.values()
            for gatherer in gatherers
        }
        gathers = self.settings.name in sharing
        order = domain_order(self.settings.name, self.settings.failure_domain, live)
        self.relays.set_preferred([] if gathers else [live[domain] for domain in order])
        instances = max(self.settings.instances_expected, len(possible))
        self.fleet.set_shares(Shares(instances, len(sharing), gathers))

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

    def pick(self, names: set[str], domains: set[str]) -> dict[str, list[Gatherer]]:
        """Gathering instances among some, in the domains that can gather."""
        picked = pick_gatherers(self.peers.offers(names), self.most(len(domains)))
        return {domain: found for domain, found in picked.items() if domain in domains}

    def most(self, domains: int) -> int:
        """Gathering instances in a domain, so that each may hold some connections."""
        caps = [self.fleet.limits_of(shard).connections for shard in self.fleet.shards]
        least = min((cap for cap in caps if cap), default=UNLIMITED)
        return int(least * CONNECTIONS_SHARE / max(1, domains))
