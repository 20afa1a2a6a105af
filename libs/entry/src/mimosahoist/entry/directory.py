"""Services, upstreams and callers built from declarations and the platform's list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from mimosahoist.core.tasks import TaskSet
from mimosahoist.platform import kinds
from mimosahoist.query.service import FeatureFlags, Service, VersionSplit
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
    """An authenticated caller of an organisation."""

    organisation: str
    name: str
    priority: int


class ServiceDependencies(NamedTuple):
    """Objects that all services of an instance share."""

    transport: Transport
    shares: ShareView
    crash_guard: CrashGuard
    metrics: Metrics
    traces: Traces
    rng: random.Random
    features: FeatureFlags


class ServiceDirectory:
    """Keeps services, upstreams and callers in sync with the local copies of the store."""

    def __init__(
        self,
        dependencies: ServiceDependencies,
        objects: VersionedCopy,
        instances: VersionedCopy,
        fact_table: FactTable,
    ) -> None:
        self.dependencies = dependencies
        self.objects = objects
        self.instances = instances
        self.fact_table = fact_table
        self.services: dict[tuple[str, str], Service] = {}
        self.callers: dict[str, Caller] = {}
        self.applied_revision = 0
        self.tasks = TaskSet()
        self.changed = asyncio.Event()
        objects.listeners.append(self.handle_changes)
        instances.listeners.append(self.handle_changes)

    async def start(self) -> None:
        """Start applying changes of the local copies."""
        self.tasks.keep_running(self.run, "directory")

    async def close(self) -> None:
        """Stop applying changes and close all services."""
        await self.tasks.close()
        for service in self.services.values():
            await service.close()

    def handle_changes(self, changes: list[Any]) -> None:
        """Wake the task that applies changes."""
        self.changed.set()

    async def run(self) -> None:
        """Apply the local copies whenever they change, one pass at a time."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            try:
                await self.apply()
            except Exception:
                self.changed.set()
                raise

    async def apply(self) -> None:
        """Apply callers, services, failure domains and upstreams from the local copies.

        `applied_revision` is the revision read at the start of the pass, because the copies can
        change while services and upstreams are updated.
        """
        revision = self.objects.revision
        self.apply_callers()
        await self.apply_services()
        self.apply_domains()
        await self.apply_upstreams()
        self.applied_revision = revision

    def apply_callers(self) -> None:
        """Index callers by the SHA-256 of their bearer token."""
        callers = {}
        for _, value in self.objects.values(kinds.ORGANISATION_PREFIX):
            for caller in value["callers"]:
                callers[caller["token_sha256"]] = Caller(
                    value["name"], caller["name"], caller["priority"]
                )
        self.callers = callers

    async def apply_services(self) -> None:
        """Create, update and remove services."""
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
        """Create a service and its upstream pool."""
        dependencies = self.dependencies
        pool = UpstreamPool(
            spec,
            dependencies.transport,
            dependencies.shares,
            dependencies.metrics,
            dependencies.rng,
        )
        pool.ramp_listeners.append(self.publish_ramp)
        return Service(
            organisation,
            spec,
            preference,
            pool,
            dependencies.crash_guard,
            dependencies.metrics,
            dependencies.traces,
            dependencies.rng,
            dependencies.features,
        )

    def update_service(
        self, service: Service, spec: kinds.ServiceSpec, preference: kinds.Preference
    ) -> None:
        """Apply a changed declaration in place; requests in flight continue."""
        service.spec = spec
        service.preference = preference
        service.pool.spec = spec
        for upstream in service.pool.upstreams.values():
            upstream.spec = spec
            upstream.ramp.set_bounds(spec["cold_concurrency"], spec["slots"] + spec["queue"])
            upstream.limit_inputs = None
        if service.version_split.source == service.version_split.target:
            version = spec["version"]
            service.set_version_split(VersionSplit(version, version, 0.0), False)

    def apply_domains(self) -> None:
        """Pass the drained failure domains to all pools."""
        drained = frozenset(
            value["name"]
            for _, value in self.objects.values(kinds.FAILURE_DOMAIN_PREFIX)
            if value["out"]
        )
        for service in self.services.values():
            if service.pool.domains_out != drained:
                service.pool.domains_out = drained
                service.pool.invalidate_plans()
                service.pool.notify_capacity()

    async def apply_upstreams(self) -> None:
        """Add, update and remove upstreams according to the platform's list."""
        records_by_service: dict[tuple[str, str], dict[str, Any]] = {}
        for name, record in self.instances.values(""):
            if record["role"] == "searcher":
                key = (record["organisation"], record["service"])
                records_by_service.setdefault(key, {})[name] = record
        for key, service in self.services.items():
            await self.apply_pool(service.pool, records_by_service.get(key, {}))

    async def apply_pool(self, pool: UpstreamPool, listed: dict[str, Any]) -> None:
        """Apply the listed upstreams of one service to its pool.

        An upstream whose address changed is removed and added again.
        """
        for name in list(pool.upstreams):
            record = listed.get(name)
            if record is None or record["address"] != pool.upstreams[name].address:
                await pool.remove(name)
        for name, record in listed.items():
            upstream = pool.upstreams.get(name)
            if upstream is None:
                upstream = await pool.add(name, record)
                self.restore_ramp(name, upstream)
            leaving = record["state"] == "leaving"
            if upstream.listed_leaving != leaving:
                upstream.listed_leaving = leaving
                pool.invalidate_plans()

    def publish_ramp(self, name: str, state: RampState) -> None:
        """Publish a warm-up ramp state set by this instance to its peers."""
        self.fact_table.publish(RAMP_PREFIX + name, list(state), urgent=True)

    def restore_ramp(self, name: str, upstream: Any) -> None:
        """Apply the ramp state known from peers to a newly added upstream."""
        value = self.fact_table.value(RAMP_PREFIX + name)
        if value is not None:
            upstream.adopt_ramp(RampState(*value))

    def handle_ramp(self, key: str, value: Any) -> None:
        """Apply a ramp state received from another instance."""
        name = key[len(RAMP_PREFIX) :]
        for service in self.services.values():
            upstream = service.pool.upstreams.get(name)
            if upstream is not None:
                upstream.adopt_ramp(RampState(*value))
