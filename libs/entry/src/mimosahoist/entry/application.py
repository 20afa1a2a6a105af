"""An entry instance as a library object."""

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
from mimosahoist.entry.directory import Directory, Surroundings
from mimosahoist.entry.share_keeper import ShareKeeper
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
DEFAULT_DRAIN_NOTICE = 1.0
DEFAULT_DRAIN_LONGEST = 60.0
DRAIN_POLL_SECONDS = 0.02
DRAIN_IDLE_SECONDS = 0.3
OBSERVE_SECONDS = 0.1
READY_LATEST_SECONDS = 15.0


class Adapters(NamedTuple):
    """Connections to the outside, replaceable in tests."""

    upstreams: Transport
    peers: PeerTransport
    store: PlatformStore


def make_adapters(settings: EntrySettings, metrics: Metrics) -> Adapters:
    """Adapters of the daemon: HTTP to upstreams and platform, ZeroMQ to peers."""
    peers = settings["peers"]
    keys = ClusterKeys(peers["public_key"], peers["secret_key"])
    return Adapters(
        CurlTransport(),
        ZmqPeerTransport(peers["address"], keys, metrics),
        HttpPlatformStore(settings["platform"]["url"]),
    )


class EntryApplication:
    """Wires the libraries into one instance."""

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
        self.requests_open = 0
        self.draining = False
        self.ready_since: float | None = None
        self.ready_latest = float("inf")
        self.tasks = TaskSet()
        self.server: tornado.httpserver.HTTPServer | None = None
        self.admin_server: tornado.httpserver.HTTPServer | None = None
        self.create_state(features or FeatureFlags())

    def create_state(self, features: FeatureFlags) -> None:
        """Create the parts and connect them."""
        store = self.adapters.store
        self.objects = VersionedCopy()
        self.instances = VersionedCopy()
        self.board = FactTable()
        self.exchange = PeerExchange(
            self.identity,
            self.adapters.peers,
            self.board,
            self.objects,
            self.instances,
            self.metrics,
            self.rng,
            self.settings["peers"].get("seeds", []),
        )
        self.feed = StoreFeed(store, self.exchange, self.objects, self.instances, self.metrics)
        self.shares = ShareView(self.settings["peers"]["shares"])
        self.crash_guard = CrashGuard(self.metrics)
        self.directory = Directory(
            Surroundings(
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
            self.board,
        )
        self.share_keeper = ShareKeeper(
            store, self.exchange, self.feed, self.objects, self.shares, self.metrics
        )
        self.idempotency = IdempotencyStore(store, self.identity.instance, self.metrics)
        self.follower = MoveFollower(
            self.identity.instance, self.board, self.objects, self.find_service
        )
        self.controller = MoveController(
            store,
            self.follower,
            self.feed.is_watcher,
            self.confirm,
            self.target_is_warm,
            self.metrics,
        )
        self.share_facts()

    def share_facts(self) -> None:
        """Connect shared facts to the parts that they concern."""
        self.board.register(RampFacts(), self.directory.handle_ramp)
        self.board.register(CrashFacts(), self.handle_crash)
        self.crash_guard.listeners.append(self.publish_crash)

    async def start(self) -> None:
        """Start all parts, then listen."""
        self.ready_latest = now() + READY_LATEST_SECONDS
        await self.adapters.store.start()
        await self.adapters.upstreams.start()
        await self.exchange.start()
        await self.feed.start()
        await self.directory.start()
        await self.share_keeper.start()
        await self.follower.start()
        await self.controller.start()
        self.tasks.spawn(self.publish_observed(), "observed revision")

    async def drain(self) -> None:
        """Stop gracefully: give notice, finish what is in flight, hand the share back."""
        self.draining = True
        json_log.info("draining")
        table = self.settings.get("drain", {})
        await asyncio.sleep(table.get("notice", DEFAULT_DRAIN_NOTICE))
        if self.server is not None:
            self.server.stop()
        await self.wait_until_idle(now() + table.get("longest", DEFAULT_DRAIN_LONGEST))
        await self.share_keeper.release()
        await self.exchange.leave()

    async def wait_until_idle(self, latest: float) -> None:
        """Wait until no request has been open for a short while."""
        idle_since = now()
        while now() < latest and now() - idle_since < DRAIN_IDLE_SECONDS:
            if self.requests_open:
                idle_since = now()
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def close(self) -> None:
        """Stop all parts at once."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()
        if self.admin_server is not None:
            self.admin_server.stop()
            await self.admin_server.close_all_connections()
        await self.tasks.close()
        await self.controller.close()
        await self.follower.close()
        await self.share_keeper.close()
        await self.idempotency.close()
        await self.feed.close()
        await self.directory.close()
        await self.exchange.close()
        await self.adapters.upstreams.close()
        await self.adapters.store.close()

    def ready(self) -> bool:
        """Whether the balancer should send requests here.

        A new instance waits until it can reach every shard, but not for ever, as a shard may be
        lost for good.
        """
        if self.draining or self.shares.index is None:
            return False
        if self.ready_since is None and (self.reaches_all() or now() > self.ready_latest):
            self.ready_since = now()
        return self.ready_since is not None

    def reaches_all(self) -> bool:
        """Whether each service has an upstream with room for every part of it."""
        services = self.directory.services.values()
        return bool(services) and all(service.can_serve_all_shards() for service in services)

    def next_request_id(self) -> str:
        """Make a request id that no instance makes twice."""
        return (
            f"{self.identity.instance}-{self.identity.incarnation:x}-{next(self.request_numbers)}"
        )

    def find_service(self, organisation: str, name: str) -> Service | None:
        """Service by organisation and name."""
        return self.directory.services.get((organisation, name))

    def count_search(self, name: str, result: SearchResult, elapsed: float) -> None:
        """Count an answered search."""
        label = name.replace("-", "_")
        self.metrics.latency(f"search_{label}").record(elapsed)
        self.metrics.count(f"searches_{label}")
        if result.answered < result.shards:
            self.metrics.count(f"searches_partial_{label}")
            self.metrics.count("shards_missing", result.shards - result.answered)

    def publish_crash(self, fingerprint: str, record: Any) -> None:
        """Share a crash record."""
        self.board.publish(CRASH_PREFIX + fingerprint, crash_value(record), urgent=True)

    def handle_crash(self, key: str, value: Any) -> None:
        """Take a crash record from another instance."""
        self.crash_guard.join(key[len(CRASH_PREFIX) :], crash_record(value))

    async def publish_observed(self) -> None:
        """Tell the others which revision is in force here."""
        published = -1
        while True:
            if self.directory.applied_revision != published:
                published = self.directory.applied_revision
                self.follower.refresh()
                self.exchange.publish_observed_revision(published)
            await asyncio.sleep(OBSERVE_SECONDS)

    def confirm(self, revision: int) -> Confirmation:
        """Which live instances have told that they have a revision in force."""
        live = set(self.exchange.reachable_peers()) | {self.identity.instance}
        for name, record in self.instances.values(""):
            if record["role"] == "entry" and record["state"] == "live" and not self.has_left(name):
                live.add(name)
        confirmed = {name for name in live if self.observed(name) >= revision}
        return Confirmation(sorted(confirmed), sorted(live - confirmed))

    def has_left(self, name: str) -> bool:
        """Whether a member said itself that it leaves."""
        member = self.exchange.members().get(name)
        return member is not None and member.state == MemberState.LEFT

    def observed(self, name: str) -> int:
        """Revision that an instance has told to have in force."""
        value = self.board.value(OBSERVED_PREFIX + name)
        return value[1] if value else 0

    def target_is_warm(self, spec: MoveSpec) -> bool:
        """Whether a move's new version holds every shard at a warm upstream."""
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
