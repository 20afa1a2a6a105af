"""Client side of relaying: passes callers' requests to instances that serve them instead.

Requests are relayed over HTTP/1.1, like calls to an upstream, and not over the peers' ZeroMQ
sockets: a refused or closed connection shows at once that nothing was sent, and closing the
connection cancels the work.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.decimal_text import parse_decimal, parse_integer
from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import ServiceLimits, UpstreamRecord
from mimosahoist.forward.domain_reachability import REACHABILITY_INTERVAL_SECONDS
from mimosahoist.forward.engine import certainly_not_run
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    Failed,
    Forwarded,
    Gathered,
    LossKind,
    Lost,
    NotRun,
    Refused,
    RequestOutcome,
)
from mimosahoist.forward.upstream import Upstream

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from mimosahoist.forward.declarations import Route
    from mimosahoist.forward.engine import ForwardEngine
    from mimosahoist.forward.gatherers import Gatherer
    from mimosahoist.forward.request import CallerRequest

VERSION_HEADER = "X-Configuration-Version"
# Present in a refusal if upstreams were called before; see `NotRun.was_attempted`.
ATTEMPTED_HEADER = "X-Was-Attempted"
# Present in a refusal if the upstreams lack room; see `NotRun.is_overload`.
OVERLOAD_HEADER = "X-Overload"
# Upstream that gave a forwarded answer, so that its announcements can be told apart.
UPSTREAM_HEADER = "X-Upstream"
# Statuses that the other instance itself returns before it sends anything to an upstream.
NOT_RUN_STATUSES = frozenset((400, 404, 408, 413, 421, 429, 431, 503))
STATUS_GATEWAY_TIMEOUT = 504
CONNECTIONS_PER_TARGET = 16
MAX_TARGETS_PER_REQUEST = 2
# Share of the time between the soft deadline and the deadline that a relayed request may use.
RELAY_WAIT_SHARE = 0.5


class RelayTarget(Upstream):
    """An instance to which requests are relayed."""

    def __init__(self, gatherer: Gatherer, engine: ForwardEngine) -> None:
        record = UpstreamRecord(
            gatherer.name,
            "",
            gatherer.address,
            gatherer.failure_domain,
            slots=CONNECTIONS_PER_TARGET,
        )
        limits = ServiceLimits("", connections=CONNECTIONS_PER_TARGET)
        super().__init__(
            record,
            limits,
            engine.fleet.bounds,
            engine.header_names,
            engine.fleet.receive_buffers,
        )

    def request_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Headers of a relayed request: those of an upstream call and the configuration version."""
        headers = super().request_headers(request)
        headers[VERSION_HEADER] = str(request.version)
        return headers

    def handle_head(
        self, status: int, headers: HTTPHeaders, request: CallerRequest, sent: float
    ) -> None:
        """Ignore the head: what it announces comes from an upstream, not from this instance."""

    def classify_outcome(self, outcome: Answered | Lost, request: CallerRequest) -> CallOutcome:
        """Distinguish gathered and failed responses from refusals."""
        if not isinstance(outcome, Answered) or self.header_names.signature in outcome.headers:
            return outcome
        is_final = ATTEMPTED_HEADER in outcome.headers or OVERLOAD_HEADER in outcome.headers
        if outcome.status in NOT_RUN_STATUSES and not is_final:
            return Refused(outcome.status)
        if outcome.is_success and self.header_names.part_signatures not in outcome.headers:
            return Lost(LossKind.MALFORMED)
        return outcome


