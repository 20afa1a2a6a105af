"""Requests that another instance serves.

The request passes over HTTP/1.1 like a call to an upstream, not over the peers' ZeroMQ sockets:
a refused or closed connection tells at once that nothing was sent, and closing it cancels the work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import ServiceLimits, UpstreamRecord
from mimosahoist.forward.engine import certainly_not_run
from mimosahoist.forward.outcomes import (
    Answered,
    CallOutcome,
    Failed,
    Forwarded,
    Gathered,
    LossKind,
    Lost,
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
# Statuses of the other instance's own that it gives before anything is sent.
NOT_RUN_STATUSES = frozenset((400, 404, 408, 413, 421, 429, 431, 503))
STATUS_TIMEOUT = 504
TARGET_CONNECTIONS = 16
TARGETS_TRIED = 2
LATE_SHARE = 0.5


class RelayTarget(Upstream):
    """An instance that serves for this one."""

    def __init__(self, gatherer: Gatherer, engine: ForwardEngine) -> None:
        record = UpstreamRecord(
            gatherer.name, "", gatherer.address, gatherer.failure_domain, slots=TARGET_CONNECTIONS
        )
        limits = ServiceLimits("", connections=TARGET_CONNECTIONS)
        super().__init__(record, limits, engine.fleet.bounds, engine.names)

    def request_headers(self, request: CallerRequest) -> HTTPHeaders:
        """Headers of a relayed request: the caller's, the time left and the configuration."""
        headers = super().request_headers(request)
        headers[VERSION_HEADER] = str(request.version)
        return headers

    def classify_outcome(self, outcome: Answered | Lost, request: CallerRequest) -> CallOutcome:
        """Tell a gathered answer and a failure from a refusal."""
        if not isinstance(outcome, Answered) or self.names.signature in outcome.headers:
            return outcome
        if outcome.status in NOT_RUN_STATUSES:
            return Refused(outcome.status)
        if outcome.is_success and self.names.part_signatures not in outcome.headers:
            return Lost(LossKind.MALFORMED)
        return outcome


class Relays:
    """Passes searches and repeatable plain requests on to instances that serve for others.

    Attributes
    ----------
    for_searches, for_plain : list of list of Gatherer
        Instances that serve searches and plain requests, by failure domain, the preferred one
        first; empty if this instance serves by itself.
    for_shards : dict
        Instances of other failure domains that make the first calls of shards held there.
    """

    def __init__(self, engine: ForwardEngine) -> None:
        self.engine = engine
        self.for_searches: list[list[Gatherer]] = []
        self.for_plain: list[list[Gatherer]] = []
        self.for_shards: dict[str, list[Gatherer]] = {}
        self.targets: dict[Gatherer, RelayTarget] = {}

    def set_preferred(
        self,
        for_searches: list[list[Gatherer]],
        for_plain: list[list[Gatherer]],
        for_shards: dict[str, list[Gatherer]],
    ) -> None:
        """Take other sets of serving instances; calls in flight go on to their end."""
        before = (self.for_searches, self.for_plain, self.for_shards)
        if (for_searches, for_plain, for_shards) == before:
            return
        self.for_searches = for_searches
        self.for_plain = for_plain
        self.for_shards = for_shards
        json_log.info(
            "requests relayed to", searches=names_of(for_searches), plain=names_of(for_plain)
        )
        domains = [*for_searches, *for_plain, *for_shards.values()]
        wanted = {gatherer for domain in domains for gatherer in domain}
        for gatherer in self.targets.keys() - wanted:
            self.targets.pop(gatherer).close()

    def usable(self, route: Route) -> list[RelayTarget]:
        """Instances to try, in order; those of one domain in random order."""
        found: list[RelayTarget] = []
        at = now()
        for domain in self.for_searches if route.shards else self.for_plain:
            targets = [self.target(gatherer) for gatherer in domain]
            reached = [
                target
                for target in targets
                if target.has_capacity(at)
                and target.record.failure_domain not in self.engine.reach.unreachable_domains
            ]
            self.engine.rng.shuffle(reached)
            found += reached
        return found[:TARGETS_TRIED]

    def target_in(self, domain: str) -> RelayTarget | None:
        """An instance to ask for parts that a failure domain holds."""
        at = now()
        targets = [self.target(gatherer) for gatherer in self.for_shards.get(domain, [])]
        usable = [target for target in targets if target.has_capacity(at)]
        return self.engine.rng.choice(usable) if usable else None

    def target(self, gatherer: Gatherer) -> RelayTarget:
        """Connections to a gathering instance."""
        found = self.targets.get(gatherer)
        if found is None:
            found = RelayTarget(gatherer, self.engine)
            self.targets[gatherer] = found
        return found

    async def relay(self, request: CallerRequest) -> RequestOutcome | None:
        """Have a request served elsewhere; None if nobody has begun it.

        What may have begun is not begun again here, or shards would get more than the route's
        attempts. A silent instance is not waited for to the deadline, so that the caller has time
        to come again.
        """
        until = request.soft_deadline + LATE_SHARE * max(
            0.0, request.deadline - request.soft_deadline
        )
        until = min(request.deadline, max(until, now()))
        for target in self.usable(request.route):
            outcome = await target.call(request, until)
            self.learn(target, outcome)
            if isinstance(outcome, Answered):
                return self.decode(outcome)
            if not certainly_not_run(outcome):
                timed_out = outcome == Lost(LossKind.TIMEOUT)
                return Failed(f"{target.record.name} gave no answer ({outcome})", timed_out)
        return None

    def learn(self, target: RelayTarget, outcome: CallOutcome) -> None:
        """Count an outcome, and take it as a sign of life of the target's domain or of doubt."""
        self.engine.metrics.count(f"relays_{type(outcome).__name__.lower()}")
        if isinstance(outcome, Answered | Refused):
            self.engine.reach.record_response(target.record.failure_domain, now())
        else:
            self.engine.reach.record_failure(target.record.failure_domain, now())

    def decode(self, answer: Answered) -> RequestOutcome:
        """Outcome that another instance's answer tells."""
        if self.engine.names.signature in answer.headers:
            return Forwarded(answer)
        if not answer.is_success:
            reason = answer.body.decode(errors="replace")
            return Failed(reason, answer.status == STATUS_TIMEOUT)
        names = self.engine.names
        signatures = [
            signature.strip()
            for value in answer.headers.get_list(names.part_signatures)
            for signature in value.split(",")
        ]
        missing = answer.headers.get(names.missing_parts, "0")
        return Gathered(answer.body, signatures, int(missing))

    def close(self) -> None:
        """Close all connections."""
        for target in self.targets.values():
            target.close()


def names_of(domains: list[list[Gatherer]]) -> list[list[str]]:
    """Names of instances, for the log."""
    return [[gatherer.name for gatherer in domain] for domain in domains]
