"""What this instance believes of configuration and upstreams, by store revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mimosahoist.core import json_log
from mimosahoist.forward.declarations import Configuration, UpstreamRecord
from mimosahoist.forward.routing import RouteTable
from mimosahoist.platform.watched import WatchedItem, WatchedKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.forward.fleet import UpstreamFleet


class StateCache:
    """Takes items from the store or from peers; never goes back to an older one.

    Attributes
    ----------
    routes : RouteTable or None
        None until a first configuration is known.
    listeners : list of callable
        Called with kind and item when a belief changed.
    """

    def __init__(self, fleet: UpstreamFleet) -> None:
        self.fleet = fleet
        self.routes: RouteTable | None = None
        self.items: dict[WatchedKind, dict[str, WatchedItem]] = {kind: {} for kind in WatchedKind}
        self.listeners: list[Callable[[WatchedKind, WatchedItem], None]] = []

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve: a configuration and upstreams."""
        return self.routes is not None and bool(self.fleet.by_name)

    def known(self, kind: WatchedKind) -> list[str]:
        """Names of a kind that are believed to exist."""
        return [name for name, item in self.items[kind].items() if item.value is not None]

    def put_if_newer(self, kind: WatchedKind, item: WatchedItem) -> bool:
        """Believe an item if it is newer than the one held; true if it was."""
        held = self.items[kind].get(item.name)
        if held is not None and not is_newer(item, held):
            return False
        self.items[kind][item.name] = item
        self.apply(kind, item)
        for listener in self.listeners:
            listener(kind, item)
        return True

    def apply(self, kind: WatchedKind, item: WatchedItem) -> None:
        """Bring the fleet and the routes into line with an item."""
        if kind is WatchedKind.CONFIGURATION:
            self.apply_configuration(item.value)
        elif kind is WatchedKind.UPSTREAMS:
            self.apply_upstream(item)
        elif kind is WatchedKind.DOMAINS_OUT:
            self.fleet.domains_out = frozenset(self.known(kind))
            json_log.change("failure domains out", domains=sorted(self.fleet.domains_out))

    def apply_configuration(self, value: Any) -> None:
        """Put a configuration in force, unless one at least as new already is."""
        if not isinstance(value, Configuration):
            return
        before = self.routes.configuration.version if self.routes is not None else None
        if before is not None and value.version <= before:
            return
        self.routes = RouteTable(value)
        self.fleet.configure(value)
        json_log.change("configuration in force", version=value.version, before=before)

    def apply_upstream(self, item: WatchedItem) -> None:
        """Add, change or remove an upstream."""
        if isinstance(item.value, UpstreamRecord):
            self.fleet.put(item.value)
        else:
            self.fleet.remove(item.name, "left the list")


def is_newer(item: WatchedItem, held: WatchedItem) -> bool:
    """Whether an item replaces the one held; at the same revision removal wins."""
    if item.revision != held.revision:
        return item.revision > held.revision
    return item.value is None and held.value is not None
