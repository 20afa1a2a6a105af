"""What instances tell each other: who they are, and what the store has said."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING, Any

import msgspec

from mimosahoist.core.hashing import hash_text
from mimosahoist.core.tasks import now
from mimosahoist.forward.crash_watch import CRASH_PREFIX, CrashFacts, CrashRecord, CrashWatch
from mimosahoist.forward.declarations import Configuration, UpstreamRecord
from mimosahoist.forward.follower import FleetView
from mimosahoist.forward.gatherers import Gatherer
from mimosahoist.forward.rollout import Rollout
from mimosahoist.peers.exchange import Identity, PeerExchange
from mimosahoist.peers.facts import FactKind, FactTable
from mimosahoist.peers.members import MemberState
from mimosahoist.platform.versioned import VersionedCopy
from mimosahoist.platform.watched import WatchedItem, WatchedKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.beliefs import Beliefs
    from mimosahoist.forward.instance_settings import InstanceSettings
    from mimosahoist.peers.transport import PeerTransport

CLUSTER = "mimosahoist"
BELIEF_PREFIX = "belief/"
GATHERER_PREFIX = "gatherer/"
OUTAGE_KEY = "outages"
SETTLED_KEY = "settled"
SMALL_BELIEF_BYTES = 1024
# A byte that MessagePack never uses.
COMPRESSED = b"\xc1"
WATCHERS = 3
PUSH_INTERVAL_SECONDS = 0.05
PEER_SILENCE_SECONDS = 1.0
VALUE_TYPES: dict[WatchedKind, Any] = {
    WatchedKind.CONFIGURATION: Configuration,
    WatchedKind.UPSTREAMS: UpstreamRecord,
    WatchedKind.DOMAINS_OUT: str,
    WatchedKind.ROLLOUTS: Rollout,
}


class BeliefFacts(FactKind):
    """Objects of the store: revision and encoded value; the later revision wins."""

    prefix = BELIEF_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 2
            and isinstance(value[0], int)
            and isinstance(value[1], bytes)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later record; of one revision the greater bytes, so that all agree."""
        return max(list(held), list(received))


class GathererFacts(FactKind):
    """Offers to gather: number of the offer, capacity in cores, address; the latest wins."""

    prefix = GATHERER_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 3
            and all(isinstance(item, int | float) for item in value[:2])
            and isinstance(value[2], str)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later offer."""
        return max(list(held), list(received))


class GreatestFacts(FactKind):
    """A number of which the greatest counts."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return isinstance(value, int)

    def join(self, held: Any, received: Any) -> Any:
        """Keep the greater number."""
        return max(held, received)


