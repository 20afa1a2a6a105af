"""A forwarding instance as a library object."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import tornado.web
from tornado.httpserver import HTTPServer

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.delegation import Delegation
from mimosahoist.forward.dispatcher import Dispatcher
from mimosahoist.forward.engine import ForwardEngine
from mimosahoist.forward.fleet import UpstreamFleet
from mimosahoist.forward.follower import StoreFollower
from mimosahoist.forward.front import CallerFront
from mimosahoist.forward.gathering import GatheringRoles
from mimosahoist.forward.merge import RecordMerger
from mimosahoist.forward.peers import Peers
from mimosahoist.forward.relay import Relays
from mimosahoist.forward.relay_server import RelayDispatcher
from mimosahoist.forward.rollout_controller import RolloutController
from mimosahoist.forward.shares import FleetShares, Shares
from mimosahoist.forward.state_cache import StateCache
from mimosahoist.platform.watched import WatchedKind

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.declarations import Route, SharedBounds
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.watched import WatchedItem, WatchedStore

UNLIMITED_BYTES = 1 << 30
MAX_HEADER_BYTES = 1 << 20
DRAIN_NOTICE_SECONDS = 2.5
DRAIN_MARGIN_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.02
COUNTERS_SECONDS = 10.0
REACH_SECONDS = 0.25


class ForwardingInstance:
    """Wires the parts of one instance together."""

    def __init__(
        self,
        settings: InstanceSettings,
        bounds: SharedBounds,
        names: HeaderNames,
        store: WatchedStore,
        peer_transport: PeerTransport,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.bounds = bounds
        self.metrics = metrics
        self.store = store
        self.rng = rng
        self.tasks = TaskSet()
        self.fleet = UpstreamFleet(bounds, names)
        alone = Shares(settings.instances_expected)
        self.fleet.set_shares(FleetShares(alone, alone))
        self.state_cache = StateCache(self.fleet)
        self.state_cache.listeners.append(self.handle_belief)
        self.engine = ForwardEngine(
            self.fleet, names, RecordMerger(), settings.failure_domain, self.metrics, rng
        )
        self.peers = Peers(settings, peer_transport, self.state_cache, self.metrics, rng)
        self.peers.share_crash_records(self.engine.crashes)
        self.relays = Relays(self.engine)
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
        self.engine.call_listeners.append(self.rollouts.record)
        self.dispatcher = Dispatcher(
            self.state_cache,
            self.engine,
            names,
            self.metrics,
            self.relays,
            Delegation(self.engine, self.relays),
        )
        self.front = CallerFront(self.dispatcher)
        self.relay_dispatcher = RelayDispatcher(self.state_cache, self.engine, names, metrics)
        self.relay_front = CallerFront(self.relay_dispatcher)
        self.servers: list[HTTPServer] = []
        self.draining = False
        self.able = True

    async def start(self) -> None:
        """Start all parts and listen."""
        await self.store.start()
        await self.peers.start()
        await self.follower.start()
        await self.rollouts.start()
        await self.gathering.start()
        self.callers = HTTPServer(
            self.front, max_header_size=MAX_HEADER_BYTES, max_body_size=UNLIMITED_BYTES
        )
        listen_on(self.callers, self.settings.callers_address)
        status = tornado.web.Application(
            [
                (self.settings.readiness_path, ReadinessHandler, {"instance": self}),
                (r"/metrics", MetricsHandler, {"instance": self}),
            ]
        )
        self.servers = [self.callers]
        if self.settings.relay_address:
            relayed = HTTPServer(
                self.relay_front, max_header_size=MAX_HEADER_BYTES, max_body_size=UNLIMITED_BYTES
            )
            listen_on(relayed, self.settings.relay_address)
            self.servers.append(relayed)
        for address in (self.settings.readiness_address, self.settings.metrics_address):
            server = HTTPServer(status)
            listen_on(server, address)
            self.servers.append(server)
        self.tasks.spawn(self.watch_reach(), "watch reach")
        self.tasks.spawn(self.log_counters(), "log counters")
        json_log.info("listening", address=self.settings.callers_address)

    def handle_belief(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Put the callers' limits and the roles of a new configuration in force."""
        if kind in (WatchedKind.CONFIGURATION, WatchedKind.DOMAINS_OUT):
            self.gathering.changed.set()
        if kind is WatchedKind.CONFIGURATION:
            self.callers.conn_params.header_timeout = self.dispatcher.limits.idle_timeout

    async def log_counters(self) -> None:
        """Log all counters now and then, so that a log alone tells rates."""
        while True:
            await asyncio.sleep(COUNTERS_SECONDS)
            json_log.info("counters", **self.metrics.counters)

    def apply_bounds(self, bounds: SharedBounds) -> None:
        """Put changed bounds in force."""
        self.bounds = bounds
        self.fleet.set_bounds(bounds)
        self.follower.recheck_seconds = bounds.recheck_seconds
        json_log.info("bounds changed", **bounds._asdict())

    async def watch_reach(self) -> None:
        """Keep the belief about cuts and about what can be served; refuse slow headers."""
        while True:
            await asyncio.sleep(REACH_SECONDS)
            at = now()
            self.front.refuse_slow_headers(at)
            for domain in self.peers.domains_heard_since(at - REACH_SECONDS):
                self.engine.reach.record_peer_contact(domain, at)
            self.engine.reach.evaluate(at)
            able = not self.engine.reach.unreachable_domains or self.can_serve()
            if able != self.able:
                json_log.info("able to serve", able=able)
                self.able = able

    def can_serve(self) -> bool:
        """Whether every route can be served from the failure domains within reach.

        If not, callers are better off at instances beyond the cut.
        """
        if self.state_cache.routes is None:
            return False
        return all(self.engine.within_reach(route) for route in self.gathering_routes())

    def gathering_routes(self) -> list[Route]:
        """Routes over shards, or all routes if there are none."""
        routes = self.state_cache.routes.configuration.routes
        return [route for route in routes if route.shards] or list(routes)

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        known = self.state_cache.routes is not None and bool(self.fleet.by_name)
        return known and self.able and not self.draining

    async def drain(self) -> None:
        """Stop gracefully: give notice, take no new connections, finish what is in flight."""
        began = now()
        self.draining = True
        self.front.draining = True
        self.callers.conn_params.no_keep_alive = True
        self.relay_dispatcher.leaving = True
        self.peers.advertise(0.0, "")
        json_log.info("draining", open_requests=self.front.open_requests)
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        self.callers.stop()
        latest = began + self.bounds.grace_seconds - DRAIN_MARGIN_SECONDS
        self.front.close_idle()
        while self.busy and now() < latest:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            self.front.close_idle()
        json_log.info("drained", open_requests=self.front.open_requests)
        await self.peers.leave()

    @property
    def busy(self) -> bool:
        """Whether callers are connected or searches of other instances are under way."""
        return bool(self.front.open_connections or self.relay_front.open_requests)

    async def close(self) -> None:
        """Stop all parts."""
        for server in self.servers:
            server.stop()
        await self.tasks.close()
        await self.gathering.close()
        await self.rollouts.close()
        await self.follower.close()
        await self.front.tasks.close()
        await self.relay_front.tasks.close()
        self.relays.close()
        await self.engine.close()
        await self.peers.close()
        await self.store.close()
        for server in self.servers:
            await server.close_all_connections()


class StatusHandler(tornado.web.RequestHandler):
    """Common to what operators and the balancer ask."""

    def initialize(self, instance: ForwardingInstance) -> None:
        """Take the instance."""
        self.instance = instance


class ReadinessHandler(StatusHandler):
    """Whether callers should be sent here."""

    def get(self) -> None:
        """Answer 200 or 503."""
        self.set_status(200 if self.instance.ready else 503)


class MetricsHandler(StatusHandler):
    """Counters and latencies as text."""

    def get(self) -> None:
        """Answer all of them."""
        self.set_header("Content-Type", "text/plain")
        self.finish(self.instance.metrics.render())


def listen_on(server: HTTPServer, address: str) -> None:
    """Listen on ``host:port``."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host)