class RelayClient:
    """Relays searches and idempotent plain requests to gathering instances.

    Attributes
    ----------
    search_gatherers, plain_gatherers : list of list of Gatherer
        Instances that serve searches and plain requests, grouped by failure domain in order of
        preference; empty if this instance serves them itself.
    shard_gatherers : dict
        Instances by failure domain to which the first calls for shards held there are delegated.
    """

    def __init__(self, engine: ForwardEngine) -> None:
        self.engine = engine
        self.search_gatherers: list[list[Gatherer]] = []
        self.plain_gatherers: list[list[Gatherer]] = []
        self.shard_gatherers: dict[str, list[Gatherer]] = {}
        self.targets: dict[Gatherer, RelayTarget] = {}

    def set_gatherers(
        self,
        for_searches: list[list[Gatherer]],
        for_plain: list[list[Gatherer]],
        for_shards: dict[str, list[Gatherer]],
    ) -> None:
        """Replace the sets of gathering instances; calls in flight are completed."""
        before = (self.search_gatherers, self.plain_gatherers, self.shard_gatherers)
        if (for_searches, for_plain, for_shards) == before:
            return
        self.search_gatherers = for_searches
        self.plain_gatherers = for_plain
        self.shard_gatherers = for_shards
        json_log.info(
            "requests relayed to",
            searches=gatherer_names(for_searches),
            plain=gatherer_names(for_plain),
        )
        domains = [*for_searches, *for_plain, *for_shards.values()]
        wanted = {gatherer for domain in domains for gatherer in domain}
        for gatherer in self.targets.keys() - wanted:
            self.targets.pop(gatherer).close()

    def candidates(self, route: Route) -> list[RelayTarget]:
        """Targets to try, in order; those within one failure domain in random order."""
        found: list[RelayTarget] = []
        at = now()
        for domain in self.search_gatherers if route.shards else self.plain_gatherers:
            targets = [self.target(gatherer) for gatherer in domain]
            available = [
                target
                for target in targets
                if target.has_capacity(at)
                and target.record.failure_domain not in self.engine.reachability.unreachable_domains
            ]
            self.engine.rng.shuffle(available)
            found += available
        return found[:MAX_TARGETS_PER_REQUEST]

    def pick_target(self, domain: str) -> RelayTarget | None:
        """Random available instance to which shards of a failure domain can be delegated."""
        at = now()
        targets = [self.target(gatherer) for gatherer in self.shard_gatherers.get(domain, [])]
        available = [target for target in targets if target.has_capacity(at)]
        return self.engine.rng.choice(available) if available else None

    def target(self, gatherer: Gatherer) -> RelayTarget:
        """Return the relay target of a gathering instance, creating it on first use."""
        found = self.targets.get(gatherer)
        if found is None:
            found = RelayTarget(gatherer, self.engine)
            self.targets[gatherer] = found
        return found

    async def relay(self, request: CallerRequest) -> RequestOutcome | None:
        """Relay a request; None if no other instance has started it.

        A request that may have been started is not started again here, because shards would get
        more than the route's attempts. Nor is one whose calls the upstreams refused: its next first
        calls would be repeats that no budget counts. An unresponsive instance is given up before
        the deadline, so that the caller has time to retry.
        """
        until = request.soft_deadline + RELAY_WAIT_SHARE * max(
            0.0, request.deadline - request.soft_deadline
        )
        until = min(request.deadline, max(until, now()))
        for target in self.candidates(request.route):
            outcome = await self.call_while_reachable(target, request, until)
            self.record_outcome(target, outcome)
            if isinstance(outcome, Answered):
                self.read_announcements(outcome, request)
                return self.decode(outcome)
            if not certainly_not_run(outcome):
                timed_out = outcome == Lost(LossKind.TIMEOUT)
                return Failed(f"{target.record.name} gave no answer ({outcome})", timed_out)
        return None

    async def call_while_reachable(
        self, target: RelayTarget, request: CallerRequest, until: float
    ) -> CallOutcome:
        """Relay a request, and give it up once the target's domain is found to be unreachable."""
        call = self.engine.tasks.spawn(target.call(request, until), "relayed request")
        try:
            while not call.done():
                await asyncio.wait([call], timeout=REACHABILITY_INTERVAL_SECONDS)
                unreachable = self.engine.reachability.unreachable_domains
                if not call.done() and target.record.failure_domain in unreachable:
                    return Lost(LossKind.TIMEOUT)
            return call.result()
        finally:
            call.cancel()

    def record_outcome(self, target: RelayTarget, outcome: CallOutcome) -> None:
        """Count an outcome and update the reachability of the target's failure domain."""
        self.engine.metrics.count(f"relays_{type(outcome).__name__.lower()}")
        if isinstance(outcome, Answered | Refused):
            self.engine.reachability.record_response(target.record.failure_domain, now())
        else:
            self.engine.reachability.record_failure(target.record.failure_domain, now())

    def read_announcements(self, answer: Answered, request: CallerRequest) -> None:
        """Apply what an upstream announces in an answer that another instance forwards."""
        name = answer.headers.pop(UPSTREAM_HEADER, "")
        upstream = self.engine.fleet.by_name.get(name)
        if upstream is not None:
            sent = now() - answer.elapsed
            upstream.read_announcements(answer.status, answer.headers, request.id, sent)

    def decode(self, answer: Answered) -> RequestOutcome:
        """Convert another instance's response to a request outcome."""
        if self.engine.header_names.signature in answer.headers:
            return Forwarded(answer)
        if not answer.is_success:
            reason = answer.body.decode(errors="replace")
            retry_after = parse_decimal(answer.headers.get("Retry-After", ""))
            attempted = ATTEMPTED_HEADER in answer.headers
            overload = OVERLOAD_HEADER in answer.headers
            if (attempted or overload) and retry_after is not None:
                return NotRun(reason, retry_after, attempted, is_overload=overload)
            return Failed(reason, answer.status == STATUS_GATEWAY_TIMEOUT)
        header_names = self.engine.header_names
        signatures = [
            signature.strip()
            for value in answer.headers.get_list(header_names.part_signatures)
            for signature in value.split(",")
        ]
        missing = parse_integer(answer.headers.get(header_names.missing_parts, "0"))
        if missing is None:
            return Failed("another instance's answer does not say how many parts are missing")
        return Gathered(answer.body, signatures, missing)

    def close(self) -> None:
        """Close the connections to all targets."""
        for target in self.targets.values():
            target.close()


def gatherer_names(domains: list[list[Gatherer]]) -> list[list[str]]:
    """Names of gathering instances by failure domain, for the log."""
    return [[gatherer.name for gatherer in domain] for domain in domains]
