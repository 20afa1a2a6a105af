"""Interface for merging the partial results of several shards into one result."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Part = TypeVar("Part")


class PartMerger(ABC, Generic[Part]):
    """Merges partial results; merging in steps gives the same result as merging at once."""

    @abstractmethod
    def merge(self, parts: list[Part], limit: int, offset: int = 0) -> Part:
        """Skip the `offset` greatest entries of all parts; return the next `limit`, descending."""
