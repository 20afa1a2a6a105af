"""Services and upstreams as declarations and the platform's list have them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.tasks import TaskSet
from mimosahoist.platform import kinds
from mimosahoist.query.service import FeatureFlags, Service, VersionRoute
from mimosahoist.upstream.pool import UpstreamPool
from mimosahoist.upstream.ramp import RampState

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.core.tracing import Traces
    from mimosahoist.peers.facts import FactTable
    from mimosahoist.platform.versioned import VersionedCopy
    from mimosahoist.query.crash_guard import CrashGuard
    from mimosahoist.upstream.quota import ShareView
    from mimosahoist.upstream.transport import Transport

RAMP_PREFIX = "ramp/"


class Caller(NamedTuple):
    """A caller of an organisation."""

    organisation: str
    name: str
    priority: int


class Surroundings(NamedTuple):
    """What every service of an instance shares."""

    transport: Transport
    shares: ShareView
    crash_guard: CrashGuard
    metrics: Metrics
    traces: Traces
    rng: random.Random
    features: FeatureFlags


class Directory:
    """Keeps services, upstreams and callers in line with the copies."""

    def __init__(
        self,
        surroundings: Surroundings,
        objects: VersionedCopy,
        instances: VersionedCopy,
        board: FactTable,
    ) -> None:
        self.surroundings = surroundings
        self.objects = objects
        self.instances = instances
        self.board = board
        self.services: dict[tuple[str, str], Service] = {}
        self.callers: dict[str, Caller] = {}
        self.applied_revision = 0
        self.tasks = TaskSet()
        self.changed = asyncio.Event()
        objects.listeners.append(self.handle_changes)
        instances.listeners.append(self.handle_changes)

    async def start(self) -> None:
        """Begin to follow the copies."""
        self.tasks.spawn(self.follow(), "directory")

    async def close(self) -> None:
        """Close all services."""
        await self.tasks.close()
        for service in self.services.values():
            await service.close()

    def handle_changes(self, changes: list[Any]) -> None:
        """Wake the follower."""
        self.changed.set()

    async def follow(self) -> None:
        """Apply changes one after the other."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            await self.apply()

    async def apply(self) -> None:
        """Bring everything into line with the copies."""
        revision = self.objects.revision
        self.apply_callers()
        await self.apply_services()
        self.apply_domains()
        await self.apply_upstreams()
        self.applied_revision = revision

    def apply_callers(self) -> None:
        """Index callers by the hash of their token."""
        callers = {}
        for _, value in self.objects.values(kinds.ORGANISATION_PREFIX):
            for caller in value["callers"]:
                callers[caller["token_sha256"]] = Caller(
                    value["name"], caller["name"], caller["priority"]
                )
        self.callers = callers

    async def apply_services(self) -> None:
        """Create, replace and remove services."""
        declared: dict[tuple[str, str], tuple[kinds.ServiceSpec, str]] = {}
        for _, value in self.objects.values(kinds.ORGANISATION_PREFIX):
            for spec in value["services"]:
                declared[value["name"], spec["name"]] = (spec, value["preference"])
        for key in list(self.services):
            if key not in declared:
                await self.services.pop(key).close()
        for key, (spec, preference) in declared.items():
            service = self.services.get(key)
            if service is None:
                self.services[key] = self.create_service(key[0], spec, preference)
            else:
                self.update_service(service, spec, preference)

    def create_service(
        self, organisation: str, spec: kinds.ServiceSpec, preference: kinds.Preference
    ) -> Service:
        """Make a service and its pool."""
        around = self.surroundings
        pool = UpstreamPool(spec, around.transport, around.shares, around.metrics, around.rng)
        pool.ramp_listeners.append(self.publish_ramp)
        return Service(
            organisation,
            spec,
            preference,
            pool,
            around.crash_guard,
            around.metrics,
            around.traces,
            around.rng,
            around.features,
        )

    def update_service(
        self, service: Service, spec: kinds.ServiceSpec, preference: kinds.Preference
    ) -> None:
        """Take a changed declaration in; requests in flight go on."""
        service.spec = spec
        service.preference = preference
        service.pool.spec = spec
        for upstream in service.pool.upstreams.values():
            upstream.spec = spec
            upstream.ramp.set_bounds(spec["cold_concurrency"], spec["slots"] + spec["queue"])
            upstream.limit_inputs = None
        if service.route.source == service.route.target:
            version = spec["version"]
            service.set_route(VersionRoute(version, version, 0.0), False)

    def apply_domains(self) -> None:
        """Tell all pools which failure domains are out."""
        out = frozenset(
            value["name"]
            for _, value in self.objects.values(kinds.FAILURE_DOMAIN_PREFIX)
            if value["out"]
        )
        for service in self.services.values():
            if service.pool.domains_out != out:
                service.pool.domains_out = out
                service.pool.invalidate_plans()
                service.pool.notify_capacity()

    async def apply_upstreams(self) -> None:
        """Add, mark and remove upstreams by the platform's list."""
        listed: dict[tuple[str, str], dict[str, Any]] = {}
        for name, record in self.instances.values(""):
            if record["role"] == "searcher":
                key = (record["organisation"], record["service"])
                listed.setdefault(key, {})[name] = record
        for key, service in self.services.items():
            await self.apply_pool(service.pool, listed.get(key, {}))

    async def apply_pool(self, pool: UpstreamPool, listed: dict[str, Any]) -> None:
        """Bring one pool into line with the list."""
        for name in list(pool.upstreams):
            record = listed.get(name)
            if record is None or record["address"] != pool.upstreams[name].address:
                await pool.remove(name)
        for name, record in listed.items():
            upstream = pool.upstreams.get(name)
            if upstream is None:
                upstream = await pool.add(name, record)
                self.adopt_known_ramp(name, upstream)
            leaving = record["state"] == "leaving"
            if upstream.listed_leaving != leaving:
                upstream.listed_leaving = leaving
                pool.invalidate_plans()

    def publish_ramp(self, name: str, state: RampState) -> None:
        """Share a ramp state that was decided here."""
        self.board.publish(RAMP_PREFIX + name, list(state), urgent=True)

    def adopt_known_ramp(self, name: str, upstream: Any) -> None:
        """Give a new upstream object the ramp state that others shared."""
        value = self.board.value(RAMP_PREFIX + name)
        if value is not None:
            upstream.adopt_ramp(RampState(*value))

    def handle_ramp(self, key: str, value: Any) -> None:
        """Adopt a ramp state from another instance."""
        name = key[len(RAMP_PREFIX) :]
        for service in self.services.values():
            upstream = service.pool.upstreams.get(name)
            if upstream is not None:
                upstream.adopt_ramp(RampState(*value))
