"""Interface of a store whose kinds of objects are listed and watched, with typed values."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import Any, NamedTuple


class WatchedKind(enum.StrEnum):
    """Kinds of objects that an instance follows."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    DOMAINS_OUT = "domains-out"
    ROLLOUTS = "rollouts"


class WatchedItem(NamedTuple):
    """One object with the store revision of its last change; the value is None once removed."""

    name: str
    revision: int
    value: Any


class WatchedItems(NamedTuple):
    """Objects of a kind as of a store revision."""

    items: list[WatchedItem]
    revision: int


class HistoryLost(Exception):
    """The store no longer knows what changed since the given revision; list again."""


class WatchedStore(ABC):
    """The platform's store as instances read it.

    Methods raise `Problem` of kind ``store-unavailable`` when no usable answer came.
    """

    async def start(self) -> None:
        """Open what the store needs."""

    async def close(self) -> None:
        """Release it."""

    @abstractmethod
    async def list(self, kind: WatchedKind) -> WatchedItems:
        """All objects of a kind."""

    @abstractmethod
    async def watch(self, kind: WatchedKind, after: int, wait: float) -> WatchedItems:
        """Objects that changed after a revision, removed ones with a value of None.

        Parameters
        ----------
        after : int
            Revision that the caller has.
        wait : float
            Seconds to wait for a first change.

        Raises
        ------
        HistoryLost
            If the store has discarded that part of its history.
        """

    @abstractmethod
    async def write_rollout(self, item: WatchedItem, state: Any) -> WatchedItem:
        """Store a rollout's progress, unless its object changed since `item` was read.

        Parameters
        ----------
        item : WatchedItem
            The order with the revision that the write depends on.
        state : object
            Progress to store beside the order.

        Returns
        -------
        WatchedItem
            What the store holds now: with the new state, or as another writer left it.
        """
