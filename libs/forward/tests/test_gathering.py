"""Roles follow from the advertisements, the members and the list of upstreams.

Guards against roles that stay behind a change which nobody reports, and against a selection that
is repeated for unchanged inputs: it takes longer the more instances there are.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fakes import HEADER_NAMES, gathering_route

from mimosahoist.forward.declarations import Configuration, SharedBounds, UpstreamRecord
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.gatherers import Gatherer
from mimosahoist.forward.gathering import GatheringRoles
from mimosahoist.forward.instance_settings import InstanceSettings
from mimosahoist.lab.paused_loop import PausedTestCase

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = InstanceSettings("own", "a", "", "", "", "", "", ())
SHARDS = 4


class FakePeers:
    def __init__(self) -> None:
        self.member_listeners: list[Callable[[], None]] = []
        self.gatherers: list[Gatherer] = []
        self.advertisements_version = 0
        self.selections = 0

    def advertise(self, name: str, domain: str) -> None:
        self.gatherers.append(Gatherer(name, domain, "127.0.0.1:1", 1.0))
        self.advertisements_version += 1

    def advertised_gatherers(self, names: frozenset[str]) -> list[Gatherer]:
        self.selections += 1
        return self.gatherers

    def alive_names(self) -> frozenset[str]:
        return frozenset(gatherer.name for gatherer in self.gatherers) | {"own"}

    possibly_alive = alive_names


class RecordingRelays:
    def __init__(self) -> None:
        self.searches: list[list[Gatherer]] = []

    def set_gatherers(self, searches: list[list[Gatherer]], plain: object, shards: object) -> None:
        self.searches = searches


class GatheringRolesTest(PausedTestCase):
    async def start(self) -> None:
        self.peers = FakePeers()
        self.relays = RecordingRelays()
        self.fleet = UpstreamFleet(SharedBounds(), HEADER_NAMES)
        self.fleet.configure(Configuration(1, (gathering_route(SHARDS),)))
        self.roles = GatheringRoles(SETTINGS, self.peers, self.fleet, self.relays)
        await self.roles.start()
        await asyncio.sleep(1.5)

    def domains(self) -> list[str]:
        return [domain[0].failure_domain for domain in self.relays.searches]

    def list_shards(self, domain: str) -> None:
        for number in range(SHARDS):
            name = f"s{number}-{domain}"
            self.fleet.upsert(UpstreamRecord(name, f"s{number}", "127.0.0.1:1", domain))

    async def test_roles_follow_upstreams_and_advertisements_without_a_notification(self) -> None:
        await self.start()
        self.assertEqual(self.domains(), [])
        self.list_shards("b")
        await asyncio.sleep(1.5)
        self.peers.advertise("b-1", "b")
        await asyncio.sleep(1.5)
        self.assertEqual(self.domains(), ["b"])
        self.list_shards("c")
        self.peers.advertise("c-1", "c")
        await asyncio.sleep(1.5)
        self.assertEqual(set(self.domains()), {"b", "c"})
        await self.roles.close()

    async def test_unchanged_inputs_are_not_selected_from_again(self) -> None:
        await self.start()
        self.list_shards("b")
        self.peers.advertise("b-1", "b")
        await asyncio.sleep(1.5)
        before = self.peers.selections
        await asyncio.sleep(20.0)
        self.assertEqual(self.peers.selections, before)
        self.peers.member_listeners[0]()
        await asyncio.sleep(0.2)
        self.assertGreater(self.peers.selections, before)
        await self.roles.close()
