"""A lease in the platform's store, with fencing numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.platform.kinds import Lease

if TYPE_CHECKING:
    from mimosahoist.platform.store import PlatformStore, StoredObject

DURATION = 10.0
RENEW_AFTER = 3.0
SAFETY_MARGIN = 2.0


class StoreLease:
    """Holds a lease by conditional updates.

    Validity is counted on this process's own monotonic clock from before the write was sent, so a
    process that was paused finds its lease lapsed before it can act on it.
    """

    def __init__(self, store: PlatformStore, key: str, holder: str) -> None:
        self.store = store
        self.key = key
        self.holder = holder
        self.fencing = 0
        self.valid_until = 0.0
        self.renewed_at = 0.0

    def held(self) -> bool:
        """Whether the lease is certainly still this holder's."""
        return now() < self.valid_until

    async def keep(self) -> bool:
        """Acquire or renew the lease if it is time; true while it is held."""
        if self.held() and now() - self.renewed_at < RENEW_AFTER:
            return True
        try:
            stored = await self.store.get(self.key)
            if self.may_take(stored):
                await self.take(stored)
        except Problem:
            return self.held()
        return self.held()

    def may_take(self, stored: StoredObject | None) -> bool:
        """Whether the lease is free, lapsed or this holder's own."""
        if stored is None or stored.value is None or stored.value["holder"] == self.holder:
            return True
        return unix_time() > stored.value["renewed"] + stored.value["duration"]

    async def take(self, stored: StoredObject | None) -> None:
        """Write the lease on the version that was read."""
        before = now()
        held = stored.value if stored is not None and stored.value is not None else None
        fencing = held["fencing"] if held else 0
        if held is None or held["holder"] != self.holder or not self.held():
            fencing += 1
        lease = Lease(holder=self.holder, fencing=fencing, renewed=unix_time(), duration=DURATION)
        await self.store.put(self.key, dict(lease), stored.version if stored else 0)
        self.fencing = fencing
        self.renewed_at = before
        self.valid_until = before + DURATION - SAFETY_MARGIN
