"""Exchange of facts and store copies with peers, and cluster membership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.peers.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from mimosahoist.peers.inquiries import INQUIRY_PREFIX, Inquiries
from mimosahoist.peers.members import (
    MEMBER_PREFIX,
    OBSERVED_PREFIX,
    Member,
    MemberFacts,
    MemberState,
    ObservedFacts,
)
from mimosahoist.peers.prober import (
    ACK_TIMEOUT_SECONDS,
    LocalMember,
    Prober,
)
from mimosahoist.peers.progress import Position, ProgressTable
from mimosahoist.peers.push import select_recipients

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import Any

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.facts import FactTable
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.store import Changes
    from mimosahoist.platform.versioned import VersionedCopy

PRUNE_INTERVAL_SECONDS = 5.0


class Identity(NamedTuple):
    """Identity of this instance; `incarnation` increases with every start."""

    cluster: str
    instance: str
    incarnation: int
    peer_address: str
    http_address: str
    failure_domain: str


class PeerExchange(LocalMember):
    """Membership of this instance, and replication of facts and store copies with peers.

    One member is probed per interval. Every frame carries a digest of the sender's progress; acks
    and pushes can also carry facts and store changes.

    Failure detection follows SWIM: direct probe, indirect probes through other members,
    suspicion, death. A suspected or dead member refutes its record with a higher incarnation. An
    instance that misses many acks uses longer timeouts, as it may itself be the slow one.
    """

    def __init__(
        self,
        identity: Identity,
        transport: PeerTransport,
        fact_table: FactTable,
        objects: VersionedCopy,
        instances: VersionedCopy,
        metrics: Metrics,
        rng: random.Random,
        seeds: list[str],
        push_interval: float = 0.0,
    ) -> None:
        self.identity = identity
        self.incarnation = identity.incarnation
        self.transport = transport
        self.fact_table = fact_table
        self.objects = objects
        self.instances = instances
        self.metrics = metrics
        self.rng = rng
        self.seeds = seeds
        self.push_interval = push_interval
        self.tasks = TaskSet()
        self.prober = Prober(self)
        self.inquiries = Inquiries(
            identity.cluster, identity.instance, identity.peer_address, transport, metrics
        )
        self.progress = ProgressTable(identity.incarnation, fact_table, objects, instances)
        self.cached_members: dict[str, Member] = {}
        self.cached_members_version = -1
        self.last_contact = 0.0
        # Whether some of the changes to push are this instance's own, not received from a peer.
        self.has_own_changes = False
        self.last_frame_at: dict[str, float] = {}
        self.push_timer: asyncio.Handle | None = None
        self.pushed_at = 0.0
        self.pushed_position = Position(0, 0, 0)
        self.member_listeners: list[Callable[[str, Member], None]] = []
        fact_table.register(MemberFacts(), self.handle_member)
        fact_table.register(ObservedFacts(), self.handle_observed_revision)
        fact_table.urgent_listeners.append(self.push_own_changes)
        objects.listeners.append(self.handle_copy_changes)
        instances.listeners.append(self.handle_copy_changes)

    async def start(self) -> None:
        """Join the cluster."""
        self.last_contact = now()
        await self.transport.start(self.handle_frame)
        self.publish_self(MemberState.ALIVE)
        self.tasks.keep_running(self.prober.run, "probe members")
        self.tasks.keep_running(self.prune, "prune facts")

    async def leave(self) -> None:
        """Publish that this instance leaves the cluster."""
        self.publish_self(MemberState.LEFT)
        self.push()
        await asyncio.sleep(ACK_TIMEOUT_SECONDS)

    async def close(self) -> None:
        """Stop probing and exchanging frames."""
        if self.push_timer is not None:
            self.push_timer.cancel()
        await self.tasks.close()
        await self.inquiries.close()
        await self.transport.close()

    def publish_self(self, state: MemberState) -> None:
        """Publish this instance's member record."""
        identity = self.identity
        member = Member(
            self.incarnation,
            int(state),
            identity.peer_address,
            identity.http_address,
            identity.failure_domain,
            unix_time(),
        )
        self.fact_table.publish(MEMBER_PREFIX + identity.instance, list(member), urgent=True)

    def publish_observed_revision(self, revision: int) -> None:
        """Publish the store revision that this instance has applied."""
        key = OBSERVED_PREFIX + self.identity.instance
        self.fact_table.publish(key, [self.identity.incarnation, revision])

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.identity.instance

    def members(self) -> dict[str, Member]:
        """Return all known members, including this one, by name; callers must not modify it."""
        if self.cached_members_version != self.fact_table.changes[MEMBER_PREFIX]:
            self.cached_members_version = self.fact_table.changes[MEMBER_PREFIX]
            start = len(MEMBER_PREFIX)
            self.cached_members = {
                key[start:]: Member(*value) for key, value in self.fact_table.values(MEMBER_PREFIX)
            }
        return self.cached_members

    def reachable_peers(self) -> dict[str, Member]:
        """Return the members other than this one that are alive or suspect."""
        own = self.identity.instance
        return {
            name: member
            for name, member in self.members().items()
            if name != own and member.reachable
        }

    def peer_addresses(self) -> dict[str, str]:
        """Return the addresses to probe: reachable members and listed instances, or the seeds."""
        own = self.identity
        known = self.members()
        addresses = {name: member.peer_address for name, member in self.reachable_peers().items()}
        for name, record in self.instances.values(""):
            if record.get("role") == "entry" and name not in known:
                addresses[name] = record["peer_address"]
        if not addresses:
            addresses = {f"seed {seed}": seed for seed in self.seeds}
        return {name: address for name, address in addresses.items() if address != own.peer_address}

    def handle_member(self, key: str, value: Any) -> None:
        """Process a member record received from a peer."""
        name = key[len(MEMBER_PREFIX) :]
        member = Member(*value)
        if name == self.identity.instance:
            self.refute(member)
            return
        self.notify_listeners(name, member)

    def refute(self, member: Member) -> None:
        """Refute a record that declares this instance suspect, dead or left.

        A LEFT record of an earlier start can have a higher incarnation than this one if the wall
        clock was set back between the two starts; it is refuted too.
        """
        is_own_leave = member.state == MemberState.LEFT and member.incarnation == self.incarnation
        if member.state == MemberState.ALIVE or is_own_leave:
            return
        self.metrics.count("peer_refutations")
        self.prober.increase_health_penalty()
        self.incarnation = member.incarnation + 1
        self.publish_self(MemberState.ALIVE)

    def notify_listeners(self, name: str, member: Member) -> None:
        """Log a change of a member's record and notify the listeners."""
        json_log.info("member", member=name, state=MemberState(member.state).name.lower())
        if not member.reachable:
            self.progress.remove(name)
            self.last_frame_at.pop(name, None)
            self.transport.disconnect(member.peer_address)
        for listener in self.member_listeners:
            listener(name, member)

    def handle_observed_revision(self, key: str, value: Any) -> None:
        """Do nothing: observed revisions are read from the fact table when needed."""

    def handle_copy_changes(self, changes: list[Any]) -> None:
        """Schedule a push of changed objects."""
        if changes:
            self.push_own_changes()

    def push_own_changes(self) -> None:
        """Schedule a push of a change that this instance made."""
        self.has_own_changes = True
        self.schedule_push()

    def schedule_push(self) -> None:
        """Schedule one push of all changes that the current callback makes.

        The first push is sent as soon as the callback ends. Later changes are batched for
        `push_interval` seconds after a push: otherwise each change, for example while a fleet
        starts, would make every instance send a frame to several peers.
        """
        if self.push_timer is not None:
            return
        loop = asyncio.get_running_loop()
        earliest = self.pushed_at + self.push_interval
        if now() < earliest:
            self.push_timer = loop.call_at(earliest, self.push)
        else:
            self.push_timer = loop.call_soon(self.push)

    def push(self) -> None:
        """Push changes since the last push to a few peers; probes reach the others."""
        self.push_timer = None
        self.pushed_at = now()
        addresses = self.peer_addresses()
        recipients = self.push_recipients(addresses)
        self.has_own_changes = False
        for name in recipients:
            self.send(name, addresses[name], FrameKind.PUSH, 0, self.pushed_position)
        if recipients:
            self.pushed_position = self.progress.position()

    def push_recipients(self, addresses: dict[str, str]) -> list[str]:
        """Random peers to push to, of `addresses`."""
        members = self.members()
        domains = {
            name: members[name].failure_domain if name in members else self.identity.failure_domain
            for name in addresses
        }
        return select_recipients(
            domains, self.identity.failure_domain, self.has_own_changes, self.rng
        )

    def send(
        self,
        name: str,
        address: str,
        kind: FrameKind,
        probe_number: int,
        position: Position | None = None,
        target: str = "",
    ) -> None:
        """Send a frame with all changes after `position`; without changes if it is None."""
        end = self.progress.position()
        start = position or end
        frame = Frame(
            PROTOCOL_VERSION,
            self.identity.cluster,
            kind,
            self.identity.instance,
            self.identity.incarnation,
            self.identity.peer_address,
            probe_number,
            target,
            self.progress.digest_for(name),
            start.sequence,
            end.sequence,
            self.fact_table.since(start.sequence),
            changes_after(self.objects, start.objects),
            changes_after(self.instances, start.instances),
        )
        self.transport.send(address, encode_frame(frame))

    def handle_frame(self, data: bytes) -> None:
        """Process a frame; drop and count a malformed one or one of another cluster or protocol."""
        if data.startswith(INQUIRY_PREFIX):
            self.inquiries.handle(data)
            return
        try:
            frame = decode_frame(data)
        except DECODE_ERRORS:
            self.metrics.count("peer_frames_malformed")
            return
        if frame.protocol_version != PROTOCOL_VERSION or frame.cluster != self.identity.cluster:
            self.metrics.count("peer_frames_foreign")
            return
        if frame.sender == self.identity.instance:
            return
        self.last_contact = now()
        self.last_frame_at[frame.sender] = self.last_contact
        self.merge(frame)
        self.respond(frame)

    def merge(self, frame: Frame) -> None:
        """Merge the facts and store changes of a frame."""
        for copy, changes in ((self.objects, frame.objects), (self.instances, frame.instances)):
            if changes is not None:
                copy.merge(changes)
        changed = self.fact_table.merge(frame.facts)
        self.progress.record_frame(frame)
        if changed and frame.kind == FrameKind.PUSH:
            self.schedule_push()

    def respond(self, frame: Frame) -> None:
        """Respond to a frame according to its kind."""
        if frame.kind == FrameKind.PING:
            peer_position = self.progress.position_of(frame.digest)
            self.send(
                frame.sender, frame.peer_address, FrameKind.ACK, frame.probe_number, peer_position
            )
        elif frame.kind == FrameKind.PING_REQUEST:
            self.tasks.spawn(self.prober.relay_ping(frame), "relay ping")
        elif frame.kind == FrameKind.ACK:
            self.handle_ack(frame)

    def handle_ack(self, frame: Frame) -> None:
        """Complete the probe, and send the peer what it lacks."""
        self.prober.handle_ack(frame.probe_number)
        if self.progress.is_behind(frame.digest):
            peer_position = self.progress.position_of(frame.digest)
            self.send(frame.sender, frame.peer_address, FrameKind.PUSH, 0, peer_position)

    async def prune(self) -> None:
        """Periodically remove expired facts."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_SECONDS)
            self.fact_table.prune()


def changes_after(copy: VersionedCopy, revision: int) -> Changes | None:
    """Return the changes after a revision, or None if the copy has none."""
    return copy.since(revision) if revision < copy.revision else None
