"""Replication progress between this instance and its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.peers.frames import Digest

if TYPE_CHECKING:
    from mimosahoist.peers.facts import FactTable
    from mimosahoist.peers.frames import Frame
    from mimosahoist.platform.versioned import VersionedCopy


class Position(NamedTuple):
    """A point in the local history: fact sequence number and revisions of the copies."""

    sequence: int
    objects: int
    instances: int


class PeerProgress:
    """Replication progress of one incarnation of a peer.

    Attributes
    ----------
    merged_sequence : int
        Sequence number up to which this instance has merged the peer's facts.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.merged_sequence = 0


class ProgressTable:
    """Replication progress of all peers."""

    def __init__(
        self,
        incarnation: int,
        fact_table: FactTable,
        objects: VersionedCopy,
        instances: VersionedCopy,
    ) -> None:
        self.incarnation = incarnation
        self.fact_table = fact_table
        self.objects = objects
        self.instances = instances
        self.peers: dict[str, PeerProgress] = {}

    def position(self) -> Position:
        """Return the current end of the local history."""
        return Position(self.fact_table.sequence, self.objects.revision, self.instances.revision)

    def digest_for(self, name: str) -> Digest:
        """Return the digest of the local state to send to a peer."""
        peer = self.peers.get(name)
        return Digest(
            self.objects.revision,
            self.instances.revision,
            self.fact_table.sequence,
            peer.merged_sequence if peer else 0,
            peer.incarnation if peer else 0,
            self.fact_table.checksum,
        )

    def position_of(self, digest: Digest) -> Position:
        """Return the position in the local history that the sender of a digest has reached.

        A sender with an equal checksum has all facts, even if it has never exchanged frames with
        this instance.
        """
        if digest.checksum == self.fact_table.checksum:
            return Position(self.fact_table.sequence, digest.objects, digest.instances)
        known = digest.acknowledged_incarnation == self.incarnation
        return Position(digest.acknowledged if known else 0, digest.objects, digest.instances)

    def is_behind(self, digest: Digest) -> bool:
        """Return whether the sender of a digest lacks local facts or store changes."""
        peer_position = self.position_of(digest)
        local_position = self.position()
        return any(
            local > remote for local, remote in zip(local_position, peer_position, strict=True)
        )

    def record_frame(self, frame: Frame) -> None:
        """Record the facts of a frame as merged, unless earlier facts are missing."""
        peer = self.peers.get(frame.sender)
        if peer is None or peer.incarnation < frame.incarnation:
            peer = PeerProgress(frame.incarnation)
            self.peers[frame.sender] = peer
        if peer.incarnation != frame.incarnation:
            return
        if frame.digest.checksum == self.fact_table.checksum:
            peer.merged_sequence = max(peer.merged_sequence, frame.digest.sequence)
        elif frame.facts_since <= peer.merged_sequence:
            peer.merged_sequence = max(peer.merged_sequence, frame.facts_until)

    def remove(self, name: str) -> None:
        """Remove a peer that has left or died."""
        self.peers.pop(name, None)
