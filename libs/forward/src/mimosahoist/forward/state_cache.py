"""Local cache of the store's configuration and upstreams, versioned by store revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.forward.declarations import Configuration, UpstreamRecord
from mimosahoist.forward.rollout import Rollout
from mimosahoist.forward.routing import RouteTable
from mimosahoist.platform.watched import WatchedItem, WatchedKind, epoch_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.forward.fleet import UpstreamFleet


class StateCache:
    """Latest known items from the store or from peers; an older item never replaces a newer one.

    Attributes
    ----------
    routes : RouteTable or None
        None until the first configuration is known.
    last_reports : dict
        Last known registration of each upstream, also of removed ones.
    reports_of_copies : dict
        Revision of each upstream's registration that was only in a copy of the store.
    rewritten_orders : dict
        First form of rollouts whose orders were written again after a restore, by their key.
    listeners : list of callable
        Called with kind and item after an item changed.
    """

    def __init__(self, fleet: UpstreamFleet) -> None:
        self.fleet = fleet
        self.routes: RouteTable | None = None
        self.items: dict[WatchedKind, dict[str, WatchedItem]] = {kind: {} for kind in WatchedKind}
        self.last_reports: dict[str, WatchedItem] = {}
        self.reports_of_copies: dict[str, int] = {}
        self.rewritten_orders: dict[str, Rollout] = {}
        self.listeners: list[Callable[[WatchedKind, WatchedItem], None]] = []

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve requests: a configuration and at least one upstream."""
        return self.routes is not None and bool(self.fleet.by_name)

    def known(self, kind: WatchedKind) -> list[str]:
        """Names of the items of a kind that exist."""
        return [name for name, item in self.items[kind].items() if item.value is not None]

    def configuration_position(self) -> tuple[int, int]:
        """Version of the configuration in force and the newest position at which it is known."""
        if self.routes is None:
            return 0, 0
        revisions = [item.revision for item in self.items[WatchedKind.CONFIGURATION].values()]
        return self.routes.configuration.version, max(revisions, default=0)

    def put_if_newer(self, kind: WatchedKind, item: WatchedItem) -> bool:
        """Store an item if it is newer than the cached one; return whether it was."""
        cached = self.items[kind].get(item.name)
        if cached is not None and not is_newer(item, cached):
            return False
        if kind is WatchedKind.ROLLOUTS:
            item = self.keep_identity(item, cached)
        if kind is WatchedKind.UPSTREAMS and self.is_report_of_copy(item):
            return False
        self.items[kind][item.name] = item
        self.apply(kind, item)
        for listener in self.listeners:
            listener(kind, item)
        return True

    def keep_identity(self, item: WatchedItem, cached: WatchedItem | None) -> WatchedItem:
        """Recognise a rollout whose order was lost with a restore and written again."""
        order = item.value
        if not isinstance(order, Rollout):
            return item
        known = cached.value if cached is not None else None
        is_rewritten = (
            isinstance(known, Rollout)
            and epoch_of(item.revision) > epoch_of(cached.revision)
            and is_same_order(order, known)
        )
        if is_rewritten and order.key != known.key:
            self.rewritten_orders[order.key] = known
            # Its progress is stored with the revision of the first order.
            stored = order._replace(ordered_at=known.ordered_at)
            self.rewritten_orders[stored.key] = known
        first = self.rewritten_orders.get(order.key, order)
        order = order._replace(created=first.created, ordered_at=first.ordered_at)
        return item._replace(value=order)

    def is_report_of_copy(self, item: WatchedItem) -> bool:
        """Whether a registration is only what the copy held from which the store was restored.

        It repeats, at a revision of a later epoch, what an upstream reported earlier. One that is
        still there reports again.
        """
        last = self.last_reports.get(item.name)
        if last is None or not isinstance(item.value, UpstreamRecord):
            return False
        if item.revision == self.reports_of_copies.get(item.name):
            return True
        if epoch_of(item.revision) <= epoch_of(last.revision):
            return False
        is_listed = self.items[WatchedKind.UPSTREAMS][item.name].value is not None
        reported = (item.value.started_at_ms, item.value.sequence)
        known = (last.value.started_at_ms, last.value.sequence)
        if not item.value.sequence or reported > known or (reported == known and is_listed):
            return False
        self.last_reports[item.name] = last._replace(revision=item.revision)
        self.reports_of_copies[item.name] = item.revision
        return True

    def apply(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Update the routes and the upstream registry from an item."""
        if kind is WatchedKind.CONFIGURATION:
            self.activate_configuration(item.value)
        elif kind is WatchedKind.UPSTREAMS:
            self.update_upstream(item)
        elif kind is WatchedKind.DOMAINS_OUT:
            self.fleet.domains_out = frozenset(self.known(kind))
            json_log.info("failure domains out", domains=sorted(self.fleet.domains_out))

    def activate_configuration(self, value: Any) -> None:
        """Activate a configuration, unless it is active or the active one is a later version."""
        if not isinstance(value, Configuration):
            return
        active = self.routes.configuration if self.routes is not None else None
        if active is not None and (value.version < active.version or value == active):
            return
        before = active.version if active is not None else None
        self.routes = RouteTable(value)
        self.fleet.configure(value)
        json_log.info("configuration in force", version=value.version, before=before)

    def update_upstream(self, item: WatchedItem) -> None:
        """Add, update or remove an upstream."""
        if isinstance(item.value, UpstreamRecord):
            self.last_reports[item.name] = item
            self.fleet.upsert(item.value)
        else:
            self.fleet.remove(item.name, "no longer in the store")


def version_of(value: Any) -> int:
    """Version that orders values before the store's revisions do; 0 if they have none.

    A store that is restored from a copy may give out an older configuration at a newer revision.
    """
    return value.version if isinstance(value, Configuration) else 0


def is_newer(item: WatchedItem, cached: WatchedItem) -> bool:
    """Whether an item replaces the cached one; at the same revision a removal wins."""
    order = (version_of(item.value), item.revision)
    cached_order = (version_of(cached.value), cached.revision)
    if order != cached_order:
        return order > cached_order
    return item.value is None and cached.value is not None


def is_same_order(order: Rollout, known: Rollout) -> bool:
    """Whether two rollouts ask for the same, whenever they were created."""
    return (order.target, order.time_limit_seconds) == (known.target, known.time_limit_seconds)
