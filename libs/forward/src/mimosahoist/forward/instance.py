"""A forwarding instance: its components, servers and orderly shutdown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer

from mimosahoist.core import json_log
from mimosahoist.core.process_memory import KernelMemory
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.callers.intake import Intake, limits_of_machine
from mimosahoist.forward.callers.servers import CallerServer, FrontendServer, StatusServer
from mimosahoist.forward.callers.stream import READ_CHUNK_BYTES
from mimosahoist.forward.delegation import Delegation
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.domain_reachability import REACHABILITY_INTERVAL_SECONDS
from mimosahoist.forward.engine import ForwardEngine
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.follower import StoreFollower
from mimosahoist.forward.front import CallerFrontend
from mimosahoist.forward.gathering import GatheringRoles
from mimosahoist.forward.merge import RecordMerger
from mimosahoist.forward.organisations.configuration_lease import ConfigurationLease
from mimosahoist.forward.organisations.confirmation import ConfigurationConfirmer
from mimosahoist.forward.organisations.usage_reporter import UsageReporter
from mimosahoist.forward.peers import Peers
from mimosahoist.forward.relay import RelayClient
from mimosahoist.forward.relay_server import RelayDispatcher
from mimosahoist.forward.rollout_controller import RolloutController
from mimosahoist.forward.shares import FleetShares, Shares
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.forward.status import StatusService, StatusSource
from mimosahoist.platform.watched import WatchedKind

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route, SharedBounds
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.forward.organisations.usage_platform import UsagePlatform
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.watched import WatchedItem, WatchedStore

# `CallerFrontend` enforces the limits of the configuration itself.
MAX_BODY_BYTES = 1 << 30
# Fields that a relayed request has beside those of its caller.
RELAYED_FIELDS_BYTES = 16 << 10
DEFAULT_BACKLOG = 128
# Checks of the load balancer that wait behind a crowd. Beyond so many connections the kernel drops
# the first packets of new ones, which are sent again after seconds only.
STATUS_BACKLOG = 1024
DRAIN_NOTICE_SECONDS = 2.5
DRAIN_MARGIN_SECONDS = 0.5
DRAIN_POLL_INTERVAL_SECONDS = 0.02
COUNTERS_INTERVAL_SECONDS = 10.0
WATCH_CALLERS_INTERVAL_SECONDS = 0.25


class ForwardingInstance(StatusSource):
    """Creates, connects and runs the components of one instance."""

    def __init__(
        self,
        settings: InstanceSettings,
        bounds: SharedBounds,
        header_names: HeaderNames,
        store: WatchedStore,
        peer_transport: PeerTransport,
        metrics: Metrics,
        rng: random.Random,
        usage_platform: UsagePlatform | None = None,
    ) -> None:
        self.settings = settings
        self.bounds = bounds
        self.metrics = metrics
        self.store = store
        self.rng = rng
        self.tasks = TaskSet()
        self.fleet = UpstreamFleet(bounds, header_names, settings.name, metrics)
        initial_shares = Shares(settings.expected_instances)
        self.fleet.set_shares(FleetShares(initial_shares, initial_shares))
        self.state_cache = StateCache(self.fleet)
        self.state_cache.listeners.append(self.handle_item)
        self.engine = ForwardEngine(
            self.fleet, header_names, RecordMerger(), settings.failure_domain, self.metrics, rng
        )
        self.peers = Peers(settings, peer_transport, self.state_cache, self.metrics, rng)
        self.peers.share_crash_records(self.engine.crashes)
        self.peers.share_announcements(self.fleet)
        self.relays = RelayClient(self.engine)
        self.gathering = GatheringRoles(settings, self.peers, self.fleet, self.relays)
        self.follower = StoreFollower(
            store,
            self.state_cache,
            bounds.recheck_seconds,
            self.metrics,
            rng,
            self.peers,
        )
        self.follower.recovery_listeners.append(self.peers.publish_recovery)
        self.peers.recovery_listeners.append(self.follower.defer_removals)
        self.follower.synced_listeners.append(self.peers.publish_synced_revision)
        self.peers.synced_listeners.append(self.follower.revisions.advance_to)
        self.rollouts = RolloutController(store, self.state_cache, self.fleet, self.peers, metrics)
        self.engine.call_listeners.append(self.rollouts.record_call)
        delegation = Delegation(self.engine, self.relays)
        self.dispatcher = Dispatcher(
            self.state_cache,
            self.engine,
            header_names,
            self.metrics,
            self.relays,
            delegation,
        )
        self.confirmer = ConfigurationConfirmer(
            ConfigurationLease(bounds.revocation_seconds),
            self.state_cache,
            self.follower,
            self.peers,
            metrics,
            rng,
        )
        self.dispatcher.keys_current = lambda: self.confirmer.holds
        self.usage: UsageReporter | None = None
        if settings.usage is not None and usage_platform is not None:
            self.usage = UsageReporter(
                settings.usage, usage_platform, self.peers, self.has_organisations, metrics
            )
            self.dispatcher.usage_meter = self.usage.meter
        limits = limits_of_machine(settings.memory_bytes, settings.max_descriptors)
        self.fleet.receive_buffers.max_total_bytes = limits.receiving_bytes
        self.fleet.receive_buffers.sockets.maximum = limits.upstream_connections
        self.frontend = CallerFrontend(self.dispatcher, Intake(limits, KernelMemory()))
        self.relay_dispatcher = RelayDispatcher(
            self.state_cache, self.engine, header_names, metrics, delegation
        )
        self.relay_frontend = CallerFrontend(self.relay_dispatcher)
        self.servers: list[HTTPServer] = []
        self.relay_server: FrontendServer | None = None
        self.draining = False
        self.can_serve = True

    async def start(self) -> None:
        """Start all components and listen."""
        self.fleet.started = now()
        await self.store.start()
        await self.peers.start()
        await self.follower.start()
        await self.rollouts.start()
        await self.gathering.start()
        await self.confirmer.start()
        if self.usage is not None:
            await self.usage.start()
        self.caller_server = CallerServer(self.frontend, max_body_size=MAX_BODY_BYTES)
        listen_on(self.caller_server, self.settings.callers_address)
        status_service = StatusService(self, self.settings.readiness_path)
        self.servers = [self.caller_server]
        if self.settings.relay_address:
            relay_server = FrontendServer(
                self.relay_frontend,
                max_header_size=self.max_relayed_header_bytes,
                max_body_size=MAX_BODY_BYTES,
                chunk_size=READ_CHUNK_BYTES,
            )
            listen_on(relay_server, self.settings.relay_address)
            self.relay_server = relay_server
            self.servers.append(relay_server)
        for address in (self.settings.readiness_address, self.settings.metrics_address):
            server = StatusServer(status_service, metrics=self.metrics)
            listen_on(server, address, STATUS_BACKLOG)
            self.servers.append(server)
        self.tasks.keep_running(self.watch_callers, "watch callers")
        self.tasks.keep_running(self.monitor_reachability, "monitor reachability")
        self.tasks.keep_running(self.log_counters, "log counters")
        self.tasks.keep_running(self.log_repeat_usage, "log repeat budgets")
        json_log.info("listening", address=self.settings.callers_address)

    @property
    def max_relayed_header_bytes(self) -> int:
        """Largest head of a request that another instance relays."""
        return self.dispatcher.limits.header_bytes + RELAYED_FIELDS_BYTES

    def has_organisations(self) -> bool:
        """Whether the configuration in force declares organisations."""
        routes = self.state_cache.routes
        return routes is not None and routes.keys.enabled

    def handle_item(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Update limits and roles after a change of configuration or evacuated failure domains."""
        if kind in (WatchedKind.CONFIGURATION, WatchedKind.DOMAINS_OUT):
            self.gathering.changed.set()
        if kind is WatchedKind.CONFIGURATION:
            if self.state_cache.routes is not None:
                self.engine.gate.configure(self.state_cache.routes.configuration)
            self.caller_server.conn_params.header_timeout = self.dispatcher.limits.idle_timeout
            if self.relay_server is not None:
                self.relay_server.conn_params.max_header_size = self.max_relayed_header_bytes

    async def log_counters(self) -> None:
        """Log all counters periodically, so that rates can be derived from the log alone."""
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_SECONDS)
            json_log.info("counters", **self.metrics.counters)

    async def log_repeat_usage(self) -> None:
        """Log once a window how much of each service's repeat budget this instance has used.

        The bound applies to the sum over all instances, so it can only be compared with the
        lines of all of them.
        """
        while True:
            await asyncio.sleep(self.bounds.repeat_window)
            usages = self.fleet.repeat_usage(now())
            if usages:
                json_log.info(
                    "repeat budgets",
                    services={
                        service: [usage.first, usage.repeats, round(usage.allowed, 1)]
                        for service, usage in usages.items()
                    },
                )

    def apply_bounds(self, bounds: SharedBounds) -> None:
        """Apply changed bounds."""
        self.bounds = bounds
        self.fleet.set_bounds(bounds)
        self.follower.recheck_seconds = bounds.recheck_seconds
        self.confirmer.lease.set_revocation(bounds.revocation_seconds)
        json_log.info("bounds changed", **bounds._asdict())

    async def watch_callers(self) -> None:
        """Periodically end the connections of callers that don't keep to the time-outs."""
        while True:
            await asyncio.sleep(WATCH_CALLERS_INTERVAL_SECONDS)
            at = now()
            self.frontend.refuse_slow_headers(at)
            self.frontend.close_left_connections()
            self.frontend.close_stuck_writers(at)
            self.frontend.intake.relieve(at)
            self.frontend.log_intake()

    async def monitor_reachability(self) -> None:
        """Periodically update reachability and readiness."""
        while True:
            await asyncio.sleep(REACHABILITY_INTERVAL_SECONDS)
            at = now()
            for domain in self.peers.domains_heard_since(at - REACHABILITY_INTERVAL_SECONDS):
                self.engine.reachability.record_peer_contact(domain, at)
            self.engine.reachability.evaluate(at)
            can_serve = not self.engine.reachability.suspected_domains or self.can_serve_routes()
            if can_serve != self.can_serve:
                json_log.info("able to serve", able=can_serve)
                self.can_serve = can_serve

    def can_serve_routes(self) -> bool:
        """Whether all `gathering_routes` can be served from the reachable failure domains.

        If not, callers are better served by instances on the other side of the network partition.
        """
        if self.state_cache.routes is None:
            return False
        suspected = self.engine.reachability.suspected_domains
        return all(self.engine.is_reachable(route, suspected) for route in self.gathering_routes())

    def gathering_routes(self) -> list[Route]:
        """Gathering routes, or all routes if there are none."""
        routes = self.state_cache.routes.configuration.routes
        return [route for route in routes if route.shards] or list(routes)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""
        known = self.state_cache.routes is not None and bool(self.fleet.by_name)
        return known and self.can_serve and self.confirmer.holds and not self.draining

    def render_metrics(self) -> str:
        """All counters and latencies as text."""
        return self.metrics.render()

    async def drain(self) -> None:
        """Drain: announce the stop, accept no new connections and finish requests in flight."""
        started = now()
        self.draining = True
        self.frontend.draining = True
        self.caller_server.conn_params.no_keep_alive = True
        self.relay_dispatcher.draining = True
        self.peers.advertise(0.0, "")
        json_log.info("draining", open_requests=self.frontend.open_requests)
        await asyncio.sleep(min(DRAIN_NOTICE_SECONDS, self.bounds.grace_seconds / 2))
        self.caller_server.stop()
        self.frontend.stop_accepting()
        drain_until = started + self.bounds.grace_seconds - DRAIN_MARGIN_SECONDS
        self.frontend.close_idle_connections()
        while self.has_open_work and now() < drain_until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
            self.frontend.close_idle_connections()
        json_log.info("drained", open_requests=self.frontend.open_requests)
        await self.frontend.end_open_requests()
        if self.usage is not None:
            await self.usage.flush()
        await self.peers.leave()

    @property
    def has_open_work(self) -> bool:
        """Whether callers are connected or relayed requests are in progress."""
        return bool(self.frontend.open_connections or self.relay_frontend.open_requests)

    async def close(self) -> None:
        """Stop all components."""
        for server in self.servers:
            server.stop()
        await self.tasks.close()
        await self.gathering.close()
        if self.usage is not None:
            await self.usage.close()
        await self.confirmer.close()
        await self.rollouts.close()
        await self.follower.close()
        await self.frontend.tasks.close()
        await self.relay_frontend.tasks.close()
        self.relays.close()
        await self.engine.close()
        await self.peers.close()
        await self.store.close()
        for server in self.servers:
            await server.close_all_connections()


def listen_on(server: HTTPServer, address: str, backlog: int = DEFAULT_BACKLOG) -> None:
    """Listen on an address ``host:port``."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host, backlog=backlog)
