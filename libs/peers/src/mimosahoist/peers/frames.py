"""Wire format of the frames between instances: MessagePack, compressed if large."""

from __future__ import annotations

import enum
import zlib
from typing import NamedTuple

import msgspec

from mimosahoist.peers.facts import Fact
from mimosahoist.platform.store import Changes

PROTOCOL_VERSION = 2
COMPRESSION_THRESHOLD_BYTES = 512
FASTEST_COMPRESSION_LEVEL = 1
# Marks a compressed frame: an uncompressed one starts with a MessagePack array header.
ZLIB_FIRST_BYTE = b"\x78"
MAX_DECOMPRESSED_BYTES = 64 << 20


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    PUSH = 4


class Digest(NamedTuple):
    """Replication progress of the sender.

    Attributes
    ----------
    objects, instances : int
        Revisions of the sender's copies of the two store collections.
    sequence : int
        Sequence number of the sender's latest fact.
    acknowledged : int
        Sequence number up to which the sender has the receiver's facts; 0 if it has none.
    acknowledged_incarnation : int
        Incarnation of the receiver that `acknowledged` refers to.
    checksum : int
        Checksum of all the sender's facts.
    """

    objects: int
    instances: int
    sequence: int
    acknowledged: int
    acknowledged_incarnation: int
    checksum: int


class Frame(NamedTuple):
    """A message between two instances.

    `facts` holds all facts of the sender whose last change has a sequence number greater than
    `facts_since` and at most `facts_until`.
    """

    protocol_version: int
    cluster: str
    kind: FrameKind
    sender: str
    incarnation: int
    peer_address: str
    probe_number: int
    target: str
    digest: Digest
    facts_since: int
    facts_until: int
    facts: list[Fact]
    objects: Changes | None
    instances: Changes | None


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, compressed if it is large, as facts of one kind resemble each other."""
    data = frame_encoder.encode(frame)
    return (
        data
        if len(data) < COMPRESSION_THRESHOLD_BYTES
        else zlib.compress(data, FASTEST_COMPRESSION_LEVEL)
    )


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    msgspec.DecodeError
        If the data is not a valid frame, or decompresses to more than
        MAX_DECOMPRESSED_BYTES.
    """
    if data.startswith(ZLIB_FIRST_BYTE):
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
        if not decompressor.eof:
            raise msgspec.DecodeError(
                f"compressed frame is truncated or larger than {MAX_DECOMPRESSED_BYTES} bytes"
            )
    return frame_decoder.decode(data)


frame_decoder = msgspec.msgpack.Decoder(Frame)
frame_encoder = msgspec.msgpack.Encoder()
