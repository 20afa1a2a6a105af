"""Updates the local copies from the platform's store.

Only a few instances of each failure domain, its watchers, read from the store.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.hashing import hash_text
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.exchange import PeerExchange
    from mimosahoist.platform.store import Collection, PlatformStore
    from mimosahoist.platform.versioned import VersionedCopy

WATCHERS_PER_DOMAIN = 2
WATCH_TIMEOUT_SECONDS = 20.0
INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
ROLE_CHECK_INTERVAL_SECONDS = 1.0
# Lets peers supply the copies before the first store call.
INITIAL_PEER_SYNC_SECONDS = 1.0


class StoreFeed:
    """Watches the store if this instance is one of its failure domain's watchers.

    The other instances receive changes from their peers, so that the load on the store grows with
    the number of failure domains rather than with the number of instances.
    """

    def __init__(
        self,
        store: PlatformStore,
        exchange: PeerExchange,
        objects: VersionedCopy,
        instances: VersionedCopy,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.exchange = exchange
        self.copies: dict[Collection, VersionedCopy] = {
            "objects": objects,
            "instances": instances,
        }
        self.metrics = metrics
        self.tasks = TaskSet()
        self.last_contact = 0.0
        self.available = False

    async def start(self) -> None:
        """Start updating both copies."""
        for collection in self.copies:
            self.tasks.keep_running(partial(self.feed, collection), f"feed {collection}")

    async def close(self) -> None:
        """Stop updating the copies."""
        await self.tasks.close()

    def is_watcher(self) -> bool:
        """Return whether this instance is among its domain's first in rendezvous order."""
        identity = self.exchange.identity
        names = [
            name
            for name, member in self.exchange.reachable_peers().items()
            if member.failure_domain == identity.failure_domain
        ]
        own_rank = hash_text(identity.instance)
        preceding = sum(1 for name in names if hash_text(name) > own_rank)
        return preceding < WATCHERS_PER_DOMAIN

    async def feed(self, collection: Collection) -> None:
        """Keep one copy up to date while this instance is a watcher."""
        copy = self.copies[collection]
        if self.exchange.seeds:
            await asyncio.sleep(INITIAL_PEER_SYNC_SECONDS)
        retry = INITIAL_RETRY_SECONDS
        while True:
            if not self.is_watcher():
                await asyncio.sleep(ROLE_CHECK_INTERVAL_SECONDS)
                continue
            if await self.watch(collection, copy):
                retry = INITIAL_RETRY_SECONDS
            else:
                await asyncio.sleep(retry)
                retry = min(MAX_RETRY_SECONDS, retry * 2)

    async def watch(self, collection: Collection, copy: VersionedCopy) -> bool:
        """Read or wait for changes once; return False if the store did not answer."""
        wait = WATCH_TIMEOUT_SECONDS if copy.revision > 0 else 0.0
        self.metrics.count("store_calls")
        try:
            changes = await self.store.changes(collection, copy.revision, wait)
        except Problem:
            self.set_available(False)
            return False
        self.set_available(True)
        self.last_contact = now()
        copy.merge(changes)
        if changes.revision == 0:
            await asyncio.sleep(INITIAL_RETRY_SECONDS)
        return True

    def set_available(self, available: bool) -> None:
        """Record whether the store is available, and log each change."""
        if available != self.available:
            self.available = available
            json_log.info("store", available=available)
