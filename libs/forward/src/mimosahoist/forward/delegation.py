"""Delegation of a search's first calls to instances in other failure domains.

A failure domain rarely holds every shard. The shards it lacks are requested with a single request
to an instance in a domain that holds them, instead of one call per shard, because between domains
bandwidth costs more than latency. The other instance makes one call per shard and responds within
a given time with the results so far; the remaining ones are fetched with follow-up requests. Hedges
and retries stay with the requesting instance, so that no shard exceeds the route's attempts.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.tasks import now
from mimosahoist.forward.engine import certainly_not_run
from mimosahoist.forward.outcomes import Answered, CallOutcome, LossKind, Lost, Parts, Refused

if TYPE_CHECKING:
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.relay import RelayClient, RelayTarget
    from mimosahoist.forward.request import CallerRequest

SHARDS_HEADER = "X-Shards"
ANSWER_WITHIN_HEADER = "X-Answer-Within"
PENDING_SHARDS_HEADER = "X-Pending-Shards"
FAILED_SHARDS_HEADER = "X-Failed-Shards"
REFUSED_SHARDS_HEADER = "X-Refused-Shards"
MIN_DELEGATED_SHARDS = 2
POLL_RESPONSE_MARGIN_SECONDS = 0.006
# Delegated calls are cancelled if they are not polled again within this time.
POLL_TIMEOUT_SECONDS = 0.3


class Delegate(NamedTuple):
    """An instance and the shards requested from it."""

    target: RelayTarget
    shards: list[str]


class DelegatedCalls:
    """Makes one call per shard and returns the new results each time it is polled.

    Attributes
    ----------
    attempted_upstreams : dict
        Upstream of each shard that may have run the call.
    new_refusals : dict
        Upstream of each shard that refused the call since the last poll. The refused call counts
        against the repeat budget of the requesting instance, although it did not run.
    """

    def __init__(self, engine: ForwardEngine, request: CallerRequest, shards: list[str]) -> None:
        self.engine = engine
        self.request = request
        self.shards = shards
        self.new_answers: dict[str, Answered] = {}
        self.new_failures: set[str] = set()
        self.new_refusals: dict[str, str] = {}
        self.attempted_upstreams: dict[str, str] = {}
        self.calls: dict[str, asyncio.Task[None]] = {}
        self.changed = asyncio.Event()
        self.poll_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start one call per shard."""
        for shard in self.shards:
            self.calls[shard] = self.engine.tasks.spawn(self.call(shard), "first call")

    async def poll(self, seconds: float, enough: int) -> Parts:
        """Wait for results and return those that are new since the last poll.

        Parameters
        ----------
        seconds : float
            Maximum time until the response is due.
        enough : int
            Number of new results at which to return early.
        """
        if self.poll_timer is not None:
            self.poll_timer.cancel()
        try:
            async with asyncio.timeout(max(0.0, seconds - POLL_RESPONSE_MARGIN_SECONDS)):
                while self.calls and self.new_result_count < enough:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass
        finally:
            loop = asyncio.get_running_loop()
            self.poll_timer = loop.call_later(POLL_TIMEOUT_SECONDS, self.cancel)
        return self.take_new_results()

    @property
    def new_result_count(self) -> int:
        """Number of shards whose calls ended since the last poll."""
        return len(self.new_answers) + len(self.new_failures) + len(self.new_refusals)

    def take_new_results(self) -> Parts:
        """Return the parts and failures since the last poll and clear them."""
        answers, self.new_answers = self.new_answers, {}
        failures, self.new_failures = self.new_failures, set()
        refusals, self.new_refusals = self.new_refusals, {}
        return Parts(
            self.engine.merger.merge(
                [answer.body for answer in answers.values()], self.request.route.result_limit
            ),
            [answer.headers[self.engine.header_names.signature] for answer in answers.values()],
            {shard: self.attempted_upstreams.get(shard, "") for shard in self.calls},
            {shard: self.attempted_upstreams.get(shard, "") for shard in failures},
            refusals,
        )

    async def call(self, shard: str) -> None:
        """Call one upstream of a shard; a cancelled call also counts as failed."""
        try:
            due = self.request.soft_deadline
            upstream = self.engine.choose(self.request.route, shard, set(), due)
            if upstream is None:
                return
            self.attempted_upstreams[shard] = upstream.record.name
            outcome = await self.engine.call(upstream, self.request, self.request.deadline)
            if isinstance(outcome, Answered) and outcome.is_success:
                self.new_answers[shard] = outcome
            elif certainly_not_run(outcome):
                del self.attempted_upstreams[shard]
                if isinstance(outcome, Refused):
                    self.new_refusals[shard] = upstream.record.name
        finally:
            if shard not in self.new_answers and shard not in self.new_refusals:
                self.new_failures.add(shard)
            self.calls.pop(shard, None)
            self.changed.set()

    def cancel(self) -> None:
        """Cancel the remaining calls, whose results are no longer polled for."""
        for call in list(self.calls.values()):
            call.cancel()


