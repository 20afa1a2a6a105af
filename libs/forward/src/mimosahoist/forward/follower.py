"""Keeps this instance's state cache in sync with the platform's store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, boot_time, now
from mimosahoist.forward.revision_tracker import RevisionTracker
from mimosahoist.platform.watched import HistoryLost, WatchedItem, WatchedKind, epoch_of

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.state_cache import StateCache
    from mimosahoist.platform.watched import WatchedItems, WatchedStore

WATCH_TIMEOUT_SECONDS = 20.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.5
ROLE_POLL_SECONDS = 0.4
WATCH_DELAY_TOLERANCE_SECONDS = 0.15
PEER_STATE_WAIT_SECONDS = 0.8
PEER_STATE_POLL_SECONDS = 0.05
TURN_POLL_SECONDS = 0.2
# Number of instances that take turns, so that the time between two checks, and each one's share of
# them, depend neither on the number of instances nor on how long ago they started.
MAX_CHECKERS = 8


class PeerView(ABC):
    """What a follower needs to know about the other instances."""

    @abstractmethod
    def reads_store_at_start(self) -> bool:
        """Whether this instance reads the store at its start without waiting for peers' state."""

    @abstractmethod
    def alive_count(self) -> int:
        """Number of instances that answer probes, including this one."""

    @abstractmethod
    def rank(self) -> int:
        """Number of live instances before this one in an order that all instances agree on."""

    @abstractmethod
    def is_store_watcher(self) -> bool:
        """Whether this instance watches the store on behalf of all."""


class PendingRemoval(NamedTuple):
    """A missing entry, and the loop time from which it counts as removed."""

    kind: WatchedKind
    item: WatchedItem
    until: float


