"""Keeps this instance's beliefs in line with the platform's store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.platform.watched import HistoryLost, WatchedItem, WatchedKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.beliefs import Beliefs
    from mimosahoist.platform.watched import WatchedItems, WatchedStore

WATCH_SECONDS = 20.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
FLEET_CHECK_SECONDS = 0.5
ROLE_CHECK_SECONDS = 0.2
WATCH_LAG_SECONDS = 0.15


class FleetView(ABC):
    """What a follower needs to know of the other instances."""

    @abstractmethod
    def alive(self) -> int:
        """Instances that answer probes, this one included."""

    @abstractmethod
    def watches(self) -> bool:
        """Whether this instance watches the store for others too."""


class StoreFollower:
    """Lists each kind once, then watches it; lists again where history was lost.

    Entries that lapsed while the store was away may come back, so absence counts as removal
    only some time after its return. A watch may hear nothing for seconds while changes are made,
    so the instances take turns to ask for the store's revision, and list what the watches missed.

    Only some instances watch; the others hear of changes from them, and check in turn like all.

    Attributes
    ----------
    fleet_view : FleetView
        How many instances take turns, and whether this one watches.
    outage_listeners : list of callable
        Called when the store is back after it did not answer.
    highest_seen : int
        Greatest store revision that any answer or peer has told.
    """

    def __init__(
        self,
        store: WatchedStore,
        beliefs: Beliefs,
        recheck_seconds: float,
        metrics: Metrics,
        rng: random.Random,
        fleet_view: FleetView,
    ) -> None:
        self.store = store
        self.beliefs = beliefs
        self.recheck_seconds = recheck_seconds
        self.metrics = metrics
        self.rng = rng
        self.fleet_view = fleet_view
        self.outage_listeners: list[Callable[[], None]] = []
        self.highest_seen = 0
        self.tasks = TaskSet()
        self.away_since: dict[WatchedKind, float] = {}
        self.recheck_until = 0.0
        self.absent: dict[str, WatchedItem] = {}

    async def start(self) -> None:
        """Begin to follow every kind."""
        for kind in WatchedKind:
            self.tasks.spawn(self.follow(kind), f"follow {kind}")
        self.tasks.spawn(self.check_revision(), "check revision")

    async def close(self) -> None:
        """Stop."""
        await self.tasks.close()

    @property
    def away(self) -> bool:
        """Whether the store does not answer now."""
        return bool(self.away_since)

    async def follow(self, kind: WatchedKind) -> None:
        """Follow one kind for ever."""
        pause = FIRST_RETRY_SECONDS
        while True:
            try:
                revision = await self.read_all(kind)
                pause = FIRST_RETRY_SECONDS
                while self.fleet_view.watches():
                    revision = await self.read_changes(kind, revision)
                while not self.fleet_view.watches():
                    await asyncio.sleep(ROLE_CHECK_SECONDS)
            except HistoryLost:
                self.metrics.count("store_history_lost")
            except Problem as problem:
                self.note_away(kind, problem)
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.5))
                pause = min(LONGEST_RETRY_SECONDS, pause * 2)

    async def read_all(self, kind: WatchedKind, seen: int | None = None) -> int:
        """List a kind and take it as the whole truth; return the store's revision.

        Parameters
        ----------
        seen : int, optional
            What to keep as the greatest revision seen, if the list is only a check.
        """
        self.metrics.count("store_lists")
        listing = await self.store.list(kind)
        self.note_back(kind)
        if seen is None:
            self.highest_seen = max(self.highest_seen, listing.revision)
        listed = {item.name for item in listing.items}
        gone = [
            WatchedItem(name, listing.revision, None)
            for name in self.beliefs.known(kind)
            if name not in listed
        ]
        self.take(kind, listing._replace(items=listing.items + gone))
        return listing.revision

    async def read_changes(self, kind: WatchedKind, revision: int) -> int:
        """Watch a kind once."""
        self.metrics.count("store_watches")
        changes = await self.store.watch(kind, revision, WATCH_SECONDS)
        self.note_back(kind)
        self.highest_seen = max(self.highest_seen, changes.revision)
        self.take(kind, changes)
        return max(revision, changes.revision)

    async def check_revision(self) -> None:
        """Ask now and then whether the store is ahead of what the watches told."""
        while True:
            turn = FLEET_CHECK_SECONDS * self.fleet_view.alive()
            await asyncio.sleep(turn * self.rng.uniform(0.6, 1.4))
            try:
                await self.catch_up()
            except Problem as problem:
                self.metrics.count("store_checks_failed")
                self.note_away(WatchedKind.DOMAINS_OUT, problem)

    async def catch_up(self) -> None:
        """List everything if the store has a change that no watch delivers."""
        seen = self.highest_seen
        revision = await self.read_all(WatchedKind.DOMAINS_OUT, seen)
        if revision <= seen:
            return
        await asyncio.sleep(WATCH_LAG_SECONDS)
        if revision <= self.highest_seen:
            return
        self.metrics.count("store_changes_missed")
        json_log.change("watches are behind", revision=revision, seen=self.highest_seen)
        for kind in WatchedKind:
            await self.read_all(kind, revision)
        self.highest_seen = max(self.highest_seen, revision)

    def take(self, kind: WatchedKind, changes: WatchedItems) -> None:
        """Believe changes, but hold absence back while lapsed entries may return."""
        for item in changes.items:
            if kind is WatchedKind.UPSTREAMS:
                self.absent.pop(item.name, None)
                if item.value is None and now() < self.recheck_until:
                    self.absent[item.name] = item
                    continue
            self.beliefs.take(kind, item)

    def note_away(self, kind: WatchedKind, problem: Problem) -> None:
        """Log the loss of the store once."""
        if not self.away_since:
            json_log.change("store lost", kind=str(kind), error=problem.message)
        self.away_since.setdefault(kind, now())

    def note_back(self, kind: WatchedKind) -> None:
        """Log the store's return, and hold absence back for a while."""
        since = self.away_since.pop(kind, None)
        if since is None:
            return
        json_log.change("store back", kind=str(kind), away_seconds=round(now() - since, 2))
        self.hold_absence()
        for listener in self.outage_listeners:
            listener()

    def hold_absence(self) -> None:
        """Hold absence back from now on, as entries may have lapsed during an outage."""
        self.recheck_until = now() + self.recheck_seconds
        asyncio.get_running_loop().call_at(self.recheck_until, self.believe_absence)

    def believe_absence(self) -> None:
        """Take entries as gone that did not come back in time."""
        if now() < self.recheck_until:
            return
        absent, self.absent = self.absent, {}
        for item in absent.values():
            self.beliefs.take(WatchedKind.UPSTREAMS, item)