class Delegation:
    """Selects the shards to delegate and requests them from other instances."""

    def __init__(self, engine: ForwardEngine, relays: RelayClient) -> None:
        self.engine = engine
        self.relays = relays

    def assign_delegates(self, shards: list[str]) -> list[Delegate]:
        """Assign shards that this failure domain lacks to instances, largest group first."""
        domains_by_shard = {shard: self.domains_with(shard) for shard in shards}
        own = self.engine.failure_domain
        unassigned = {
            shard: domains
            for shard, domains in domains_by_shard.items()
            if domains and own not in domains
        }
        delegates = []
        while len(unassigned) >= MIN_DELEGATED_SHARDS:
            candidates = {domain for domains in unassigned.values() for domain in domains}
            groups = {
                domain: [shard for shard, domains in unassigned.items() if domain in domains]
                for domain in candidates
                if self.relays.pick_target(domain) is not None
            }
            if not groups:
                break
            domain = max(groups, key=lambda domain: (len(groups[domain]), domain))
            if len(groups[domain]) < MIN_DELEGATED_SHARDS:
                break
            delegates.append(Delegate(self.relays.pick_target(domain), groups[domain]))
            for shard in groups[domain]:
                del unassigned[shard]
        return delegates

    def domains_with(self, shard: str) -> set[str]:
        """Failure domains with an upstream of a shard that may be called now."""
        at = now()
        return {
            upstream.record.failure_domain
            for upstream in self.engine.fleet.eligible_upstreams(shard)
            if upstream.has_capacity(at)
            and upstream.record.failure_domain not in self.engine.fleet.domains_out
            and upstream.record.failure_domain not in self.engine.reachability.unreachable_domains
        }

    async def fetch_parts(
        self, delegate: Delegate, request: CallerRequest, seconds: float, first: bool
    ) -> CallOutcome:
        """Request a delegate's shards, or poll for results since the last response.

        Parameters
        ----------
        seconds : float
            Time within which the other instance should respond.
        first : bool
            Whether this request starts the calls.
        """
        headers = request.headers.copy()
        if first:
            self.engine.metrics.count("shards_delegated", len(delegate.shards))
            headers[SHARDS_HEADER] = ",".join(delegate.shards)
        headers[ANSWER_WITHIN_HEADER] = f"{seconds:.4f}"
        outcome = await delegate.target.call(replace(request, headers=headers), request.deadline)
        self.relays.record_outcome(delegate.target, outcome)
        if isinstance(outcome, Answered) and PENDING_SHARDS_HEADER not in outcome.headers:
            # The other instance failed after it had started the calls, or while it did.
            return Lost(LossKind.MALFORMED)
        return outcome


def encode_shards(shards: dict[str, str]) -> str:
    """Encode shards as a header value, each with the upstream that may have run its call."""
    return ",".join(f"{shard}={upstream}" for shard, upstream in shards.items())


def decode_shards(value: str) -> dict[str, str]:
    """Decode the output of `encode_shards`."""
    pairs = (item.partition("=") for item in value.split(",") if item)
    return {shard: upstream for shard, _, upstream in pairs}
