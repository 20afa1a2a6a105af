"""All upstreams that this instance knows, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.tasks import now
from mimosahoist.forward.declarations import ServiceLimits
from mimosahoist.forward.repeat_budget import RepeatBudget
from mimosahoist.forward.shares import FleetShares, Shares
from mimosahoist.forward.upstream import Upstream

if TYPE_CHECKING:
    from mimosahoist.forward.declarations import Configuration, SharedBounds, UpstreamRecord
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.version_split import VersionSplit


class UpstreamFleet:
    """Keeps upstreams in line with the list, and the shared limits with the number of instances.

    Attributes
    ----------
    domains_out : frozenset of str
        Failure domains that operators have taken out.
    shards, relayed : frozenset of str
        Services that gathering routes name; those of which all requests may be relayed.
    splits : dict
        Division of calls between versions, for services with a rollout.
    """

    def __init__(self, bounds: SharedBounds, names: HeaderNames) -> None:
        self.bounds = bounds
        self.names = names
        self.limits: dict[str, ServiceLimits] = {}
        self.services: dict[str, dict[str, Upstream]] = {}
        self.by_name: dict[str, Upstream] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.splits: dict[str, VersionSplit] = {}
        self.shares = FleetShares(Shares(), Shares())
        self.shards: frozenset[str] = frozenset()
        self.relayed: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Take the limits of a configuration."""
        self.limits = configuration.services
        routes = configuration.routes
        self.shards = frozenset(shard for route in routes for shard in route.shards)
        self.relayed = frozenset(
            target.service for route in routes if route.repeatable for target in route.targets
        ) - frozenset(
            target.service for route in routes if not route.repeatable for target in route.targets
        )
        for upstream in self.by_name.values():
            upstream.limits = self.limits_of(upstream.record.service)
        self.divide()

    def limits_of(self, service: str) -> ServiceLimits:
        """Limits of a service; undeclared ones are open."""
        return self.limits.get(service) or ServiceLimits(service)

    def set_bounds(self, bounds: SharedBounds) -> None:
        """Take changed bounds."""
        self.bounds = bounds
        for upstream in self.by_name.values():
            upstream.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds

    def set_shares(self, shares: FleetShares) -> None:
        """Divide shared limits among other instances."""
        if shares == self.shares:
            return
        json_log.info("limits shared", shards=shares.shards._asdict(), plain=shares.plain._asdict())
        self.shares = shares
        self.divide()

    def divide(self) -> None:
        """Give every upstream and budget this instance's part."""
        for upstream in self.by_name.values():
            upstream.divisor = self.divisor(upstream.record.service)
        for service, budget in self.budgets.items():
            budget.divisor = self.divisor(service)

    def divisor(self, service: str) -> float:
        """What the limits of a service are divided by here."""
        if service in self.shards:
            return self.shares.shards.divisor
        if service in self.relayed:
            return self.shares.plain.divisor
        return Shares(self.shares.plain.instances).divisor

    def budget(self, service: str) -> RepeatBudget:
        """Budget of extra sends to a service."""
        found = self.budgets.get(service)
        if found is None:
            found = RepeatBudget(self.bounds)
            found.divisor = self.divisor(service)
            self.budgets[service] = found
        return found

    def of(self, service: str) -> list[Upstream]:
        """Upstreams of a service that may get traffic."""
        upstreams = self.services.get(service, {}).values()
        split = self.splits.get(service)
        return list(upstreams) if split is None else split.eligible(upstreams, now())

    def put(self, record: UpstreamRecord) -> None:
        """Add an upstream, or take its newer registration in.

        Another start, address or service under the same name is another upstream.
        """
        held = self.by_name.get(record.name)
        if held is not None and same_start(held.record, record):
            if held.record.leaving != record.leaving:
                json_log.info("upstream leaving", upstream=record.name, leaving=record.leaving)
            held.take_record(record)
            return
        if held is not None:
            self.remove(record.name, "started again")
        upstream = Upstream(record, self.limits_of(record.service), self.bounds, self.names)
        upstream.divisor = self.divisor(record.service)
        self.by_name[record.name] = upstream
        self.services.setdefault(record.service, {})[record.name] = upstream
        json_log.info("upstream listed", upstream=record.name, service=record.service)

    def remove(self, name: str, reason: str) -> None:
        """Forget an upstream that is gone; calls in flight go on to their end."""
        upstream = self.by_name.pop(name, None)
        if upstream is None:
            return
        self.services[upstream.record.service].pop(name, None)
        upstream.close()
        json_log.info("upstream gone", upstream=name, reason=reason)

    def close(self) -> None:
        """Close all connections."""
        for upstream in self.by_name.values():
            upstream.close()


def same_start(held: UpstreamRecord, record: UpstreamRecord) -> bool:
    """Whether two registrations speak of the same start of the same upstream."""
    return (held.service, held.address, held.started_at_ms) == (
        record.service,
        record.address,
        record.started_at_ms,
    )
