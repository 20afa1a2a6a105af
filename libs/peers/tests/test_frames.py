"""The encoded form of frames."""

from __future__ import annotations

import unittest
import zlib

import msgspec

from mimosahoist.peers.facts import Fact
from mimosahoist.peers.frames import (
    MAX_UNPACKED_BYTES,
    PROTOCOL,
    SMALL_FRAME_BYTES,
    Digest,
    Frame,
    FrameKind,
    pack_frame,
    unpack_frame,
)


def frame(facts: int) -> Frame:
    """A frame with some facts that are much alike."""
    return Frame(
        PROTOCOL,
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
    def test_large_frames_are_small_on_the_wire(self) -> None:
        for facts in (0, 3, 300):
            with self.subTest(facts=facts):
                data = pack_frame(frame(facts))
                self.assertEqual(unpack_frame(data).facts_until, facts)
                self.assertEqual(len(unpack_frame(data).facts), facts)
        self.assertLess(len(pack_frame(frame(300))), 300 * 15)
        self.assertLess(len(pack_frame(frame(0))), SMALL_FRAME_BYTES)

    def test_broken_compression_is_malformed(self) -> None:
        good = pack_frame(frame(300))
        cases = {
            "cut short": good[:-9],
            "spoiled": good[:40] + b"\x00\x00\x00\x00" + good[44:],
            "nothing of ours": zlib.compress(b"x" * 2000),
            "more than any frame": zlib.compress(bytes(MAX_UNPACKED_BYTES + 1)),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                unpack_frame(data)
