"""Simulated platform store, independent of any transport."""

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
    """Faults of the platform, adjustable at run time; times in seconds."""

    down: bool = False
    delay: float = 0.0
    lost_answer_rate: float = 0.0
    list_lag: float = 0.0


class PlatformModel(PlatformStore):
    """Versioned objects with conditional updates and watches, and a delayed instance list."""

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
        await self.apply_faults("get")
        current = self.collections[collection_of(key)].objects.get(key)
        return current if current is not None and current.value is not None else None

    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write one object if its version is the expected one.

        A deleted object may also be written with `expected` 0, as if it had never existed.
        """
        await self.apply_faults("put")
        collection = collection_of(key)
        current = self.collections[collection].objects.get(key)
        version = current.version if current is not None else 0
        recreates = current is not None and current.value is None and expected == 0
        if version != expected and not recreates:
            raise conflict_problem(key)
        stored = self.store(collection, key, value)
        if self.rng.random() < self.faults.lost_answer_rate:
            self.calls["answers_lost"] += 1
            raise unavailable_problem("injected fault: answer lost after the write")
        return stored

    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Return changes after a revision; wait up to `wait` seconds for the first one."""
        await self.apply_faults("changes")
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

    async def apply_faults(self, call: str) -> None:
        """Count a call; apply the delay, then fail during an outage."""
        self.calls[call] += 1
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            raise unavailable_problem("outage")

    def store(self, collection: Collection, key: str, value: Any) -> StoredObject:
        """Write one object unconditionally and notify waiting watches."""
        copy = self.collections[collection]
        item = StoredObject(key, copy.revision + 1, value)
        copy.merge(Changes(copy.revision, copy.revision + 1, [item]))
        self.history.append(item)
        self.notify_watchers()
        return item

    def notify_watchers(self) -> None:
        """Wake all waiting watches; each checks for changes and faults."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; an outage fails the waiting watches."""
        self.faults.down = down
        self.notify_watchers()

    def list_instance(self, name: str, record: dict[str, Any] | None) -> None:
        """Set an instance's record in the instance list, after `list_lag`; None removes it."""
        if self.faults.list_lag:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.list_lag, self.store, "instances", name, record)
        else:
            self.store("instances", name, record)
