"""In-memory store for tests on the paused clock."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from typing import NamedTuple

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import now
from mimosahoist.forward.rollout import RolloutState
from mimosahoist.platform.watched import (
    HistoryLost,
    WatchedItem,
    WatchedItems,
    WatchedKind,
    WatchedStore,
    epoch_of,
    make_position,
    revision_of,
)


class StoreCopy(NamedTuple):
    """Copy of all items, from which the store can be restored."""

    revision: int
    items: dict[WatchedKind, dict[str, WatchedItem]]


class FakeStore(WatchedStore):
    """In-memory store that can stall watches, discard history, drop writes and go offline.

    Attributes
    ----------
    oldest_revision : int
        Watches from an earlier revision raise `HistoryLost`.
    watches_stalled, stalled_kinds : bool, set of WatchedKind
        Whether watches of all kinds, or of some, deliver nothing.
    """

    def __init__(self) -> None:
        self.items: dict[WatchedKind, dict[str, WatchedItem]] = {kind: {} for kind in WatchedKind}
        self.revision = 1
        self.oldest_revision = 0
        self.watches_stalled = False
        self.stalled_kinds: set[WatchedKind] = set()
        self.offline = False
        self.calls = 0
        self.drop_responses = False
        self.drop_writes = False
        self.written_states: list[RolloutState] = []
        self.changed = asyncio.Event()

    def put(self, kind: WatchedKind, name: str, value: object) -> None:
        self.revision += 1
        self.items[kind][name] = WatchedItem(name, self.revision, value)
        self.notify_watchers()

    def notify_watchers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        return StoreCopy(self.revision, deepcopy(self.items))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions are given out again, in a new epoch."""
        epoch = epoch_of(self.revision) + 1
        self.revision = make_position(epoch, revision_of(copy.revision))
        self.items = {
            kind: {
                name: item._replace(revision=make_position(epoch, revision_of(item.revision)))
                for name, item in items.items()
            }
            for kind, items in copy.items.items()
        }
        self.notify_watchers()

    async def list(self, kind: WatchedKind) -> WatchedItems:
        await self.begin_call()
        live = [item for item in self.items[kind].values() if item.value is not None]
        return WatchedItems(live, self.revision)

    async def watch(self, kind: WatchedKind, after: int, wait: float) -> WatchedItems:
        await self.begin_call()
        epoch = epoch_of(self.revision)
        if after < self.oldest_revision or epoch_of(after) != epoch:
            raise HistoryLost
        until = now() + wait
        while now() < until:
            newer = [item for item in self.items[kind].values() if item.revision > after]
            if newer and not self.watches_stalled and kind not in self.stalled_kinds:
                return WatchedItems(newer, max(item.revision for item in newer))
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                break
            if self.offline:
                await self.begin_call()
            if epoch_of(self.revision) != epoch:
                raise HistoryLost
        stalled = self.watches_stalled or kind in self.stalled_kinds
        return WatchedItems([], after if stalled else self.revision)

    async def begin_call(self) -> None:
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.offline:
            raise Problem(ProblemKind.STORE, "store offline", "wait")

    async def write_rollout(self, item: WatchedItem, state: RolloutState) -> WatchedItem:
        """Write if the item's revision is current, as the platform's store does."""
        await self.begin_call()
        current = self.items[WatchedKind.ROLLOUTS][item.name]
        if current.revision == item.revision and not self.drop_writes:
            known = item.value
            written = current.value._replace(
                state=state, ordered_at=known.ordered_at, versions=known.versions
            )
            self.put(WatchedKind.ROLLOUTS, item.name, written)
            self.written_states.append(state)
        if self.drop_responses:
            raise Problem(ProblemKind.STORE, "no answer", "read it back")
        return self.items[WatchedKind.ROLLOUTS][item.name]
