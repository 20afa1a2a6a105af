"""What the parts of a search know of it, and what a service knows of its waiting tasks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mimosahoist.query.request import SearchRequest


class SearchContext(ABC):
    """A search as its shard tasks see it.

    Attributes
    ----------
    version : str
        Version of the upstreams that the search prefers.
    encoded_prefix : bytes
        Part of each call's body that is the same for all shards.
    snapshot_lost : bool
        Set by a task whose upstreams no longer hold the snapshot.
    """

    request: SearchRequest
    version: str
    encoded_prefix: bytes
    snapshot_lost: bool

    @abstractmethod
    def needs_exclusive(self) -> bool:
        """Whether each call must run alone on its upstream."""

    @abstractmethod
    def handle_finished(self, task: Any) -> None:
        """Take the outcome of a task."""


class WaitingTask(ABC):
    """A shard task that waits for an upstream with room."""

    search: SearchContext
    finished: bool

    @abstractmethod
    def launch(self) -> None:
        """Send the call to the best upstream, or wait for room."""
