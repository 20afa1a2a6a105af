"""Text hash that is the same on all instances."""

from __future__ import annotations

import xxhash


def hash_text(text: str) -> int:
    """Return the 64-bit xxHash of a text."""
    return xxhash.xxh64_intdigest(text.encode())
