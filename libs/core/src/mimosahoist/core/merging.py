"""Interface of what makes one answer of the parts of several shards."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Part = TypeVar("Part")


class PartMerger(ABC, Generic[Part]):
    """Merges parts into a part, so that merging in steps gives the same as merging at once."""

    @abstractmethod
    def merge(self, parts: list[Part], limit: int, offset: int = 0) -> Part:
        """Greatest `limit` entries of all parts after the first `offset`, greatest first."""
