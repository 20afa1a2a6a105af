"""Claiming and holding of a share of the upstreams' limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, now, unix_time
from mimosahoist.peers.members import MemberState
from mimosahoist.platform.kinds import SHARE_TABLE_KEY, ShareHolder, ShareTable

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.exchange import PeerExchange
    from mimosahoist.peers.feed import StoreFeed
    from mimosahoist.platform.store import PlatformStore, StoredObject
    from mimosahoist.platform.versioned import VersionedCopy
    from mimosahoist.upstream.quota import ShareView

POLL_SECONDS = 0.25
CLAIM_RETRY_SECONDS = 0.5
ACTIVATION_DELAY_SECONDS = 1.0
TAKEOVER_DELAY_SECONDS = 6.0
CONTACT_TIMEOUT_SECONDS = 4.0


class ShareClaimer:
    """Claims one share of the share table for this instance.

    A share is transferred only by a conditional update of the table in the store. It can be taken
    over from an instance that has left, or that has been considered dead by the members for
    `TAKEOVER_DELAY_SECONDS`. This is longer than the `CONTACT_TIMEOUT_SECONDS` for which an
    instance without any contact keeps using its share, so two instances never use the same share
    at the same time.
    """

    def __init__(
        self,
        store: PlatformStore,
        exchange: PeerExchange,
        feed: StoreFeed,
        objects: VersionedCopy,
        view: ShareView,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.exchange = exchange
        self.feed = feed
        self.objects = objects
        self.view = view
        self.metrics = metrics
        self.tasks = TaskSet()
        self.claimed_at: float | None = None
        self.releasing = False
        self.next_claim_at = 0.0
        self.started_at = 0.0

    async def start(self) -> None:
        """Start claiming a share and updating the view."""
        self.started_at = now()
        self.tasks.keep_running(self.run, "share claimer")

    async def close(self) -> None:
        """Stop updating; the share stays claimed unless `release` was called."""
        await self.tasks.close()

    async def run(self) -> None:
        """Update the view at intervals, and claim a share while none is held."""
        while True:
            self.update_view()
            if self.own_index() is None and not self.releasing and now() >= self.next_claim_at:
                self.next_claim_at = now() + CLAIM_RETRY_SECONDS
                await self.claim()
                self.update_view()
            await asyncio.sleep(POLL_SECONDS)

    def own_index(self) -> int | None:
        """Return the index of the share held by this instance and incarnation."""
        own = self.own_holder()
        for index, holder in enumerate(self.cached_holders()):
            if holder == own:
                return index
        return None

    def own_holder(self) -> dict[str, Any]:
        """Return the table entry for this instance and incarnation."""
        identity = self.exchange.identity
        return dict(ShareHolder(instance=identity.instance, incarnation=identity.incarnation))

    def cached_holders(self) -> list[Any]:
        """Return the holders from the local copy of the table."""
        value = self.objects.value(SHARE_TABLE_KEY)
        return value["holders"] if value else [None] * self.view.size

    def update_view(self) -> None:
        """Update the view from the local copy of the table and the time of the last contact."""
        holders = self.cached_holders()
        index = self.own_index()
        if index is None:
            self.claimed_at = None
        elif self.claimed_at is None:
            self.claimed_at = now()
            json_log.info("share held", share=index)
        active = index is not None and not self.is_isolated() and self.activation_elapsed()
        held = frozenset(number for number, holder in enumerate(holders) if holder is not None)
        if active != (self.view.index is not None):
            json_log.info("share active" if active else "share suspended", share=index)
        self.view.assign(index if active else None, held)
        self.view.valid_until = self.contact_deadline()

    def activation_elapsed(self) -> bool:
        """Return whether the claim is old enough to have reached the other instances."""
        return self.claimed_at is not None and now() - self.claimed_at >= ACTIVATION_DELAY_SECONDS

    def contact_deadline(self) -> float:
        """Return the loop time until which the share may be used after the last contact.

        There is no limit for an instance without reachable peers and seeds: no other member can
        consider it dead, so it can lose its share only through the store.
        """
        last_contact = max(self.exchange.last_contact, self.feed.last_contact)
        if not self.exchange.reachable_peers() and not self.exchange.seeds:
            return float("inf")
        return last_contact + CONTACT_TIMEOUT_SECONDS

    def is_isolated(self) -> bool:
        """Return whether the last contact to peers and store was too long ago."""
        return now() > self.contact_deadline()

    async def claim(self) -> None:
        """Claim a free share for this instance in the store."""
        try:
            self.metrics.count("store_calls")
            stored = await self.store.get(SHARE_TABLE_KEY)
            holders = self.stored_holders(stored)
            index = self.claimable_index(holders)
            if index is None:
                self.metrics.count("share_table_full")
                return
            holders[index] = self.own_holder()
            await self.write_table(stored, holders)
        except Problem as problem:
            self.metrics.count(f"share_claim_{problem.kind}")

    def stored_holders(self, stored: StoredObject | None) -> list[Any]:
        """Return the stored holders, or an empty table if none is stored."""
        if stored is None or stored.value is None:
            return [None] * self.view.size
        return list(stored.value["holders"])

    def claimable_index(self, holders: list[Any]) -> int | None:
        """Return the share to claim: the instance's own, else the first free or reclaimable one.

        The own one may have been claimed by an earlier incarnation of this instance.
        """
        own = self.own_holder()
        for index, holder in enumerate(holders):
            if holder is not None and holder["instance"] == own["instance"]:
                return index
        for index, holder in enumerate(holders):
            if holder is None or self.is_reclaimable(holder):
                return index
        return None

    def is_reclaimable(self, holder: dict[str, Any]) -> bool:
        """Return whether a holder has left, or has been dead for `TAKEOVER_DELAY_SECONDS`.

        A holder that is neither a member nor in the platform's list counts as gone once this
        instance has run for `TAKEOVER_DELAY_SECONDS`.
        """
        member = self.exchange.members().get(holder["instance"])
        if member is None:
            listed = self.feed.copies["instances"].value(holder["instance"]) is not None
            return not listed and now() - self.started_at > TAKEOVER_DELAY_SECONDS
        if member.state == MemberState.LEFT:
            return True
        dead = member.state == MemberState.DEAD
        return dead and unix_time() - member.since > TAKEOVER_DELAY_SECONDS

    async def write_table(self, stored: StoredObject | None, holders: list[Any]) -> None:
        """Write the table if the store still has the version that was read."""
        self.metrics.count("store_calls")
        table = ShareTable(holders=holders)
        await self.store.put(SHARE_TABLE_KEY, dict(table), stored.version if stored else 0)

    async def release(self) -> None:
        """Release the share; called once no request of this instance is in flight."""
        self.releasing = True
        own = self.own_holder()
        try:
            stored = await self.store.get(SHARE_TABLE_KEY)
            holders = self.stored_holders(stored)
            if own in holders:
                holders[holders.index(own)] = None
                await self.write_table(stored, holders)
        except Problem as problem:
            self.metrics.count(f"share_release_{problem.kind}")
