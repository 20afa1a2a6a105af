"""Application object of an entry instance, usable without the daemon."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING, NamedTuple

import tornado.httpserver

from mimosahoist.core import json_log
from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.core.tracing import Traces
from mimosahoist.entry.directory import ServiceDependencies, ServiceDirectory
from mimosahoist.entry.share_claimer import ShareClaimer
from mimosahoist.entry.shared_facts import (
    CRASH_PREFIX,
    CrashFacts,
    RampFacts,
    crash_record,
    crash_value,
)
from mimosahoist.moves.controller import Confirmation, MoveController
from mimosahoist.moves.follower import MoveFollower
from mimosahoist.peers.exchange import Identity, PeerExchange
from mimosahoist.peers.facts import FactTable
from mimosahoist.peers.feed import StoreFeed
from mimosahoist.peers.members import OBSERVED_PREFIX, MemberState
from mimosahoist.peers.zmq_transport import ClusterKeys, ZmqPeerTransport
from mimosahoist.platform.http_store import HttpPlatformStore
from mimosahoist.platform.versioned import VersionedCopy
from mimosahoist.query.crash_guard import CrashGuard
from mimosahoist.query.idempotency import IdempotencyStore
from mimosahoist.query.plan import make_plan
from mimosahoist.query.service import FeatureFlags
from mimosahoist.upstream.curl_transport import CurlTransport
from mimosahoist.upstream.quota import ShareView

if TYPE_CHECKING:
    from typing import Any

    from mimosahoist.entry.settings import EntrySettings
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.kinds import MoveSpec
    from mimosahoist.platform.store import PlatformStore
    from mimosahoist.query.request import SearchResult
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.transport import Transport

DEFAULT_SAMPLE_RATIO = 0.01
DEFAULT_DRAIN_NOTICE_SECONDS = 1.0
DEFAULT_DRAIN_TIMEOUT_SECONDS = 60.0
DRAIN_POLL_SECONDS = 0.02
DRAIN_IDLE_SECONDS = 0.3
REVISION_POLL_SECONDS = 0.1
READY_TIMEOUT_SECONDS = 15.0


class Adapters(NamedTuple):
    """Adapters to upstreams, peers and the platform's store; tests supply their own."""

    upstreams: Transport
    peers: PeerTransport
    store: PlatformStore


def make_adapters(settings: EntrySettings, metrics: Metrics) -> Adapters:
    """Create the daemon's adapters: HTTP to upstreams and platform, ZeroMQ to peers."""
    peers = settings["peers"]
    keys = ClusterKeys(peers["public_key"], peers["secret_key"])
    return Adapters(
        CurlTransport(),
        ZmqPeerTransport(peers["address"], keys, metrics),
        HttpPlatformStore(settings["platform"]["url"]),
    )


