"""Hashes of text that all instances compute alike."""

from __future__ import annotations

import xxhash


def hash_text(text: str) -> int:
    """64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())