class Peers(FleetView):
    """Membership and the exchange of beliefs.

    Attributes
    ----------
    outage_listeners : list of callable
        Called when another instance tells that the store is back after an outage.
    settled_listeners : list of callable
        Called with a store revision up to which another instance has listed everything.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        transport: PeerTransport,
        beliefs: Beliefs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.beliefs = beliefs
        self.metrics = metrics
        self.board = FactTable()
        self.exchange = PeerExchange(
            Identity(
                CLUSTER,
                settings.name,
                int(time.time() * 1000),
                settings.peer_address,
                settings.callers_address,
                settings.failure_domain,
            ),
            transport,
            self.board,
            VersionedCopy(),
            VersionedCopy(),
            metrics,
            rng,
            list(settings.peer_seeds),
            PUSH_INTERVAL_SECONDS,
        )
        capacity = settings.capacity if settings.relay_address else 0.0
        self.offered: tuple[float, str] = (capacity, settings.relay_address)
        self.member_listeners: list[Callable[[], None]] = []
        self.outage_listeners: list[Callable[[], None]] = []
        self.board.register(BeliefFacts(), self.handle_belief)
        self.settled_listeners: list[Callable[[int], None]] = []
        # Returns of the store after an outage, as far as anybody counted.
        self.board.register(GreatestFacts(OUTAGE_KEY), self.handle_outage)
        # Store revision up to which somebody has listed everything.
        self.board.register(GreatestFacts(SETTLED_KEY), self.handle_settled)
        self.board.register(GathererFacts(), self.handle_offer)
        self.beliefs.listeners.append(self.publish_belief)
        self.exchange.member_listeners.append(self.handle_member)

    async def start(self) -> None:
        """Join the others."""
        await self.exchange.start()
        self.offer(*self.offered)

    def offer(self, capacity: float, address: str) -> None:
        """Tell the others that this instance gathers, or no more with a capacity of zero."""
        self.offered = (capacity, address)
        key = GATHERER_PREFIX + self.name
        before = self.board.value(key) or (0,)
        self.board.publish(key, [before[0] + 1, capacity, address], urgent=True)

    def handle_offer(self, key: str, value: Any) -> None:
        """Renew this instance's offer if one of its former start has come back."""
        if key == GATHERER_PREFIX + self.name and tuple(value[1:]) != self.offered:
            self.offer(*self.offered)

    def offers(self, names: set[str]) -> list[Gatherer]:
        """Offers of some instances."""
        members = self.exchange.members()
        found = []
        for key, (_, capacity, address) in self.board.values(GATHERER_PREFIX):
            name = key[len(GATHERER_PREFIX) :]
            if name in names and name in members and capacity > 0:
                found.append(Gatherer(name, members[name].failure_domain, address, capacity))
        return found

    async def leave(self) -> None:
        """Tell the others that this instance leaves."""
        await self.exchange.leave()

    async def close(self) -> None:
        """Stop taking part."""
        await self.exchange.close()

    def alive(self) -> int:
        """Instances that answer probes, this one included."""
        return len(self.alive_names())

    def alive_names(self) -> set[str]:
        """Names of the instances that answer probes, and this one's."""
        alive = {
            name
            for name, member in self.exchange.members().items()
            if member.state == MemberState.ALIVE
        }
        return alive | {self.name}

    def reads_first(self) -> bool:
        """Whether others ask this instance first, or there is nobody to be told by."""
        exchange = self.exchange
        return not exchange.seeds or exchange.identity.peer_address in exchange.seeds

    def watches(self) -> bool:
        """Whether this instance is among the first in rendezvous order, or hears nobody.

        An instance that is cut off from the others cannot know what they know.
        """
        if now() - self.exchange.last_contact > PEER_SILENCE_SECONDS:
            return True
        return self.rank() < WATCHERS

    def rank(self) -> int:
        """Live instances before this one in rendezvous order."""
        own_rank = hash_text(self.name)
        return sum(hash_text(name) > own_rank for name in self.alive_names())

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.exchange.name

    def publish_outage(self) -> None:
        """Tell the others that the store is back after an outage."""
        count = self.board.value(OUTAGE_KEY) or 0
        self.board.publish(OUTAGE_KEY, count + 1, urgent=True)

    def publish_settled(self, revision: int) -> None:
        """Tell the others up to which revision everything was listed."""
        self.board.publish(SETTLED_KEY, revision, urgent=True)

    def handle_settled(self, key: str, value: Any) -> None:
        """Tell listeners up to which revision another instance has listed everything."""
        for listener in self.settled_listeners:
            listener(value)

    def handle_outage(self, key: str, value: Any) -> None:
        """Tell listeners that the store is back after an outage."""
        for listener in self.outage_listeners:
            listener()

    def possibly_alive(self) -> set[str]:
        """Instances that may be at work, also beyond a cut: all that have not said they left."""
        members = self.exchange.members()
        return {name for name, member in members.items() if member.state != MemberState.LEFT}

    def domains_heard(self, since: float) -> set[str]:
        """Failure domains of instances that spoke after a loop time."""
        members = self.exchange.members()
        return {
            members[name].failure_domain
            for name, at in self.exchange.last_frame_at.items()
            if at >= since and name in members
        }

    def handle_member(self, name: str, member: Any) -> None:
        """Tell listeners that the membership changed."""
        for listener in self.member_listeners:
            listener()

    def publish_belief(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Tell the others what was learned from the store."""
        value = [item.revision, pack(msgspec.msgpack.encode(item.value))]
        self.board.publish(f"{BELIEF_PREFIX}{kind}/{item.name}", value, urgent=True)

    def share_crashes(self, crashes: CrashWatch) -> None:
        """Share what is known of requests that crash upstreams."""

        def take(key: str, value: Any) -> None:
            crashes.take(key[len(CRASH_PREFIX) :], CrashRecord(*value))

        def publish(fingerprint: str, record: CrashRecord) -> None:
            self.board.publish(CRASH_PREFIX + fingerprint, list(record), urgent=True)

        self.board.register(CrashFacts(), take)
        crashes.listeners.append(publish)

    def handle_belief(self, key: str, value: Any) -> None:
        """Take what another instance has learned from the store."""
        kind_name, _, name = key[len(BELIEF_PREFIX) :].partition("/")
        try:
            kind = WatchedKind(kind_name)
            decoded = msgspec.msgpack.decode(unpack(value[1]), type=VALUE_TYPES[kind] | None)
        except (ValueError, zlib.error, msgspec.MsgspecError):
            self.metrics.count("peer_beliefs_unreadable")
            return
        if self.beliefs.take(kind, WatchedItem(name, value[0], decoded)):
            self.metrics.count("beliefs_from_peers")


def pack(encoded: bytes) -> bytes:
    """Compress a large value; small ones are compressed with the frame that carries them."""
    return encoded if len(encoded) < SMALL_BELIEF_BYTES else COMPRESSED + zlib.compress(encoded)


def unpack(packed: bytes) -> bytes:
    """Undo `pack`."""
    if packed.startswith(COMPRESSED):
        return zlib.decompress(packed[len(COMPRESSED) :])
    return packed
