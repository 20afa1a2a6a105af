"""Lease in the platform's store, with fencing numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import now, unix_time
from mimosahoist.platform.kinds import Lease

if TYPE_CHECKING:
    from mimosahoist.platform.store import PlatformStore, StoredObject

LEASE_SECONDS = 10.0
RENEW_AFTER_SECONDS = 3.0
SAFETY_MARGIN_SECONDS = 2.0


class StoreLease:
    """Acquires and renews a lease by conditional writes.

    Validity is measured on this process's monotonic clock from before the write was sent, so a
    process that was paused finds its lease expired before it can act on it.
    """

    def __init__(self, store: PlatformStore, key: str, holder: str) -> None:
        self.store = store
        self.key = key
        self.holder = holder
        self.fencing = 0
        self.valid_until = 0.0
        self.renewed_at = 0.0

    def held(self) -> bool:
        """Return whether this holder certainly still has the lease."""
        return now() < self.valid_until

    async def acquire_or_renew(self) -> bool:
        """Acquire the lease, or renew it if due; return whether it is held."""
        if self.held() and now() - self.renewed_at < RENEW_AFTER_SECONDS:
            return True
        try:
            stored = await self.store.get(self.key)
            if self.can_acquire(stored):
                await self.write(stored)
        except Problem:
            return self.held()
        return self.held()

    def can_acquire(self, stored: StoredObject | None) -> bool:
        """Return whether the lease is free, expired or already this holder's."""
        if stored is None or stored.value is None or stored.value["holder"] == self.holder:
            return True
        return unix_time() > stored.value["renewed"] + stored.value["duration"]

    async def write(self, stored: StoredObject | None) -> None:
        """Write the lease, conditional on the version that was read."""
        before = now()
        held = stored.value if stored is not None and stored.value is not None else None
        fencing = held["fencing"] if held else 0
        if held is None or held["holder"] != self.holder or not self.held():
            fencing += 1
        lease = Lease(
            holder=self.holder, fencing=fencing, renewed=unix_time(), duration=LEASE_SECONDS
        )
        await self.store.put(self.key, dict(lease), stored.version if stored else 0)
        self.fencing = fencing
        self.renewed_at = before
        self.valid_until = before + LEASE_SECONDS - SAFETY_MARGIN_SECONDS
