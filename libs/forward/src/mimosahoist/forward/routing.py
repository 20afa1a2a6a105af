"""Route matching by host and longest path prefix, and weighted selection of a target service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mimosahoist.forward.organisations.keys import KeyRing

if TYPE_CHECKING:
    import random

    from mimosahoist.forward.declarations import Configuration, Route


class RouteTable:
    """Routes and keys of one configuration version."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.keys = KeyRing(configuration)
        self.by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, target: str) -> Route | None:
        """Find the route of a request.

        Parameters
        ----------
        host : str
            Host header; a port is ignored.
        target : str
            Request target: path with optional query.
        """
        path = target.partition("?")[0]
        for route in self.by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Pick a target service of a plain route at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, target.weight) for target in route.targets]
    if not sum(weights):
        weights = [1.0] * len(weights)
    return rng.choices([target.service for target in route.targets], weights)[0]
