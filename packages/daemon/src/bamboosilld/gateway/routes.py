"""Matches requests to routes and splits a route's traffic among services."""

import random
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages

# A route's sequence of services starts after fewer steps than this, at random.
# Weights in whole percents repeat after at most as many.
_MAX_START_STEPS = 100


class _Host(NamedTuple):
    """Routes of one host by path prefix; prefix lengths, longest first."""

    by_prefix: dict[str, messages.RouteItem]
    lengths: tuple[int, ...]


class Routes:
    """Lookup table of the routes of one configuration."""

    def __init__(self, routes: tuple[messages.RouteItem, ...]) -> None:
        by_host: dict[str, dict[str, messages.RouteItem]] = {}
        for route in routes:
            prefixes = by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._hosts = {
            host: _Host(
                prefixes,
                tuple(sorted({len(each) for each in prefixes}, reverse=True)),
            )
            for host, prefixes in by_host.items()
        }

    def find(self, host: str, path: str) -> messages.RouteItem | None:
        """Returns the route with the longest matching prefix, or None."""
        host_routes = self._hosts.get(host.lower())
        if host_routes is None:
            host_routes = self._hosts.get(host.lower().rpartition(":")[0])
        if host_routes is None:
            return None
        for length in host_routes.lengths:
            route = host_routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class TrafficSplitter:
    """Splits the requests of each route among services by weight.

    Smooth weighted round-robin: each service gains credit by its weight, and
    the one with the most credit gets the request. The shares hold exactly even
    over few requests, unlike with a random choice. Each instance starts at a
    random point; otherwise the first requests of all instances would go to the
    same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: messages.RouteItem) -> str:
        """Returns the service that the next request of a route goes to."""
        if not route.shares:
            return route.service
        balances = self._credits.get(route.name)
        if balances is None:
            balances = self._credits[route.name] = {}
            for _ in range(self._rng.randrange(_MAX_START_STEPS)):
                _choose_next(route, balances)
        return _choose_next(route, balances)


def _choose_next(route: messages.RouteItem, balances: dict[str, float]) -> str:
    """Returns the next service and updates the credits of all services."""
    total = sum(share.weight for share in route.shares)
    for name in [
        each for each in balances if each not in _list_services(route)
    ]:
        del balances[name]
    for share in route.shares:
        credit = balances.get(share.service, 0.0)
        balances[share.service] = credit + share.weight / total
    weighted = {share.service for share in route.shares if share.weight}
    chosen = max(weighted, key=lambda name: (balances[name], name))
    balances[chosen] -= 1.0
    return chosen


def _list_services(route: messages.RouteItem) -> set[str]:
    return {share.service for share in route.shares}
