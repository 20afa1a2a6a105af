"""Behaviour of the stand-in platform, without any transport."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from mimosahoist.core.tasks import now
from mimosahoist.platform.http_store import conflict_problem, unavailable_problem
from mimosahoist.platform.store import (
    Changes,
    Collection,
    PlatformStore,
    StoredObject,
    collection_of,
)
from mimosahoist.platform.versioned import VersionedCopy

MAX_VALUE_BYTES = 1_000_000


@dataclass
class PlatformFaults:
    """Faults that can be switched while it runs; times in seconds."""

    down: bool = False
    delay: float = 0.0
    lost_answer_rate: float = 0.0
    list_lag: float = 0.0


class PlatformModel(PlatformStore):
    """Objects with versions, conditional updates and watches; a lagging list of instances."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"{seed}/platform")
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self.collections: dict[Collection, VersionedCopy] = {
            "objects": VersionedCopy(),
            "records": VersionedCopy(),
            "instances": VersionedCopy(),
        }
        self.changed = asyncio.Event()
        self.history: list[StoredObject] = []

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self.enter("get")
        held = self.collections[collection_of(key)].objects.get(key)
        return held if held is not None and held.value is not None else None

    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write one object under a condition."""
        await self.enter("put")
        collection = collection_of(key)
        held = self.collections[collection].objects.get(key)
        version = held.version if held is not None else 0
        free = held is not None and held.value is None and expected == 0
        if version != expected and not free:
            raise conflict_problem(key)
        stored = self.store(collection, key, value)
        if self.rng.random() < self.faults.lost_answer_rate:
            self.calls["answers_lost"] += 1
            raise unavailable_problem("answer lost")
        return stored

    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Read or await changes."""
        await self.enter("changes")
        until = now() + wait
        copy = self.collections[collection]
        while copy.revision <= since and now() < until and not self.faults.down:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except TimeoutError:
                break
        if self.faults.down:
            raise unavailable_problem("outage")
        return copy.since(since)

    async def enter(self, call: str) -> None:
        """Count a call and apply faults."""
        self.calls[call] += 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            raise unavailable_problem("outage")

    def store(self, collection: Collection, key: str, value: Any) -> StoredObject:
        """Write without condition, and wake watches."""
        copy = self.collections[collection]
        item = StoredObject(key, copy.revision + 1, value)
        copy.merge(Changes(copy.revision, copy.revision + 1, [item]))
        self.history.append(item)
        self.wake()
        return item

    def wake(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; waiting watches end with it."""
        self.faults.down = down
        self.wake()

    def list_instance(self, name: str, record: dict[str, Any] | None) -> None:
        """Change the list of instances, after its lag."""
        if self.faults.list_lag:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.list_lag, self.store, "instances", name, record)
        else:
            self.store("instances", name, record)