class EntryApplication:
    """Creates the components of an entry instance and controls their lifecycle."""

    def __init__(
        self,
        settings: EntrySettings,
        metrics: Metrics,
        adapters: Adapters,
        rng: random.Random,
        incarnation: int | None = None,
        features: FeatureFlags | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.adapters = adapters
        self.rng = rng
        instance = settings["instance"]
        self.identity = Identity(
            instance["cluster"],
            instance["name"],
            incarnation or int(time.time() * 1000),
            settings["peers"]["address"],
            settings["listen"]["http"],
            instance["failure_domain"],
        )
        ratio = settings.get("traces", {}).get("sample_ratio", DEFAULT_SAMPLE_RATIO)
        self.traces = Traces(instance["name"], ratio, rng)
        self.request_numbers = itertools.count(1)
        self.open_requests = 0
        self.draining = False
        self.ready_since: float | None = None
        self.ready_deadline = float("inf")
        self.tasks = TaskSet()
        self.server: tornado.httpserver.HTTPServer | None = None
        self.admin_server: tornado.httpserver.HTTPServer | None = None
        self.create_components(features or FeatureFlags())

    def create_components(self, features: FeatureFlags) -> None:
        """Create the components and connect them."""
        store = self.adapters.store
        self.objects = VersionedCopy()
        self.instances = VersionedCopy()
        self.fact_table = FactTable()
        self.exchange = PeerExchange(
            self.identity,
            self.adapters.peers,
            self.fact_table,
            self.objects,
            self.instances,
            self.metrics,
            self.rng,
            self.settings["peers"].get("seeds", []),
        )
        self.feed = StoreFeed(store, self.exchange, self.objects, self.instances, self.metrics)
        self.shares = ShareView(self.settings["peers"]["shares"])
        self.crash_guard = CrashGuard(self.metrics)
        self.directory = ServiceDirectory(
            ServiceDependencies(
                self.adapters.upstreams,
                self.shares,
                self.crash_guard,
                self.metrics,
                self.traces,
                self.rng,
                features,
            ),
            self.objects,
            self.instances,
            self.fact_table,
        )
        self.share_claimer = ShareClaimer(
            store, self.exchange, self.feed, self.objects, self.shares, self.metrics
        )
        self.idempotency = IdempotencyStore(store, self.identity.instance, self.metrics)
        self.follower = MoveFollower(
            self.identity.instance, self.fact_table, self.objects, self.find_service
        )
        self.controller = MoveController(
            store,
            self.follower,
            self.feed.is_watcher,
            self.revision_confirmation,
            self.target_is_warm,
            self.metrics,
        )
        self.register_facts()

    def register_facts(self) -> None:
        """Register the kinds of facts exchanged with peers and their handlers."""
        self.fact_table.register(RampFacts(), self.directory.handle_ramp)
        self.fact_table.register(CrashFacts(), self.handle_crash)
        self.crash_guard.listeners.append(self.publish_crash)

    async def start(self) -> None:
        """Start all components; the HTTP servers are opened separately."""
        self.ready_deadline = now() + READY_TIMEOUT_SECONDS
        await self.adapters.store.start()
        await self.adapters.upstreams.start()
        await self.exchange.start()
        await self.feed.start()
        await self.directory.start()
        await self.share_claimer.start()
        await self.follower.start()
        await self.controller.start()
        self.tasks.keep_running(self.publish_applied_revisions, "applied revision")

    async def drain(self) -> None:
        """Shut down gracefully.

        Readiness fails first, so that the load balancer stops sending requests. Open requests then
        complete, the share is released, and the instance leaves the cluster.
        """
        self.draining = True
        json_log.info("draining")
        drain_settings = self.settings.get("drain", {})
        await asyncio.sleep(drain_settings.get("notice", DEFAULT_DRAIN_NOTICE_SECONDS))
        if self.server is not None:
            self.server.stop()
        await self.wait_until_idle(
            now() + drain_settings.get("longest", DEFAULT_DRAIN_TIMEOUT_SECONDS)
        )
        await self.share_claimer.release()
        await self.exchange.leave()

    async def wait_until_idle(self, deadline: float) -> None:
        """Wait until no request has been open for `DRAIN_IDLE_SECONDS`, or until the deadline."""
        idle_since = now()
        while now() < deadline and now() - idle_since < DRAIN_IDLE_SECONDS:
            if self.open_requests:
                idle_since = now()
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def close(self) -> None:
        """Stop all components without waiting for open requests."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()
        if self.admin_server is not None:
            self.admin_server.stop()
            await self.admin_server.close_all_connections()
        await self.tasks.close()
        await self.controller.close()
        await self.follower.close()
        await self.share_claimer.close()
        await self.idempotency.close()
        await self.feed.close()
        await self.directory.close()
        await self.exchange.close()
        await self.adapters.upstreams.close()
        await self.adapters.store.close()

    def ready(self) -> bool:
        """Return whether the load balancer should send requests to this instance.

        A new instance waits until it can reach every shard, for at most `READY_TIMEOUT_SECONDS`,
        because a shard may be lost permanently.
        """
        if self.draining or self.shares.index is None:
            return False
        if self.ready_since is None and (
            self.all_services_reachable() or now() > self.ready_deadline
        ):
            self.ready_since = now()
        return self.ready_since is not None

    def all_services_reachable(self) -> bool:
        """Return whether every part of every service has an upstream with free capacity."""
        services = self.directory.services.values()
        return bool(services) and all(service.can_serve_all_shards() for service in services)

    def next_request_id(self) -> str:
        """Return a request id that is unique across instances and restarts."""
        return (
            f"{self.identity.instance}-{self.identity.incarnation:x}-{next(self.request_numbers)}"
        )

    def find_service(self, organisation: str, name: str) -> Service | None:
        """Return a service by organisation and name."""
        return self.directory.services.get((organisation, name))

    def record_search_metrics(self, name: str, result: SearchResult, elapsed: float) -> None:
        """Record the latency and coverage of an answered search."""
        metric_label = name.replace("-", "_")
        self.metrics.latency(f"search_{metric_label}").record(elapsed)
        self.metrics.count(f"searches_{metric_label}")
        if result.answered < result.shards:
            self.metrics.count(f"searches_partial_{metric_label}")
            self.metrics.count("shards_missing", result.shards - result.answered)

    def publish_crash(self, fingerprint: str, record: Any) -> None:
        """Publish a crash record to the other instances."""
        self.fact_table.publish(CRASH_PREFIX + fingerprint, crash_value(record), urgent=True)

    def handle_crash(self, key: str, value: Any) -> None:
        """Merge a crash record received from another instance."""
        self.crash_guard.join(key[len(CRASH_PREFIX) :], crash_record(value))

    async def publish_applied_revisions(self) -> None:
        """Publish the applied store revision to the other instances when it changes."""
        published = -1
        while True:
            if self.directory.applied_revision != published:
                published = self.directory.applied_revision
                self.follower.refresh()
                self.exchange.publish_observed_revision(published)
            await asyncio.sleep(REVISION_POLL_SECONDS)

    def revision_confirmation(self, revision: int) -> Confirmation:
        """Return which live instances have reported a revision as applied, and which have not."""
        live = set(self.exchange.reachable_peers()) | {self.identity.instance}
        for name, record in self.instances.values(""):
            if record["role"] == "entry" and record["state"] == "live" and not self.has_left(name):
                live.add(name)
        confirmed = {name for name in live if self.reported_revision(name) >= revision}
        return Confirmation(sorted(confirmed), sorted(live - confirmed))

    def has_left(self, name: str) -> bool:
        """Return whether a member has announced that it leaves the cluster."""
        member = self.exchange.members().get(name)
        return member is not None and member.state == MemberState.LEFT

    def reported_revision(self, name: str) -> int:
        """Return the store revision that an instance has reported as applied."""
        value = self.fact_table.value(OBSERVED_PREFIX + name)
        return value[1] if value else 0

    def target_is_warm(self, spec: MoveSpec) -> bool:
        """Return whether warm upstreams of a move's target version cover every shard."""
        service = self.find_service(spec["organisation"], spec["service"])
        if service is None:
            return False
        warm = [
            upstream
            for upstream in service.pool.upstreams.values()
            if upstream.version == spec["target"] and upstream.ramp.warm
        ]
        if service.spec["kind"] == "run":
            return bool(warm)
        plan = make_plan(warm, (spec["target"],), now())
        return plan is not None and not plan.uncovered_shards
