"""A store in memory, for tests on the paused clock."""

from __future__ import annotations

import asyncio

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import now
from mimosahoist.forward.rollout_order import RolloutState
from mimosahoist.platform.watched import (
    HistoryLost,
    WatchedItem,
    WatchedItems,
    WatchedKind,
    WatchedStore,
)


class FakeStore(WatchedStore):
    """Objects in memory; watches can be deaf, history lost, and all of it away."""

    def __init__(self) -> None:
        self.items: dict[WatchedKind, dict[str, WatchedItem]] = {kind: {} for kind in WatchedKind}
        self.revision = 1
        self.oldest = 0
        self.deaf = False
        self.deaf_kinds: set[WatchedKind] = set()
        self.offline = False
        self.calls = 0
        self.drop_responses = False
        self.lose_writes = False
        self.written_states: list[RolloutState] = []
        self.changed = asyncio.Event()

    def put(self, kind: WatchedKind, name: str, value: object) -> None:
        self.revision += 1
        self.items[kind][name] = WatchedItem(name, self.revision, value)
        self.notify_watchers()

    def notify_watchers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def list(self, kind: WatchedKind) -> WatchedItems:
        await self.enter()
        live = [item for item in self.items[kind].values() if item.value is not None]
        return WatchedItems(live, self.revision)

    async def watch(self, kind: WatchedKind, after: int, wait: float) -> WatchedItems:
        await self.enter()
        if after < self.oldest:
            raise HistoryLost
        until = now() + wait
        while now() < until:
            newer = [item for item in self.items[kind].values() if item.revision > after]
            if newer and not self.deaf and kind not in self.deaf_kinds:
                return WatchedItems(newer, max(item.revision for item in newer))
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                break
            if self.offline:
                await self.enter()
        deaf = self.deaf or kind in self.deaf_kinds
        return WatchedItems([], after if deaf else self.revision)

    async def enter(self) -> None:
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.offline:
            raise Problem(ProblemKind.STORE, "away", "wait")

    async def write_rollout(self, item: WatchedItem, state: RolloutState) -> WatchedItem:
        """Write if the revision is the one held, as the platform's store does."""
        await self.enter()
        held = self.items[WatchedKind.ROLLOUTS][item.name]
        if held.revision == item.revision and not self.lose_writes:
            self.put(WatchedKind.ROLLOUTS, item.name, held.value._replace(state=state))
            self.written_states.append(state)
        if self.drop_responses:
            raise Problem(ProblemKind.STORE, "no answer", "read it back")
        return self.items[WatchedKind.ROLLOUTS][item.name]
