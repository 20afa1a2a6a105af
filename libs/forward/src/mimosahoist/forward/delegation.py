"""Shards of a search whose first calls another instance makes.

A domain seldom holds all shards. Those that it lacks are asked for together, by one request to an
instance of a domain that holds them, instead of one call each: between domains bytes cost more than
time. The other instance makes one call for each shard and answers at a given time with what it has;
the rest is asked for again as it comes. Doubled and repeated calls stay with the asking one, so
that no shard gets more than the route's attempts.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.tasks import now
from mimosahoist.forward.engine import certainly_not_run
from mimosahoist.forward.outcomes import Answered, CallOutcome, Parts, Refused

if TYPE_CHECKING:
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.relay import Relays, RelayTarget
    from mimosahoist.forward.request import CallerRequest

SHARDS_HEADER = "X-Shards"
SECONDS_HEADER = "X-Answer-Within"
PENDING_HEADER = "X-Pending-Shards"
FAILED_HEADER = "X-Failed-Shards"
FEWEST_SHARDS = 2
ANSWER_SECONDS = 0.006
UNASKED_SECONDS = 0.3


class Delegate(NamedTuple):
    """An instance and the shards that it is asked for."""

    target: RelayTarget
    shards: list[str]


class FirstCalls:
    """Makes one call for each of some shards; tells what is new each time it is asked.

    Attributes
    ----------
    tried : dict
        Upstream of each shard that may have run the call.
    """

    def __init__(self, engine: ForwardEngine, request: CallerRequest, shards: list[str]) -> None:
        self.engine = engine
        self.request = request
        self.shards = shards
        self.fresh: dict[str, Answered] = {}
        self.failed: set[str] = set()
        self.tried: dict[str, str] = {}
        self.calls: dict[str, asyncio.Task[None]] = {}
        self.changed = asyncio.Event()
        self.expiry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send all calls."""
        for shard in self.shards:
            self.calls[shard] = self.engine.tasks.spawn(self.call(shard), "first call")

    async def answer(self, seconds: float, wanted: int) -> Parts:
        """Wait for some news, then tell them.

        Parameters
        ----------
        seconds : float
            Time after which no more are waited for.
        wanted : int
            News that are enough.
        """
        if self.expiry is not None:
            self.expiry.cancel()
        try:
            async with asyncio.timeout(max(0.0, seconds - ANSWER_SECONDS)):
                while self.calls and len(self.fresh) + len(self.failed) < wanted:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass
        finally:
            loop = asyncio.get_running_loop()
            self.expiry = loop.call_later(UNASKED_SECONDS, self.cancel)
        return self.take_news()

    def take_news(self) -> Parts:
        """Parts and failures since the last time."""
        fresh, self.fresh = self.fresh, {}
        failed, self.failed = self.failed, set()
        return Parts(
            self.engine.merger.merge(
                [answer.body for answer in fresh.values()], self.request.route.result_limit
            ),
            [answer.headers[self.engine.names.signature] for answer in fresh.values()],
            {shard: self.tried.get(shard, "") for shard in self.calls},
            {shard: self.tried.get(shard, "") for shard in failed},
        )

    async def call(self, shard: str) -> None:
        """Call one upstream of a shard; a call that is given up has failed, too."""
        try:
            upstream = self.engine.choose(self.request.route, shard, set())
            if upstream is None:
                return
            self.tried[shard] = upstream.record.name
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
            if isinstance(outcome, Answered) and outcome.is_success:
                self.fresh[shard] = outcome
            elif certainly_not_run(outcome):
                del self.tried[shard]
        finally:
            if shard not in self.fresh:
                self.failed.add(shard)
            self.calls.pop(shard, None)
            self.changed.set()

    def cancel(self) -> None:
        """End the calls that nobody asks about any more."""
        for call in list(self.calls.values()):
            call.cancel()


class Delegation:
    """Finds out which shards to leave to others, and asks them."""

    def __init__(self, engine: ForwardEngine, relays: Relays) -> None:
        self.engine = engine
        self.relays = relays

    def delegates(self, shards: list[str]) -> list[Delegate]:
        """Instances to ask for the shards that this failure domain lacks, the fullest first."""
        lacking = {shard: self.holders(shard) for shard in shards}
        own = self.engine.failure_domain
        left = {shard: held for shard, held in lacking.items() if held and own not in held}
        found = []
        while len(left) >= FEWEST_SHARDS:
            domains = {domain for held in left.values() for domain in held}
            groups = {
                domain: [shard for shard, held in left.items() if domain in held]
                for domain in domains
                if self.relays.target_in(domain) is not None
            }
            if not groups:
                break
            domain = max(groups, key=lambda domain: (len(groups[domain]), domain))
            if len(groups[domain]) < FEWEST_SHARDS:
                break
            found.append(Delegate(self.relays.target_in(domain), groups[domain]))
            for shard in groups[domain]:
                del left[shard]
        return found

    def holders(self, shard: str) -> set[str]:
        """Failure domains with an upstream of a shard that may be called now."""
        at = now()
        return {
            upstream.record.failure_domain
            for upstream in self.engine.fleet.eligible_upstreams(shard)
            if upstream.has_capacity(at)
            and upstream.record.failure_domain not in self.engine.fleet.domains_out
            and upstream.record.failure_domain not in self.engine.reach.unreachable_domains
        }

    async def ask(
        self, delegate: Delegate, request: CallerRequest, seconds: float, first: bool
    ) -> CallOutcome:
        """Ask for parts, or for what has come since.

        Parameters
        ----------
        seconds : float
            Time within which the other instance answers.
        """
        headers = request.headers.copy()
        if first:
            self.engine.metrics.count("shards_delegated", len(delegate.shards))
            headers[SHARDS_HEADER] = ",".join(delegate.shards)
        headers[SECONDS_HEADER] = f"{seconds:.4f}"
        outcome = await delegate.target.call(replace(request, headers=headers), request.deadline)
        self.relays.learn(delegate.target, outcome)
        if isinstance(outcome, Answered) and PENDING_HEADER not in outcome.headers:
            return Refused(outcome.status)
        return outcome


def encode_shards(shards: dict[str, str]) -> str:
    """Header value for shards, each with the upstream that may have run its call."""
    return ",".join(f"{shard}={upstream}" for shard, upstream in shards.items())


def decode_shards(value: str) -> dict[str, str]:
    """Read what `encode_shards` wrote."""
    pairs = (item.partition("=") for item in value.split(",") if item)
    return {shard: upstream for shard, _, upstream in pairs}
