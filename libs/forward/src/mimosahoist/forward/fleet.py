"""Registry of the upstreams known to this instance, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.core import json_log
from mimosahoist.core.hashing import hash_text
from mimosahoist.core.metrics import Metrics
from mimosahoist.core.tasks import now
from mimosahoist.forward.announcements import RememberedAnnouncements
from mimosahoist.forward.cold_rate import total_cold_rate
from mimosahoist.forward.declarations import ServiceLimits
from mimosahoist.forward.rate_limit import caller_rate
from mimosahoist.forward.receive_buffers import ReceiveBuffers
from mimosahoist.forward.repeat_budget import BudgetUsage, RepeatBudget
from mimosahoist.forward.shares import FleetShares, Shares, WindowedShare
from mimosahoist.forward.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.forward.announcements import Announcement
    from mimosahoist.forward.declarations import Configuration, SharedBounds, UpstreamRecord
    from mimosahoist.forward.headers import HeaderNames
    from mimosahoist.forward.version_split import VersionSplit

HASH_BITS = 64
# Time within which an instance learns of the rollout for which upstreams of a version are started,
# also while watches deliver nothing.
NEW_VERSION_HOLD_SECONDS = 2.0


class UpstreamFleet:
    """Registry of upstreams, with each one's share of the limits that all instances share.

    Attributes
    ----------
    domains_out : frozenset of str
        Failure domains that operators have evacuated.
    version : int
        Number that rises when an upstream is added, removed or starts to leave.
    shards, relayed : frozenset of str
        Services used as shards by gathering routes; services all of whose requests may be relayed.
    started : float
        Loop time in seconds at which this instance started.
    splits : dict
        Split of calls between versions, for services with a rollout.
    unproven : dict
        Versions of each service that get calls only as the target of its rollout.
    cold_rates : dict
        This instance's part of the rates of cold upstreams under the present shares.
    limited, leaving : set of str
        Upstreams that announce a limit, and those that announced that they leave.
    waits_until : float
        Loop time until which some upstream has asked this instance to wait.
    remembered : RememberedAnnouncements
        Announcements of upstreams that are not listed here, yet or at present.
    announcement_listeners : list of callable
        Called with an upstream's name and announcement after a response changed it.
    """

    def __init__(
        self,
        bounds: SharedBounds,
        header_names: HeaderNames,
        instance_name: str = "",
        metrics: Metrics | None = None,
    ) -> None:
        self.instance_name = instance_name
        self.metrics = metrics or Metrics()
        self.bounds = bounds
        self.header_names = header_names
        self.limits: dict[str, ServiceLimits] = {}
        self.services: dict[str, dict[str, Upstream]] = {}
        self.by_name: dict[str, Upstream] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.started = 0.0
        self.version = 0
        self.receive_buffers = ReceiveBuffers()
        self.domains_out: frozenset[str] = frozenset()
        self.splits: dict[str, VersionSplit] = {}
        self.unproven: dict[str, frozenset[str]] = {}
        self.shares = FleetShares(Shares(), Shares())
        self.cold_rates: dict[str, float] = {}
        self.limited: set[str] = set()
        self.leaving: set[str] = set()
        self.waits_until = 0.0
        self.remembered = RememberedAnnouncements()
        self.announcement_listeners: list[Callable[[str, Announcement], None]] = []
        self.shards: frozenset[str] = frozenset()
        self.relayed: frozenset[str] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Apply the routes and limits of a configuration."""
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
        for shard in self.shards:
            # A budget must exist to record rises of its share.
            self.budget(shard)
        self.apply_shares()

    def limits_of(self, service: str) -> ServiceLimits:
        """Limits of a service; an undeclared service is unlimited."""
        return self.limits.get(service) or ServiceLimits(service)

    def set_bounds(self, bounds: SharedBounds) -> None:
        """Apply changed bounds to all upstreams and budgets."""
        self.bounds = bounds
        for upstream in self.by_name.values():
            upstream.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds
        self.cold_rates.clear()

    def set_shares(self, shares: FleetShares) -> None:
        """Change how the shared limits are divided among the instances."""
        if shares == self.shares:
            return
        json_log.info("limits shared", shards=shares.shards._asdict(), plain=shares.plain._asdict())
        self.shares = shares
        self.apply_shares()

    def apply_shares(self) -> None:
        """Set the divisor of every upstream and budget."""
        self.cold_rates.clear()
        for upstream in self.by_name.values():
            upstream.divisor = self.divisor(upstream.record.service)
        for name in self.limited:
            self.apply_rate(self.by_name[name])
        for service, budget in self.budgets.items():
            budget.share.update(1.0 / self.divisor(service), now())

    def shares_of(self, service: str) -> Shares:
        """Division of the limits of a service's upstreams among the instances."""
        if service in self.shards:
            return self.shares.shards
        if service in self.relayed:
            return self.shares.plain
        return Shares(self.shares.plain.instances, callers=self.shares.instance_names)

    def divisor(self, service: str) -> float:
        """Divisor that gives this instance's share of the limits of a service."""
        return self.shares_of(service).divisor

    def budget(self, service: str) -> RepeatBudget:
        """Budget of retries and hedges to a service."""
        budget = self.budgets.get(service)
        if budget is None:
            share = WindowedShare(self.bounds.repeat_window, self.started)
            share.update(1.0 / self.divisor(service), self.started)
            budget = RepeatBudget(self.bounds, share)
            self.budgets[service] = budget
        return budget

    def repeat_usage(self, at: float) -> dict[str, BudgetUsage]:
        """Usage of the repeat budgets, for the services with repeats in the window."""
        usages = {service: budget.usage(at) for service, budget in self.budgets.items()}
        return {service: usage for service, usage in usages.items() if usage.repeats}

    def eligible_upstreams(self, service: str) -> list[Upstream]:
        """Upstreams of a service that may get calls under the current version split."""
        upstreams = self.services.get(service, {}).values()
        split = self.splits.get(service)
        unproven = self.unproven.get(service, frozenset())
        at = now()
        if split is not None:
            usable = split.eligible(upstreams, at, unproven)
        else:
            usable = [item for item in upstreams if item.record.version not in unproven]
        ordered = split.rollout.target if split is not None else None
        return [
            item for item in usable if at >= item.held_until or item.record.version == ordered
        ] or usable

    def established_versions(self, service: str) -> set[str]:
        """Versions that have carried a service's calls since before an order known only now."""
        before = now() - NEW_VERSION_HOLD_SECONDS
        upstreams = self.services.get(service, {}).values()
        return {item.record.version for item in upstreams if item.listed_at < before}

    def hold_until(self, record: UpstreamRecord) -> float:
        """Loop time until which an upstream gets no calls unless its service has no others.

        Upstreams of a version that the service did not have may belong to a rollout that is not
        known here yet.
        """
        at = now()
        others = self.services.get(record.service, {}).values()
        if any(item.record.version == record.version and at >= item.held_until for item in others):
            return 0.0
        is_established = any(at - item.listed_at > NEW_VERSION_HOLD_SECONDS for item in others)
        return at + NEW_VERSION_HOLD_SECONDS if is_established else 0.0

    def upsert(self, record: UpstreamRecord) -> None:
        """Add an upstream, or apply a newer registration of it.

        A registration with another service, address or start time replaces the upstream.
        """
        current = self.by_name.get(record.name)
        if current is not None and is_same_start(current.record, record):
            if current.record.leaving != record.leaving:
                self.version += 1
                json_log.info("upstream leaving", upstream=record.name, leaving=record.leaving)
            current.update_record(record)
            return
        if current is not None:
            self.remove(record.name, "restarted")
        upstream = Upstream(
            record,
            self.limits_of(record.service),
            self.bounds,
            self.header_names,
            self.receive_buffers,
        )
        upstream.listed_at = now()
        upstream.held_until = self.hold_until(record)
        upstream.divisor = self.divisor(record.service)
        upstream.cold_rate_source = self.cold_rate_here
        upstream.announcement_listener = self.handle_announcement
        upstream.wait_listener = self.handle_wait
        upstream.wait.phase = return_phase(self.instance_name, record.name)
        self.version += 1
        self.by_name[record.name] = upstream
        self.services.setdefault(record.service, {})[record.name] = upstream
        json_log.info(
            "upstream listed",
            upstream=record.name,
            service=record.service,
            version=record.version,
            held_seconds=max(0.0, round(upstream.held_until - now(), 2)),
        )
        upstream.wait = (
            self.remembered.take_wait(record.name, record.started_at_ms) or upstream.wait
        )
        announcement = self.remembered.take(record.name)
        if announcement is not None:
            self.merge_announcement(record.name, announcement)

    def remove(self, name: str, reason: str) -> None:
        """Remove an upstream; calls in flight run to completion."""
        upstream = self.by_name.pop(name, None)
        if upstream is None:
            return
        self.version += 1
        self.services[upstream.record.service].pop(name, None)
        self.limited.discard(name)
        self.leaving.discard(name)
        self.remembered.add(name, upstream.announcements.current)
        if now() < upstream.wait.until:
            self.remembered.add_wait(name, upstream.record.started_at_ms, upstream.wait)
        upstream.close()
        json_log.info("upstream gone", upstream=name, reason=reason)

    def handle_announcement(self, upstream: Upstream, request: str) -> None:
        """Apply and pass on what an upstream announced in its response to a request."""
        name = upstream.record.name
        if self.by_name.get(name) is not upstream:
            return
        self.apply_announcement(upstream, request=request)
        for listener in self.announcement_listeners:
            listener(name, upstream.announcements.current)

    def handle_wait(self, upstream: Upstream, request: str) -> None:
        """Log that an upstream asked this instance to wait."""
        self.waits_until = max(self.waits_until, upstream.wait.until)
        self.metrics.count("announced_waits")
        json_log.info(
            "upstream asked to wait",
            request=request,
            upstream=upstream.record.name,
            service=upstream.record.service,
            seconds=round(upstream.wait.until - now(), 2),
        )

    def is_restricted(self, at: float) -> bool:
        """Whether announcements keep calls from any upstream."""
        return bool(self.limited) or at < self.waits_until

    def merge_announcement(self, name: str, announcement: Announcement) -> None:
        """Apply what another instance learnt of an upstream's start, even before it is listed."""
        upstream = self.by_name.get(name)
        if upstream is None or announcement.started_at_ms > upstream.record.started_at_ms:
            self.remembered.add(name, announcement)
        elif upstream.announcements.merge(announcement, now()):
            self.apply_announcement(upstream, request="")

    def apply_announcement(self, upstream: Upstream, request: str) -> None:
        """Apply a changed announcement; `request` is empty if another instance received it."""
        announcement = upstream.announcements.current
        if announcement.leaving and upstream.record.name not in self.leaving:
            self.apply_departure(upstream, request)
        if announcement.limit != upstream.applied_limit:
            self.apply_limit(upstream, request)

    def apply_departure(self, upstream: Upstream, request: str) -> None:
        """Send nothing more to an upstream that announced that it leaves; calls go on."""
        self.leaving.add(upstream.record.name)
        self.version += 1
        upstream.pool.close_idle()
        self.metrics.count("announced_departures")
        json_log.info(
            "upstream leaving",
            request=request,
            upstream=upstream.record.name,
            leaving=True,
            calls_under_way=len(upstream.in_flight),
        )

    def apply_limit(self, upstream: Upstream, request: str) -> None:
        """Keep to a limit that an upstream announced, or to none if it no longer does."""
        name = upstream.record.name
        announcement = upstream.announcements.current
        upstream.applied_limit = announcement.limit
        self.metrics.count("announced_limits")
        if announcement.limit is None:
            self.limited.discard(name)
            upstream.rate_limiter = None
        else:
            self.limited.add(name)
            self.apply_rate(upstream)
        json_log.info(
            "upstream limit changed",
            request=request,
            upstream=name,
            service=upstream.record.service,
            limit=announcement.limit,
            sequence=announcement.sequence,
            rate_here=upstream.rate_limiter.rate if upstream.rate_limiter is not None else None,
        )

    def apply_rate(self, upstream: Upstream) -> None:
        """Set this instance's part of the rate that an upstream announced."""
        rate = self.rate_here(upstream, upstream.announcements.limit)
        upstream.limit_rate(rate, now())

    def cold_rate_here(self, upstream: Upstream) -> float:
        """This instance's part of the requests per second that a cold upstream gets."""
        name = upstream.record.name
        if name not in self.cold_rates:
            self.cold_rates[name] = self.rate_here(
                upstream, total_cold_rate(upstream.limits, upstream.bounds)
            )
        return self.cold_rates[name]

    def rate_here(self, upstream: Upstream, total: float) -> float:
        """Part of an upstream's requests per second that this instance may send.

        It is 0 if others call the upstream, since a rate of a few requests can't be divided among
        hundreds.
        """
        shares = self.shares_of(upstream.record.service)
        callers = shares.callers or (self.instance_name,)
        known = len(self.shares.instance_names) or 1
        # Instances that this one does not know, as after its start, may call as well.
        expected = len(callers) + max(0, shares.instances - known)
        return caller_rate(total, upstream.record.name, self.instance_name, callers, expected)

    def close(self) -> None:
        """Close the pooled connections of all upstreams."""
        for upstream in self.by_name.values():
            upstream.close()


def return_phase(instance: str, upstream: str) -> float:
    """Place of an instance, from 0 to 1, among those that return to an upstream after a wait."""
    return hash_text(f"{instance} {upstream}") / (1 << HASH_BITS)


def is_same_start(current: UpstreamRecord, record: UpstreamRecord) -> bool:
    """Whether two registrations come from the same start of the same upstream."""
    return (current.service, current.address, current.started_at_ms) == (
        record.service,
        record.address,
        record.started_at_ms,
    )