class StoreFollower:
    """Lists and then watches each kind, and lists again when the watch history was discarded.

    Entries that expired during a store outage, or that the copy lacks from which the store was
    restored, may be written again, so a missing entry counts as removed only some time after. A
    watch may deliver nothing for seconds while changes are made, so some instances take turns to
    check the store's revision and list what the watches missed.

    Only some instances watch; the others receive changes from them.
    At start most instances first wait for their peers' state, so that the number of store calls
    does not grow with the number of instances that start together.

    Attributes
    ----------
    peer_view : PeerView
        How many instances take turns, and whether this one watches.
    recovery_listeners : list of callable
        Called when the store answers again after an outage.
    revisions : RevisionTracker
        Revisions of the changes received from the store or from any peer.
    synced_listeners : list of callable
        Called with a revision up to which all changes are known here.
    confirmation_listeners : list of callable
        Called with a time, on the clock that counts suspensions, at which the configuration known
        here was the store's.
    """

    def __init__(
        self,
        store: WatchedStore,
        state_cache: StateCache,
        recheck_seconds: float,
        metrics: Metrics,
        rng: random.Random,
        peer_view: PeerView,
    ) -> None:
        self.store = store
        self.state_cache = state_cache
        self.recheck_seconds = recheck_seconds
        self.metrics = metrics
        self.rng = rng
        self.peer_view = peer_view
        self.recovery_listeners: list[Callable[[], None]] = []
        self.synced_listeners: list[Callable[[int], None]] = []
        self.confirmation_listeners: list[Callable[[float], None]] = []
        self.revisions = RevisionTracker()
        state_cache.listeners.append(self.record_revision)
        self.tasks = TaskSet()
        self.unavailable_since: dict[WatchedKind, float] = {}
        self.removals_deferred_until = 0.0
        self.pending_removals: dict[tuple[WatchedKind, str], PendingRemoval] = {}
        self.epoch: int | None = None

    async def start(self) -> None:
        """Start following every kind."""
        for kind in WatchedKind:
            self.tasks.keep_running(partial(self.follow, kind), f"follow {kind}")
        self.tasks.keep_running(self.check_for_missed_changes, "check revision")

    async def close(self) -> None:
        """Stop following."""
        await self.tasks.close()

    @property
    def store_unavailable(self) -> bool:
        """Whether the store does not answer at present."""
        return bool(self.unavailable_since)

    def record_revision(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Track the revision of a change from any source.

        Removals are skipped: one that was inferred from a list carries the list's revision, which
        may belong to another change.
        """
        if item.value is not None:
            self.revisions.add(item.revision)

    async def wait_for_peer_state(self) -> None:
        """Wait a limited time for the state that peers send."""
        until = now() + PEER_STATE_WAIT_SECONDS * self.rng.uniform(1.0, 1.5)
        while now() < until and not (
            self.peer_view.reads_store_at_start() or self.state_cache.complete
        ):
            await asyncio.sleep(PEER_STATE_POLL_SECONDS)

    async def follow(self, kind: WatchedKind) -> None:
        """Follow one kind until the task is cancelled."""
        await self.wait_for_peer_state()
        if not self.peer_view.reads_store_at_start() and self.state_cache.complete:
            await self.wait_for_watcher_role()
        retry_delay = MIN_RETRY_SECONDS
        while True:
            try:
                revision = await self.list_kind(kind)
                retry_delay = MIN_RETRY_SECONDS
                while self.peer_view.is_store_watcher():
                    revision = await self.watch_kind(kind, revision)
                await self.wait_for_watcher_role()
            except HistoryLost:
                self.metrics.count("store_history_lost")
            except Problem as problem:
                self.mark_store_unavailable(kind, problem)
                await asyncio.sleep(retry_delay * self.rng.uniform(0.5, 1.5))
                retry_delay = min(MAX_RETRY_SECONDS, retry_delay * 2)

    async def wait_for_watcher_role(self) -> None:
        """Wait until this instance is one of the watchers."""
        while not self.peer_view.is_store_watcher():
            await asyncio.sleep(ROLE_POLL_SECONDS)

    async def list_kind(self, kind: WatchedKind) -> int:
        """List a kind and remove what the list lacks; return the store's revision."""
        self.metrics.count("store_lists")
        asked_at = boot_time()
        listing = await self.store.list(kind)
        self.mark_store_available(kind)
        self.record_epoch(listing.revision)
        listed = {item.name for item in listing.items}
        removed = [
            WatchedItem(name, listing.revision, None)
            for name in self.state_cache.known(kind)
            if name not in listed
        ]
        self.apply_changes(kind, listing._replace(items=listing.items + removed))
        if kind is WatchedKind.CONFIGURATION or self.revisions.covers(listing.revision):
            self.notify_confirmed(asked_at)
        return listing.revision

    async def confirm_configuration(self) -> None:
        """Read from the store whether the configuration known here is the current one.

        Raises
        ------
        Problem
            If the store gives no answer.
        """
        # The list of evacuations is the shortest, and tells the store's revision.
        revision = await self.list_kind(WatchedKind.DOMAINS_OUT)
        if not self.revisions.covers(revision):
            await self.list_kind(WatchedKind.CONFIGURATION)

    def notify_confirmed(self, asked_at: float) -> None:
        """Call listeners because the configuration was the store's when it was asked."""
        for listener in self.confirmation_listeners:
            listener(asked_at)

    async def watch_kind(self, kind: WatchedKind, revision: int) -> int:
        """Wait for one batch of changes of a kind; return the revision to continue from."""
        self.metrics.count("store_watches")
        changes = await self.store.watch(kind, revision, WATCH_TIMEOUT_SECONDS)
        self.mark_store_available(kind)
        self.record_epoch(changes.revision)
        self.apply_changes(kind, changes)
        if changes.items:
            self.record_delivered(changes)
        return max(revision, changes.revision)

    def record_delivered(self, changes: WatchedItems) -> None:
        """Track what a watch delivered; a removal may carry the preceding change's revision."""
        before = self.revisions.known_through
        for item in changes.items:
            self.revisions.add(item.revision)
        self.revisions.add(changes.revision)
        if self.revisions.known_through > before and any(
            item.value is None for item in changes.items
        ):
            self.notify_synced()

    def notify_synced(self) -> None:
        """Call listeners with the revision up to which all changes are known here."""
        for listener in self.synced_listeners:
            listener(self.revisions.known_through)

    async def wait_for_turn(self, part: float) -> None:
        """Wait for part of the time in which each checker makes one check."""
        started = now()
        while True:
            checkers = min(MAX_CHECKERS, self.peer_view.alive_count())
            elapsed = now() - started
            if self.peer_view.rank() < checkers and (
                elapsed >= part * checkers * CHECK_INTERVAL_SECONDS
            ):
                return
            await asyncio.sleep(TURN_POLL_SECONDS)

    async def check_for_missed_changes(self) -> None:
        """Periodically check whether the store has changes that were not delivered."""
        await self.wait_for_peer_state()
        # Instances that start together spread their first checks like the later ones.
        part = self.rng.uniform(0.0, 1.0)
        while True:
            await self.wait_for_turn(part)
            part = self.rng.uniform(0.6, 1.4)
            try:
                await self.list_missed_changes()
            except Problem as problem:
                self.metrics.count("store_checks_failed")
                self.mark_store_unavailable(WatchedKind.DOMAINS_OUT, problem)

    async def list_missed_changes(self) -> None:
        """List all kinds if the store has a change that no watch delivered."""
        revision = await self.list_kind(WatchedKind.DOMAINS_OUT)
        if self.revisions.covers(revision):
            return
        await asyncio.sleep(WATCH_DELAY_TOLERANCE_SECONDS)
        if self.revisions.covers(revision):
            return
        self.metrics.count("store_changes_missed")
        json_log.info("watches are behind", revision=revision, known=self.revisions.known_through)
        revisions = [await self.list_kind(kind) for kind in WatchedKind]
        self.revisions.advance_to(min(revisions))
        self.notify_synced()

    def apply_changes(self, kind: WatchedKind, changes: WatchedItems) -> None:
        """Store changes, but defer removals while missing entries may be written again."""
        for item in changes.items:
            pending = self.pending_removals.pop((kind, item.name), None)
            if item.value is None and now() < self.removals_deferred_until:
                self.defer_removal(kind, item, pending)
                continue
            self.state_cache.put_if_newer(kind, item)

    def mark_store_unavailable(self, kind: WatchedKind, problem: Problem) -> None:
        """Record that the store does not answer; log it at the start of an outage."""
        if not self.unavailable_since:
            json_log.info("store lost", kind=str(kind), error=problem.message)
        self.unavailable_since.setdefault(kind, now())

    def mark_store_available(self, kind: WatchedKind) -> None:
        """Record that the store answers again after an outage, and defer removals."""
        since = self.unavailable_since.pop(kind, None)
        if since is None:
            return
        json_log.info("store back", kind=str(kind), away_seconds=round(now() - since, 2))
        self.defer_removals()
        self.notify_recovered()

    def record_epoch(self, revision: int) -> None:
        """Defer removals if the store was restored from a copy, which may lack entries."""
        epoch = epoch_of(revision)
        if self.epoch is not None and epoch <= self.epoch:
            return
        if self.epoch is not None:
            self.metrics.count("store_restored")
            json_log.info(
                "store restored", epoch=epoch, before=self.epoch, known=self.revisions.known_through
            )
            self.defer_removals()
            self.notify_recovered()
        self.epoch = epoch

    def notify_recovered(self) -> None:
        """Call the listeners because the store answers again, or was restored."""
        for listener in self.recovery_listeners:
            listener()

    def defer_removals(self) -> None:
        """Defer removals from now on, since entries may have expired during an outage."""
        self.removals_deferred_until = now() + self.recheck_seconds
        asyncio.get_running_loop().call_at(self.removals_deferred_until, self.apply_due_removals)

    def defer_removal(
        self, kind: WatchedKind, item: WatchedItem, pending: PendingRemoval | None
    ) -> None:
        """Defer the removal of an entry, counted from when it was first missing.

        Instances that had lost the store reconnect one after the other; a later recovery must not
        extend the wait for an entry that is already missing.
        """
        until = pending.until if pending is not None else now() + self.recheck_seconds
        self.pending_removals[kind, item.name] = PendingRemoval(kind, item, until)
        if pending is None:
            asyncio.get_running_loop().call_at(until, self.apply_due_removals)

    def apply_due_removals(self) -> None:
        """Remove the entries that were not registered again in time."""
        at = now()
        for key, removal in list(self.pending_removals.items()):
            if at >= min(removal.until, self.removals_deferred_until):
                del self.pending_removals[key]
                self.state_cache.put_if_newer(removal.kind, removal.item)
