"""Keeps this instance's beliefs in line with the platform's store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.forward.revision_tracker import RevisionTracker
from mimosahoist.platform.watched import HistoryLost, WatchedItem, WatchedKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.state_cache import StateCache
    from mimosahoist.platform.watched import WatchedItems, WatchedStore

WATCH_SECONDS = 20.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
FLEET_CHECK_SECONDS = 0.5
ROLE_CHECK_SECONDS = 0.2
WATCH_LAG_SECONDS = 0.15
PEERS_FIRST_SECONDS = 0.8
INFORMED_CHECK_SECONDS = 0.05
TURN_CHECK_SECONDS = 0.1


class FleetView(ABC):
    """What a follower needs to know of the other instances."""

    @abstractmethod
    def reads_first(self) -> bool:
        """Whether this instance reads the store at its start without waiting to be told."""

    @abstractmethod
    def alive(self) -> int:
        """Instances that answer probes, this one included."""

    @abstractmethod
    def watches(self) -> bool:
        """Whether this instance watches the store for others too."""


class Absence(NamedTuple):
    """An entry that is missing, and the loop time from which it counts as gone."""

    item: WatchedItem
    until: float


class StoreFollower:
    """Watches each kind after a list, and lists again where history was lost.

    Entries that lapsed while the store was away may come back, so absence counts as removal
    only some time after its return. A watch may hear nothing for seconds while changes are made,
    so the instances take turns to ask for the store's revision, and list what the watches missed.

    Only some instances watch; the others hear of changes from them, and check in turn like all.
    At their start most wait a moment to be told everything by others, so that the calls of a start
    of the whole fleet do not grow with it.

    Attributes
    ----------
    fleet_view : FleetView
        How many instances take turns, and whether this one watches.
    outage_listeners : list of callable
        Called when the store is back after it did not answer.
    revisions : RevisionTracker
        Revisions of the changes that any answer or peer has told.
    settled_listeners : list of callable
        Called with a revision up to which everything was listed here.
    """

    def __init__(
        self,
        store: WatchedStore,
        state_cache: StateCache,
        recheck_seconds: float,
        metrics: Metrics,
        rng: random.Random,
        fleet_view: FleetView,
    ) -> None:
        self.store = store
        self.state_cache = state_cache
        self.recheck_seconds = recheck_seconds
        self.metrics = metrics
        self.rng = rng
        self.fleet_view = fleet_view
        self.recovery_listeners: list[Callable[[], None]] = []
        self.synced_listeners: list[Callable[[int], None]] = []
        self.revisions = RevisionTracker()
        state_cache.listeners.append(self.note_belief)
        self.tasks = TaskSet()
        self.away_since: dict[WatchedKind, float] = {}
        self.recheck_until = 0.0
        self.absent: dict[str, Absence] = {}

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

    def note_belief(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Account for a change, whoever told it.

        What was missing from a list bears the list's revision, which may be another change's.
        """
        if item.value is not None:
            self.revisions.note(item.revision)

    async def wait_to_be_told(self) -> None:
        """Give the others a moment to tell what they know."""
        until = now() + PEERS_FIRST_SECONDS * self.rng.uniform(1.0, 1.5)
        while now() < until and not (self.fleet_view.reads_first() or self.state_cache.complete):
            await asyncio.sleep(INFORMED_CHECK_SECONDS)

    async def follow(self, kind: WatchedKind) -> None:
        """Follow one kind for ever."""
        await self.wait_to_be_told()
        if not self.fleet_view.reads_first() and self.state_cache.complete:
            await self.wait_for_role()
        pause = FIRST_RETRY_SECONDS
        while True:
            try:
                revision = await self.read_all(kind)
                pause = FIRST_RETRY_SECONDS
                while self.fleet_view.watches():
                    revision = await self.read_changes(kind, revision)
                await self.wait_for_role()
            except HistoryLost:
                self.metrics.count("store_history_lost")
            except Problem as problem:
                self.note_away(kind, problem)
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.5))
                pause = min(LONGEST_RETRY_SECONDS, pause * 2)

    async def wait_for_role(self) -> None:
        """Wait until this instance is one of those that watch."""
        while not self.fleet_view.watches():
            await asyncio.sleep(ROLE_CHECK_SECONDS)

    async def read_all(self, kind: WatchedKind) -> int:
        """List a kind and take it as the whole truth; return the store's revision."""
        self.metrics.count("store_lists")
        listing = await self.store.list(kind)
        self.note_back(kind)
        listed = {item.name for item in listing.items}
        gone = [
            WatchedItem(name, listing.revision, None)
            for name in self.state_cache.known(kind)
            if name not in listed
        ]
        self.take(kind, listing._replace(items=listing.items + gone))
        return listing.revision

    async def read_changes(self, kind: WatchedKind, revision: int) -> int:
        """Watch a kind once."""
        self.metrics.count("store_watches")
        changes = await self.store.watch(kind, revision, WATCH_SECONDS)
        self.note_back(kind)
        self.take(kind, changes)
        if changes.items:
            self.account(changes)
        return max(revision, changes.revision)

    def account(self, changes: WatchedItems) -> None:
        """Account for what a watch told; a removal may bear the revision of the change before."""
        before = self.revisions.base
        for item in changes.items:
            self.revisions.note(item.revision)
        self.revisions.note(changes.revision)
        if self.revisions.base > before and any(item.value is None for item in changes.items):
            self.tell_settled()

    def tell_settled(self) -> None:
        """Tell listeners up to which revision everything is known here."""
        for listener in self.synced_listeners:
            listener(self.revisions.base)

    async def wait_for_turn(self) -> None:
        """Wait as long as all instances together need for one check each."""
        began = now()
        share = self.rng.uniform(0.6, 1.4) * FLEET_CHECK_SECONDS
        while now() - began < share * self.fleet_view.alive():
            await asyncio.sleep(TURN_CHECK_SECONDS)

    async def check_revision(self) -> None:
        """Ask now and then whether the store is ahead of what the watches told."""
        await self.wait_to_be_told()
        while True:
            await self.wait_for_turn()
            try:
                await self.catch_up()
            except Problem as problem:
                self.metrics.count("store_checks_failed")
                self.note_away(WatchedKind.DOMAINS_OUT, problem)

    async def catch_up(self) -> None:
        """List everything if the store has a change that no watch delivers."""
        revision = await self.read_all(WatchedKind.DOMAINS_OUT)
        if self.revisions.covers(revision):
            return
        await asyncio.sleep(WATCH_LAG_SECONDS)
        if self.revisions.covers(revision):
            return
        self.metrics.count("store_changes_missed")
        json_log.change("watches are behind", revision=revision, known=self.revisions.base)
        settled = [await self.read_all(kind) for kind in WatchedKind]
        self.revisions.advance_to(min(settled))
        self.tell_settled()

    def take(self, kind: WatchedKind, changes: WatchedItems) -> None:
        """Believe changes, but hold absence back while lapsed entries may return."""
        for item in changes.items:
            if kind is WatchedKind.UPSTREAMS:
                held = self.absent.pop(item.name, None)
                if item.value is None and now() < self.recheck_until:
                    self.hold_back(item, held)
                    continue
            self.state_cache.put_if_newer(kind, item)

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
        self.defer_removals()
        for listener in self.recovery_listeners:
            listener()

    def defer_removals(self) -> None:
        """Hold absence back from now on, as entries may have lapsed during an outage."""
        self.recheck_until = now() + self.recheck_seconds
        asyncio.get_running_loop().call_at(self.recheck_until, self.believe_absence)

    def hold_back(self, item: WatchedItem, held: Absence | None) -> None:
        """Wait for an entry's return, from when it was first missing.

        Instances that the store had turned away return one after the other; each return must not
        hold back anew what was already missing.
        """
        until = held.until if held is not None else now() + self.recheck_seconds
        self.absent[item.name] = Absence(item, until)
        if held is None:
            asyncio.get_running_loop().call_at(until, self.believe_absence)

    def believe_absence(self) -> None:
        """Take entries as gone that did not come back in time."""
        at = now()
        for name, absence in list(self.absent.items()):
            if at >= min(absence.until, self.recheck_until):
                del self.absent[name]
                self.state_cache.put_if_newer(WatchedKind.UPSTREAMS, absence.item)
