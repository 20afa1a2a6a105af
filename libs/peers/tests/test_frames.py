"""Encoding, compression and validation of frames."""

from __future__ import annotations

import unittest
import zlib

import msgspec

from mimosahoist.peers.facts import Fact
from mimosahoist.peers.frames import (
    COMPRESSION_THRESHOLD_BYTES,
    MAX_DECOMPRESSED_BYTES,
    PROTOCOL_VERSION,
    Digest,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)


def make_frame(facts: int) -> Frame:
    """Return a frame with the given number of similar facts."""
    return Frame(
        PROTOCOL_VERSION,
        "mimosahoist",
        FrameKind.PUSH,
        "entry-1",
        1_700_000_000_000,
        "127.0.0.1:1",
        3,
        "",
        Digest(1, 2, 3, 4, 5, 6),
        0,
        facts,
        [Fact(f"belief/upstreams/i-{number}", [number, b"10.0.0.1:80"]) for number in range(facts)],
        None,
        None,
    )


class FramesTest(unittest.TestCase):
    def test_large_frames_are_compressed(self) -> None:
        for facts in (0, 3, 300):
            with self.subTest(facts=facts):
                data = encode_frame(make_frame(facts))
                self.assertEqual(decode_frame(data).facts_until, facts)
                self.assertEqual(len(decode_frame(data).facts), facts)
        self.assertLess(len(encode_frame(make_frame(300))), 300 * 15)
        self.assertLess(len(encode_frame(make_frame(0))), COMPRESSION_THRESHOLD_BYTES)

    def test_invalid_compressed_data_is_rejected(self) -> None:
        good = encode_frame(make_frame(300))
        cases = {
            "truncated": good[:-9],
            "corrupted": good[:40] + b"\x00\x00\x00\x00" + good[44:],
            "not a frame": zlib.compress(b"x" * 2000),
            "too large": zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1)),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                decode_frame(data)
