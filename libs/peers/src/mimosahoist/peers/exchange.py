"""Exchange of facts and copies with peers, and detection of lost members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from mimosahoist.core import json_log
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.peers.frames import (
    PROTOCOL,
    Frame,
    FrameKind,
    pack_frame,
    unpack_frame,
)
from mimosahoist.peers.members import (
    MEMBER_PREFIX,
    OBSERVED_PREFIX,
    Member,
    MemberFacts,
    MemberState,
    ObservedFacts,
)
from mimosahoist.peers.prober import ACK_TIMEOUT, PROBE_INTERVAL, Prober, ProbingMember
from mimosahoist.peers.progress import Position, ProgressTable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import Any

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.facts import FactBoard
    from mimosahoist.peers.transport import PeerTransport
    from mimosahoist.platform.store import Changes
    from mimosahoist.platform.versioned import VersionedCopy

URGENT_FANOUT = 3
PRUNE_ROUNDS = 10


class Identity(NamedTuple):
    """Who this instance is; `incarnation` rises with every start."""

    cluster: str
    instance: str
    incarnation: int
    peer_address: str
    http_address: str
    failure_domain: str


class PeerExchange(ProbingMember):
    """Probes one member an interval, and syncs facts and copies with every frame.

    Failure detection follows SWIM: a direct probe, indirect probes through others, suspicion,
    death; the accused refutes with a higher incarnation. An instance that misses many answers
    is slower to accuse, as it may itself be the slow one.
    """

    def __init__(
        self,
        identity: Identity,
        transport: PeerTransport,
        board: FactBoard,
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
        self.board = board
        self.objects = objects
        self.instances = instances
        self.metrics = metrics
        self.rng = rng
        self.seeds = seeds
        self.push_interval = push_interval
        self.tasks = TaskSet()
        self.prober = Prober(self)
        self.progress = ProgressTable(identity.incarnation, board, objects, instances)
        self.cached_members: dict[str, Member] = {}
        self.cached_at = -1
        self.last_contact = 0.0
        self.heard_at: dict[str, float] = {}
        self.push_timer: asyncio.Handle | None = None
        self.pushed_at = 0.0
        self.pushed = Position(0, 0, 0)
        self.member_listeners: list[Callable[[str, Member], None]] = []
        board.register(MemberFacts(), self.handle_member)
        board.register(ObservedFacts(), self.handle_observed)
        board.urgent_listeners.append(self.push_soon)
        objects.listeners.append(self.handle_copy)
        instances.listeners.append(self.handle_copy)

    async def start(self) -> None:
        """Join the cluster."""
        self.last_contact = now()
        await self.transport.start(self.handle_frame)
        self.publish_self(MemberState.ALIVE)
        self.tasks.spawn(self.prober.run(), "probe members")
        self.tasks.spawn(self.prune(), "prune facts")

    async def leave(self) -> None:
        """Tell the others that this instance leaves."""
        self.publish_self(MemberState.LEFT)
        self.push()
        await asyncio.sleep(ACK_TIMEOUT)

    async def close(self) -> None:
        """Stop taking part."""
        if self.push_timer is not None:
            self.push_timer.cancel()
        await self.tasks.close()
        await self.transport.close()

    def publish_self(self, state: MemberState) -> None:
        """Publish this instance's own record."""
        identity = self.identity
        member = Member(
            self.incarnation,
            int(state),
            identity.peer_address,
            identity.http_address,
            identity.failure_domain,
            unix_time(),
        )
        self.board.publish(MEMBER_PREFIX + identity.instance, list(member), urgent=True)

    def publish_observed(self, revision: int) -> None:
        """Tell which store revision this instance has in force."""
        key = OBSERVED_PREFIX + self.identity.instance
        self.board.publish(key, [self.identity.incarnation, revision])

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.identity.instance

    def members(self) -> dict[str, Member]:
        """All known members by instance name, this one included; not to be changed."""
        if self.cached_at != self.board.changes[MEMBER_PREFIX]:
            self.cached_at = self.board.changes[MEMBER_PREFIX]
            start = len(MEMBER_PREFIX)
            self.cached_members = {
                key[start:]: Member(*value) for key, value in self.board.values(MEMBER_PREFIX)
            }
        return self.cached_members

    def reachable_peers(self) -> dict[str, Member]:
        """Members other than this one that are alive or suspect."""
        own = self.identity.instance
        return {
            name: member
            for name, member in self.members().items()
            if name != own and member.reachable
        }

    def peer_addresses(self) -> dict[str, str]:
        """Addresses to probe: known members, listed instances, seeds."""
        own = self.identity
        known = self.members()
        addresses = {name: member.peer_address for name, member in self.reachable_peers().items()}
        for name, record in self.instances.values(""):
            if record.get("role") == "entry" and name not in known:
                addresses[name] = record["peer_address"]
        if not addresses:
            addresses = {f"seed {seed}": seed for seed in self.seeds}
        return {name: at for name, at in addresses.items() if at != own.peer_address}

    def handle_member(self, key: str, value: Any) -> None:
        """React to a member record learned from a peer."""
        name = key[len(MEMBER_PREFIX) :]
        member = Member(*value)
        if name == self.identity.instance:
            self.refute(member)
            return
        self.tell_listeners(name, member)

    def refute(self, member: Member) -> None:
        """Contradict an accusation against this instance.

        A record of an earlier start that left counts too, if its incarnation is not below this
        one's, as the time of day may have jumped back between the two starts.
        """
        own_leave = member.state == MemberState.LEFT and member.incarnation == self.incarnation
        if member.state == MemberState.ALIVE or own_leave:
            return
        self.metrics.count("peer_refutations")
        self.prober.raise_penalty()
        self.incarnation = member.incarnation + 1
        self.publish_self(MemberState.ALIVE)

    def tell_listeners(self, name: str, member: Member) -> None:
        """Log and pass on a change of a member's state."""
        json_log.info("member", member=name, state=MemberState(member.state).name.lower())
        if not member.reachable:
            self.progress.forget(name)
            self.heard_at.pop(name, None)
            self.transport.forget(member.peer_address)
        for listener in self.member_listeners:
            listener(name, member)

    def handle_observed(self, key: str, value: Any) -> None:
        """Nothing depends on others' observed revisions but reports."""

    def handle_copy(self, changes: list[Any]) -> None:
        """Push changed objects on."""
        if changes:
            self.push_soon()

    def push_soon(self) -> None:
        """Push once after the present callback, however many changes it makes.

        The first push goes at once; while changes keep coming, as at the start of a fleet, they
        are gathered for a moment, or each would be a frame to several peers at every instance.
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
        """Push what changed since the last push to a few random peers; probes carry the rest."""
        self.push_timer = None
        self.pushed_at = now()
        addresses = self.peer_addresses()
        chosen = self.rng.sample(sorted(addresses), min(URGENT_FANOUT, len(addresses)))
        for name in chosen:
            self.send(name, addresses[name], FrameKind.PUSH, 0, self.pushed)
        if chosen:
            self.pushed = self.progress.position()

    def send(
        self,
        name: str,
        address: str,
        kind: FrameKind,
        number: int,
        position: Position | None = None,
        target: str = "",
    ) -> None:
        """Send a frame with all changes after `position`, or with none."""
        end = self.progress.position()
        start = position or end
        frame = Frame(
            PROTOCOL,
            self.identity.cluster,
            kind,
            self.identity.instance,
            self.identity.incarnation,
            self.identity.peer_address,
            number,
            target,
            self.progress.digest_for(name),
            start.sequence,
            end.sequence,
            self.board.since(start.sequence),
            changes_after(self.objects, start.objects),
            changes_after(self.instances, start.instances),
        )
        self.transport.send(address, pack_frame(frame))

    def handle_frame(self, data: bytes) -> None:
        """Take a frame in; reject and count what is not understood."""
        try:
            frame = unpack_frame(data)
        except (msgspec.DecodeError, RecursionError):
            self.metrics.count("peer_frames_malformed")
            return
        if frame.protocol != PROTOCOL or frame.cluster != self.identity.cluster:
            self.metrics.count("peer_frames_foreign")
            return
        if frame.sender == self.identity.instance:
            return
        self.last_contact = now()
        self.heard_at[frame.sender] = self.last_contact
        self.merge(frame)
        self.answer(frame)

    def merge(self, frame: Frame) -> None:
        """Merge a frame's facts and changes."""
        for copy, changes in ((self.objects, frame.objects), (self.instances, frame.instances)):
            if changes is not None:
                copy.merge(changes)
        changed = self.board.merge(frame.facts)
        self.progress.note(frame)
        if changed and frame.kind == FrameKind.PUSH:
            self.push_soon()

    def answer(self, frame: Frame) -> None:
        """React to a frame by its kind."""
        if frame.kind == FrameKind.PING:
            lacking = self.progress.position_of(frame.digest)
            self.send(frame.sender, frame.peer_address, FrameKind.ACK, frame.number, lacking)
        elif frame.kind == FrameKind.PING_REQUEST:
            self.tasks.spawn(self.prober.relay_ping(frame), "relay ping")
        elif frame.kind == FrameKind.ACK:
            self.handle_ack(frame)

    def handle_ack(self, frame: Frame) -> None:
        """Resolve the probe and send the other side what it lacks."""
        self.prober.handle_ack(frame.number)
        if self.progress.lacks_something(frame.digest):
            lacking = self.progress.position_of(frame.digest)
            self.send(frame.sender, frame.peer_address, FrameKind.PUSH, 0, lacking)

    async def prune(self) -> None:
        """Move the window of recent changes on, and drop expired facts."""
        rounds = 0
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            self.progress.tick()
            rounds += 1
            if rounds % PRUNE_ROUNDS == 0:
                self.board.prune()


def changes_after(copy: VersionedCopy, revision: int) -> Changes | None:
    """Changes after a revision, or None if there are none."""
    return copy.since(revision) if revision < copy.revision else None
