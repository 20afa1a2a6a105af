"""State that instances exchange: membership, store contents, gatherers and crash records."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING, Any

import msgspec

from mimosahoist.core.hashing import hash_text
from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.forward.announcements import (
    ANNOUNCEMENT_PREFIX,
    ANNOUNCEMENT_TTL_SECONDS,
    Announcement,
    AnnouncementFacts,
)
from mimosahoist.forward.crash_tracker import CRASH_PREFIX, CrashFacts, CrashRecord, CrashTracker
from mimosahoist.forward.declarations import Configuration, UpstreamRecord
from mimosahoist.forward.follower import PeerView
from mimosahoist.forward.gatherers import Gatherer
from mimosahoist.forward.rollout import Rollout
from mimosahoist.forward.state_cache import version_of
from mimosahoist.peers.exchange import Identity, PeerExchange
from mimosahoist.peers.facts import FactKind, FactTable
from mimosahoist.peers.members import MEMBER_PREFIX, MemberState
from mimosahoist.platform.versioned import VersionedCopy
from mimosahoist.platform.watched import WatchedItem, WatchedKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Set

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.fleet import UpstreamFleet
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.forward.state_cache import StateCache
    from mimosahoist.peers.inquiries import Inquiries
    from mimosahoist.peers.transport import PeerTransport

CLUSTER_NAME = "mimosahoist"
STATE_PREFIX = "belief/"
GATHERER_PREFIX = "gatherer/"
RECOVERIES_KEY = "outages"
SYNCED_REVISION_KEY = "settled"
MIN_COMPRESSED_BYTES = 1024
# MessagePack values never start with this byte.
COMPRESSED_PREFIX = b"\xc1"
STORE_WATCHERS = 3
PUSH_INTERVAL_SECONDS = 0.05
PEER_CONTACT_TIMEOUT_SECONDS = 1.0
VALUE_TYPES: dict[WatchedKind, Any] = {
    WatchedKind.CONFIGURATION: Configuration,
    WatchedKind.UPSTREAMS: UpstreamRecord,
    WatchedKind.DOMAINS_OUT: str,
    WatchedKind.ROLLOUTS: Rollout,
}


class StateFacts(FactKind):
    """Objects of the store as (version, revision, encoded value); the greater one wins.

    The version is 0 but for configurations, see `version_of`.
    """

    prefix = STATE_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(number, int) for number in value[:2])
            and isinstance(value[2], bytes)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later one; at equal revisions the greater bytes, so that all agree."""
        return max(list(held), list(received))


class GathererFacts(FactKind):
    """Gatherers as (advertisement number, capacity in cores, address); the latest wins."""

    prefix = GATHERER_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(item, int | float) for item in value[:2])
            and isinstance(value[2], str)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later advertisement."""
        return max(list(held), list(received))


class MaximumFacts(FactKind):
    """A number that converges to its maximum over all instances."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        return isinstance(value, int)

    def join(self, held: Any, received: Any) -> Any:
        """Keep the maximum."""
        return max(held, received)


