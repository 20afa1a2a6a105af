"""How far peers have come with this instance's facts and copies."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.peers.frames import Digest

if TYPE_CHECKING:
    from mimosahoist.peers.facts import FactTable
    from mimosahoist.peers.frames import Frame
    from mimosahoist.platform.versioned import VersionedCopy


class Position(NamedTuple):
    """A point in the local history: fact number and revisions of the copies."""

    sequence: int
    objects: int
    instances: int


class PeerProgress:
    """Progress of one incarnation of a peer.

    Attributes
    ----------
    merged_sequence : int
        The peer's facts up to this number are merged here.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.merged_sequence = 0


class ProgressTable:
    """Progress of all peers."""

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
        self.window_start = Position(0, 0, 0)
        self.next_window_start = Position(0, 0, 0)

    def position(self) -> Position:
        """Present end of the local history."""
        return Position(self.fact_table.sequence, self.objects.revision, self.instances.revision)

    def advance_window(self) -> None:
        """Let the window of recent changes move on by one interval."""
        self.window_start = self.next_window_start
        self.next_window_start = self.position()

    def digest_for(self, name: str) -> Digest:
        """Digest to send to a peer."""
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
        """Where in the local history the sender of a digest is.

        A sender with the same facts lacks none, though it may never have been in contact.
        """
        if digest.checksum == self.fact_table.checksum:
            return Position(self.fact_table.sequence, digest.objects, digest.instances)
        known = digest.acknowledged_incarnation == self.incarnation
        return Position(digest.acknowledged if known else 0, digest.objects, digest.instances)

    def is_behind(self, digest: Digest) -> bool:
        """Whether the sender of a digest lacks facts or changes that are here."""
        peer_position = self.position_of(digest)
        local_position = self.position()
        return any(
            local > remote for local, remote in zip(local_position, peer_position, strict=True)
        )

    def record_frame(self, frame: Frame) -> None:
        """Note the facts of a frame as received, if there is no gap before them."""
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
        """Drop a peer that is gone."""
        self.peers.pop(name, None)
