"""Frames between instances, encoded as MessagePack."""

from __future__ import annotations

import enum
import zlib
from typing import NamedTuple

import msgspec

from mimosahoist.peers.facts import Fact
from mimosahoist.platform.store import Changes

PROTOCOL_VERSION = 2
COMPRESSION_THRESHOLD_BYTES = 512
COMPRESSION_LEVEL = 1
# First byte of a zlib stream; a frame in MessagePack begins with the mark of an array.
ZLIB_FIRST_BYTE = b"\x78"
MAX_DECOMPRESSED_BYTES = 64 << 20


class FrameKind(enum.IntEnum):
    """What a frame asks for."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    PUSH = 4


class Digest(NamedTuple):
    """How far the sender has come.

    Attributes
    ----------
    objects, instances : int
        Revisions of the sender's copies.
    sequence : int
        Number of the sender's latest fact.
    acknowledged : int
        Number of the receiver's latest fact that the sender has; 0 if it has none.
    acknowledged_incarnation : int
        Incarnation of the receiver that `acknowledged` speaks of.
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
    """One frame.

    `facts` holds all facts of the sender that changed after number `facts_since` up to
    `facts_until`.
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
    """Encode a frame, compressed if it is large: facts of one kind are much alike."""
    data = frame_encoder.encode(frame)
    return (
        data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data, COMPRESSION_LEVEL)
    )


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    msgspec.DecodeError
        If it is none, or larger than any frame may be.
    """
    if data.startswith(ZLIB_FIRST_BYTE):
        decompressor = zlib.decompressobj()
        try:
            data = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
        if not decompressor.eof:
            raise msgspec.DecodeError("the frame is truncated or too large")
    return frame_decoder.decode(data)


frame_decoder = msgspec.msgpack.Decoder(Frame)
frame_encoder = msgspec.msgpack.Encoder()