class Peers(PeerView):
    """Membership, and the exchange of store state between the instances.

    Attributes
    ----------
    recovery_listeners : list of callable
        Called when another instance reports that the store answers again after an outage.
    synced_listeners : list of callable
        Called with a store revision up to which another instance knows all changes.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        transport: PeerTransport,
        state_cache: StateCache,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.state_cache = state_cache
        self.metrics = metrics
        self.fact_table = FactTable()
        self.exchange = PeerExchange(
            Identity(
                CLUSTER_NAME,
                settings.name,
                int(time.time() * 1000),
                settings.peer_address,
                settings.callers_address,
                settings.failure_domain,
            ),
            transport,
            self.fact_table,
            VersionedCopy(),
            VersionedCopy(),
            metrics,
            rng,
            list(settings.peer_seeds),
            PUSH_INTERVAL_SECONDS,
        )
        self.cached_alive_version = -1
        self.cached_alive = frozenset((settings.name,))
        self.cached_ranking = [settings.name]
        self.cached_rank = 0
        capacity = settings.capacity if settings.relay_address else 0.0
        self.advertised: tuple[float, str] = (capacity, settings.relay_address)
        self.member_listeners: list[Callable[[], None]] = []
        self.recovery_listeners: list[Callable[[], None]] = []
        self.fact_table.register(StateFacts(), self.handle_state)
        self.synced_listeners: list[Callable[[int], None]] = []
        # Number of store recoveries after an outage, as counted by any instance.
        self.fact_table.register(MaximumFacts(RECOVERIES_KEY), self.handle_recovery)
        # Store revision up to which some instance knows all changes.
        self.fact_table.register(MaximumFacts(SYNCED_REVISION_KEY), self.handle_synced_revision)
        self.fact_table.register(GathererFacts(), self.handle_advertisement)
        self.state_cache.listeners.append(self.publish_state)
        self.exchange.member_listeners.append(self.handle_member)

    async def start(self) -> None:
        """Join the cluster and advertise this instance's capacity."""
        await self.exchange.start()
        self.advertise(*self.advertised)

    def advertise(self, capacity: float, address: str) -> None:
        """Advertise this instance as a gatherer; a capacity of zero withdraws it."""
        self.advertised = (capacity, address)
        key = GATHERER_PREFIX + self.name
        before = self.fact_table.value(key) or (0,)
        self.fact_table.publish(key, [before[0] + 1, capacity, address], urgent=True)

    def handle_advertisement(self, key: str, value: Any) -> None:
        """Advertise again if a peer returned an advertisement from before a restart."""
        if key == GATHERER_PREFIX + self.name and tuple(value[1:]) != self.advertised:
            self.advertise(*self.advertised)

    @property
    def advertisements_version(self) -> int:
        """Number that rises with each change of an advertisement."""
        return self.fact_table.changes[GATHERER_PREFIX]

    def advertised_gatherers(self, names: Set[str]) -> list[Gatherer]:
        """Advertised gatherers among the members in `names`."""
        members = self.exchange.members()
        gatherers = []
        for key, (_, capacity, address) in self.fact_table.values(GATHERER_PREFIX):
            name = key[len(GATHERER_PREFIX) :]
            if name in names and name in members and capacity > 0:
                gatherers.append(Gatherer(name, members[name].failure_domain, address, capacity))
        return gatherers

    async def leave(self) -> None:
        """Announce to the peers that this instance is leaving."""
        await self.exchange.leave()

    async def close(self) -> None:
        """Stop exchanging state."""
        await self.exchange.close()

    def alive_count(self) -> int:
        """Number of instances that answer probes, including this one."""
        return len(self.alive_names())

    def alive_names(self) -> frozenset[str]:
        """Names of the instances that answer probes, including this one."""
        self.update_alive()
        return self.cached_alive

    def update_alive(self) -> None:
        """Recompute which instances are alive, and this one's rank, if the membership changed."""
        version = self.fact_table.changes[MEMBER_PREFIX]
        if version == self.cached_alive_version:
            return
        self.cached_alive_version = version
        alive = {
            name
            for name, member in self.exchange.members().items()
            if member.state == MemberState.ALIVE
        }
        self.cached_alive = frozenset(alive | {self.name})
        own = hash_text(self.name)
        self.cached_ranking = sorted(self.cached_alive, key=hash_text, reverse=True)
        self.cached_rank = sum(hash_text(name) > own for name in self.cached_alive)

    def ranked_names(self) -> list[str]:
        """Names of the instances that answer probes, in rendezvous order."""
        self.update_alive()
        return self.cached_ranking

    def address_of(self, name: str) -> str | None:
        """Peer address of an instance; None if it is not known."""
        member = self.exchange.members().get(name)
        return None if member is None else member.peer_address

    @property
    def inquiries(self) -> Inquiries:
        """Questions to single instances."""
        return self.exchange.inquiries

    @property
    def heard_recently(self) -> bool:
        """Whether any other instance was heard of lately."""
        return now() - self.exchange.last_contact <= PEER_CONTACT_TIMEOUT_SECONDS

    def reads_store_at_start(self) -> bool:
        """Whether this instance is a seed of the others, or has no seeds to get state from."""
        exchange = self.exchange
        return not exchange.seeds or exchange.identity.peer_address in exchange.seeds

    def is_store_watcher(self) -> bool:
        """Whether this instance is among the first in rendezvous order, or hears no peer.

        An instance that is partitioned from the others gets no changes from their watches.
        """
        if not self.heard_recently:
            return True
        return self.rank() < STORE_WATCHERS

    def rank(self) -> int:
        """Number of live instances before this one in rendezvous order."""
        self.update_alive()
        return self.cached_rank

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.exchange.name

    def publish_recovery(self) -> None:
        """Tell the peers that the store answers again after an outage."""
        count = self.fact_table.value(RECOVERIES_KEY) or 0
        self.fact_table.publish(RECOVERIES_KEY, count + 1, urgent=True)

    def publish_synced_revision(self, revision: int) -> None:
        """Tell the peers up to which revision all changes are known here."""
        self.fact_table.publish(SYNCED_REVISION_KEY, revision, urgent=True)

    def handle_synced_revision(self, key: str, value: Any) -> None:
        """Call listeners with the revision up to which another instance knows all changes."""
        for listener in self.synced_listeners:
            listener(value)

    def handle_recovery(self, key: str, value: Any) -> None:
        """Call listeners because another instance saw the store recover."""
        for listener in self.recovery_listeners:
            listener()

    def possibly_alive(self) -> set[str]:
        """Instances that have not left; those beyond a partition may still be working."""
        members = self.exchange.members()
        return {name for name, member in members.items() if member.state != MemberState.LEFT}

    def domains_heard_since(self, since: float) -> set[str]:
        """Failure domains of instances heard from since a loop time."""
        members = self.exchange.members()
        return {
            members[name].failure_domain
            for name, at in self.exchange.last_frame_at.items()
            if at >= since and name in members
        }

    def handle_member(self, name: str, member: Any) -> None:
        """Call listeners because the membership changed."""
        for listener in self.member_listeners:
            listener()

    def publish_state(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Publish an item of the store to the peers."""
        encoded = pack(msgspec.msgpack.encode(item.value))
        value = [version_of(item.value), item.revision, encoded]
        self.fact_table.publish(f"{STATE_PREFIX}{kind}/{item.name}", value, urgent=True)

    def share_crash_records(self, crashes: CrashTracker) -> None:
        """Exchange crash records with the peers."""

        def receive(key: str, value: Any) -> None:
            crashes.merge(key[len(CRASH_PREFIX) :], CrashRecord(*value))

        def publish(fingerprint: str, record: CrashRecord) -> None:
            self.fact_table.publish(CRASH_PREFIX + fingerprint, list(record), urgent=True)

        self.fact_table.register(CrashFacts(), receive)
        crashes.listeners.append(publish)

    def share_announcements(self, fleet: UpstreamFleet) -> None:
        """Exchange with the peers what upstreams announce about themselves."""

        def receive(key: str, value: Any) -> None:
            fleet.merge_announcement(key[len(ANNOUNCEMENT_PREFIX) :], Announcement(*value[:-1]))

        def publish(upstream: str, announcement: Announcement) -> None:
            # Rounded, so that instances that learn the same thing publish equal facts.
            expires_at = (unix_time() // ANNOUNCEMENT_TTL_SECONDS + 2) * ANNOUNCEMENT_TTL_SECONDS
            value = [*announcement, expires_at]
            self.fact_table.publish(ANNOUNCEMENT_PREFIX + upstream, value, urgent=True)

        self.fact_table.register(AnnouncementFacts(), receive)
        fleet.announcement_listeners.append(publish)

    def handle_state(self, key: str, value: Any) -> None:
        """Store an item that another instance received from the store."""
        kind_name, _, name = key[len(STATE_PREFIX) :].partition("/")
        try:
            kind = WatchedKind(kind_name)
            decoded = msgspec.msgpack.decode(unpack(value[2]), type=VALUE_TYPES[kind] | None)
        except (zlib.error, *DECODE_ERRORS):
            self.metrics.count("peer_beliefs_unreadable")
            return
        if self.state_cache.put_if_newer(kind, WatchedItem(name, value[1], decoded)):
            self.metrics.count("beliefs_from_peers")


def pack(encoded: bytes) -> bytes:
    """Compress a large value; small ones are left to the compression of the whole frame."""
    return (
        encoded
        if len(encoded) < MIN_COMPRESSED_BYTES
        else COMPRESSED_PREFIX + zlib.compress(encoded)
    )


def unpack(packed: bytes) -> bytes:
    """Reverse `pack`."""
    if packed.startswith(COMPRESSED_PREFIX):
        return zlib.decompress(packed[len(COMPRESSED_PREFIX) :])
    return packed
