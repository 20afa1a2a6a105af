"""Frames between instances, encoded as MessagePack."""

from __future__ import annotations

import enum
import zlib
from typing import NamedTuple

import msgspec

from mimosahoist.peers.facts import Fact
from mimosahoist.platform.store import Changes

PROTOCOL = 2
SMALL_FRAME_BYTES = 512
FAST_COMPRESSION = 1
# First byte of a zlib stream; a frame in MessagePack begins with the mark of an array.
ZLIB_START = b"\x78"
MAX_UNPACKED_BYTES = 64 << 20


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
    seen : int
        Number of the receiver's latest fact that the sender has; 0 if it has none.
    seen_incarnation : int
        Incarnation of the receiver that `seen` speaks of.
    checksum : int
        Checksum of all the sender's facts.
    """

    objects: int
    instances: int
    sequence: int
    seen: int
    seen_incarnation: int
    checksum: int


class Frame(NamedTuple):
    """One frame.

    `facts` holds all facts of the sender that changed after number `facts_since` up to
    `facts_until`.
    """

    protocol: int
    cluster: str
    kind: FrameKind
    sender: str
    incarnation: int
    peer_address: str
    number: int
    target: str
    digest: Digest
    facts_since: int
    facts_until: int
    facts: list[Fact]
    objects: Changes | None
    instances: Changes | None


def pack_frame(frame: Frame) -> bytes:
    """Encode a frame, compressed if it is large: facts of one kind are much alike."""
    data = frame_encoder.encode(frame)
    return data if len(data) < SMALL_FRAME_BYTES else zlib.compress(data, FAST_COMPRESSION)


def unpack_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    msgspec.DecodeError
        If it is none, or larger than any frame may be.
    """
    if data.startswith(ZLIB_START):
        unpacker = zlib.decompressobj()
        try:
            data = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from error
        if not unpacker.eof:
            raise msgspec.DecodeError("the frame is truncated or too large")
    return frame_decoder.decode(data)


frame_decoder = msgspec.msgpack.Decoder(Frame)
frame_encoder = msgspec.msgpack.Encoder()
