"""Renews the lease on the configuration: a few instances read the store, the others ask them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.core.problem import Problem
from mimosahoist.core.tasks import TaskSet, boot_time
from mimosahoist.forward.organisations.configuration_lease import ConfigurationPosition
from mimosahoist.peers.inquiries import InquiryHandler

if TYPE_CHECKING:
    import random

    from mimosahoist.core.metrics import Metrics
    from mimosahoist.forward.follower import StoreFollower
    from mimosahoist.forward.organisations.configuration_lease import ConfigurationLease
    from mimosahoist.forward.peers import Peers
    from mimosahoist.forward.state_cache import StateCache

CONFIRMATION_TOPIC = "configuration"
CONFIRMERS = 4
# Each confirmer beyond the first adds readings of the store, so small fleets ask one.
INSTANCES_PER_CONFIRMER = 100
RENEWALS_PER_LEASE = 5.0
ASK_TIMEOUT_SECONDS = 0.4
# A confirmer answers with the reading that it has if the store takes longer.
READ_WAIT_SECONDS = 0.25
# Share of the lease after which an instance that gets no confirmation reads the store itself.
OWN_READ_SHARE = 0.5
# Share of these instances that do so at a time, unless they hear no peer at all.
OWN_READ_PROBABILITY = 0.1
IDLE_SECONDS = 1.0


class ConfigurationConfirmer(InquiryHandler):
    """Keeps the lease of this instance, and answers those that ask for theirs.

    Attributes
    ----------
    preferred : int or None
        Index of the confirmer that gave the last useful answer; None before the first question.
    """

    def __init__(
        self,
        lease: ConfigurationLease,
        state_cache: StateCache,
        follower: StoreFollower,
        peers: Peers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.lease = lease
        self.state_cache = state_cache
        self.follower = follower
        self.peers = peers
        self.metrics = metrics
        self.rng = rng
        self.tasks = TaskSet()
        self.preferred: int | None = None
        self.reading: asyncio.Task[None] | None = None
        self.last_read_at = float("-inf")
        self.held = True
        follower.confirmation_listeners.append(lease.confirm)
        peers.inquiries.register(CONFIRMATION_TOPIC, self)

    async def start(self) -> None:
        """Start renewing the lease."""
        self.tasks.keep_running(self.run, "confirm configuration")

    async def close(self) -> None:
        """Stop renewing."""
        await self.tasks.close()

    @property
    def is_needed(self) -> bool:
        """Whether the configuration in force has keys that are taken under a lease."""
        routes = self.state_cache.routes
        return self.lease.required and routes is not None and routes.keys.enabled

    @property
    def holds(self) -> bool:
        """Whether callers' keys may be taken now."""
        return not self.is_needed or self.lease.holds(boot_time())

    @property
    def renewal_seconds(self) -> float:
        """Time between two renewals, and age up to which a reading is shared."""
        return self.lease.seconds / RENEWALS_PER_LEASE

    async def run(self) -> None:
        """Renew the lease until the task is cancelled."""
        while True:
            if not self.is_needed:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            await self.renew()
            self.log_change()
            await asyncio.sleep(self.renewal_seconds * self.rng.uniform(0.8, 1.0))

    def log_change(self) -> None:
        """Log that the lease was lost or is held again."""
        if self.holds == self.held:
            return
        self.held = self.holds
        self.metrics.count("key_leases_regained" if self.held else "key_leases_lost")
        json_log.info(
            "keys confirmed" if self.held else "keys unconfirmed",
            age_seconds=round(min(self.lease.age(boot_time()), 1e6), 2),
            lease_seconds=round(self.lease.seconds, 2),
        )

    async def renew(self) -> None:
        """Renew the lease once, by a reading of the store or by what a confirmer answers."""
        ranked = self.peers.ranked_names()
        confirmers = ranked[:CONFIRMERS]
        if self.peers.name in confirmers:
            await self.read_if_older(self.renewal_seconds)
            if self.lease.age(boot_time()) < self.renewal_seconds:
                return
        others = [name for name in confirmers if name != self.peers.name]
        if not others:
            await self.read_if_older(self.renewal_seconds)
            return
        if self.preferred is None:
            self.preferred = self.rng.randrange(1 + len(ranked) // INSTANCES_PER_CONFIRMER)
        first = others[self.preferred % len(others)]
        if await self.ask(first) or await self.ask_all(others):
            return
        alone = not self.peers.heard_recently
        if alone or (
            self.lease.age(boot_time()) > OWN_READ_SHARE * self.lease.seconds
            and self.rng.random() < OWN_READ_PROBABILITY
        ):
            await self.read_if_older(self.renewal_seconds)

    async def ask_all(self, names: list[str]) -> bool:
        """Ask several confirmers at once; return whether one of them renewed the lease."""
        renewed = await asyncio.gather(*(self.ask(name) for name in names))
        if True in renewed:
            self.preferred = renewed.index(True)
        return True in renewed

    async def ask(self, name: str) -> bool:
        """Ask a confirmer; return whether its reading was recent and applies here."""
        address = self.peers.address_of(name)
        if address is None:
            return False
        asked_at = boot_time()
        self.metrics.count("key_confirmations_asked")
        answer = await self.peers.inquiries.ask(
            address, CONFIRMATION_TOPIC, None, ASK_TIMEOUT_SECONDS
        )
        if not is_confirmation(answer):
            return False
        age, version, revision = answer
        theirs = ConfigurationPosition(version, revision)
        applies = self.lease.confirm_by_peer(asked_at, age, theirs, self.position())
        return applies and age < 2 * self.renewal_seconds

    async def answer(self, sender: str, body: Any) -> Any:
        """Return how old the own reading is, and which configuration it confirmed."""
        await self.read_if_older(self.renewal_seconds)
        age = self.lease.age(boot_time())
        if not age < self.lease.seconds:
            return None
        return [age, *self.position()]

    async def read_if_older(self, seconds: float) -> None:
        """Read the store if the last reading is older, together with all who wait for one.

        At most one reading is begun in that time, also while the store gives no answer.
        """
        at = boot_time()
        if self.lease.age(at) < seconds:
            return
        if self.reading is None or self.reading.done():
            if at - self.last_read_at < seconds:
                return
            self.last_read_at = at
            self.reading = self.tasks.spawn(self.read(), "read configuration")
        await asyncio.wait([self.reading], timeout=READ_WAIT_SECONDS)

    async def read(self) -> None:
        """Read the store; without an answer the lease stays as it is."""
        try:
            await self.follower.confirm_configuration()
        except Problem:
            self.metrics.count("key_confirmations_failed")

    def position(self) -> ConfigurationPosition:
        """Position of the configuration in force."""
        return ConfigurationPosition(*self.state_cache.configuration_position())


def is_confirmation(answer: Any) -> bool:
    """Whether an answer is an age in seconds, a version and a revision."""
    return (
        isinstance(answer, list)
        and len(answer) == 3
        and isinstance(answer[0], int | float)
        and isinstance(answer[1], int | float)
        and isinstance(answer[2], int)
    )
