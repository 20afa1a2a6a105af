"""Interfaces that decouple a search, its shard tasks and the service from each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mimosahoist.query.request import SearchRequest


class SearchContext(ABC):
    """The search, as seen by its shard tasks.

    Attributes
    ----------
    version : str
        Preferred version of the upstreams.
    encoded_prefix : bytes
        Start of each call's JSON body, identical for all shards.
    snapshot_lost : bool
        Set by a task when none of its upstreams holds the snapshot any more.
    """

    request: SearchRequest
    version: str
    encoded_prefix: bytes
    snapshot_lost: bool

    @abstractmethod
    def needs_exclusive(self) -> bool:
        """Whether each call needs an upstream with no other call from this instance."""

    @abstractmethod
    def handle_task_finished(self, task: Any) -> None:
        """Process the outcome of a finished task."""


class WaitingTask(ABC):
    """A shard task that waits for an upstream with free capacity."""

    search: SearchContext
    finished: bool

    @abstractmethod
    def launch(self) -> None:
        """Send the call to the best upstream, or wait for free capacity."""
