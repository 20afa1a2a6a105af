"""Interface of a store whose objects are listed and watched by kind, with typed values."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import Any, NamedTuple

REVISION_BITS = 47
REVISION_MASK = (1 << REVISION_BITS) - 1
# Positions must fit a signed integer of 64 bits, so that peers can exchange them.
MAX_EPOCH = (1 << (63 - REVISION_BITS)) - 1


def make_position(epoch: int, revision: int) -> int:
    """Return the position of a revision that a store gave out in an epoch.

    A store that is restored from a copy gives revisions out again, and begins an epoch. Positions
    order all that it has ever given out, so they stand wherever the product says revision.
    """
    return (epoch << REVISION_BITS) | revision


def epoch_of(position: int) -> int:
    """Return the epoch of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision that a position stands for within its epoch."""
    return position & REVISION_MASK


class WatchedKind(enum.StrEnum):
    """Kinds of objects that an instance watches."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    DOMAINS_OUT = "domains-out"
    ROLLOUTS = "rollouts"


class WatchedItem(NamedTuple):
    """An object with the store revision of its last change; `value` is None once it is removed.

    Attributes
    ----------
    revision : int
        Position in the order of all that the store has given out, see `make_position`.
    """

    name: str
    revision: int
    value: Any


class WatchedItems(NamedTuple):
    """Objects of one kind at a store revision."""

    items: list[WatchedItem]
    revision: int


class HistoryLost(Exception):
    """The store has discarded the changes since the given revision; list the objects again."""


class WatchedStore(ABC):
    """Interface through which instances use the platform's store.

    Methods raise `Problem` of kind ``store-unavailable`` if no usable response arrives.
    """

    async def start(self) -> None:
        """Open connections and other resources."""

    async def close(self) -> None:
        """Release all resources."""

    @abstractmethod
    async def list(self, kind: WatchedKind) -> WatchedItems:
        """Return all objects of a kind."""

    @abstractmethod
    async def watch(self, kind: WatchedKind, after: int, wait: float) -> WatchedItems:
        """Return the objects that changed after a revision; removed ones have the value None.

        Parameters
        ----------
        after : int
            Last revision known to the caller.
        wait : float
            Seconds to wait for the first change.

        Raises
        ------
        HistoryLost
            If the store has discarded the changes after that revision.
        """

    @abstractmethod
    async def write_rollout(self, item: WatchedItem, state: Any) -> WatchedItem:
        """Store a rollout's progress unless its object has changed since `item` was read.

        Parameters
        ----------
        item : WatchedItem
            The rollout order, with the revision that the write is conditional on.
        state : object
            Progress to store with the order.

        Returns
        -------
        WatchedItem
            The stored object: with the new state, or as another writer left it.
        """
