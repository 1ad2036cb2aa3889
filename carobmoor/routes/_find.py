"""Finding the route of a request and the service to send it to."""

import random
from collections.abc import Sequence
from typing import Final

from carobmoor.routes._messages import Route, RouteTable, WeightedService

_SLASH: Final = '/'


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or `None`.

    `host` may include a port, which is ignored; `path` excludes the query.
    """
    by_prefix = table.routes.get(host.partition(':')[0].lower())
    if by_prefix is None:
        return None
    end = len(path)
    while end > 0:
        end = path.rfind(_SLASH, 0, end)
        route = by_prefix.get(path[: end + 1])
        if route is not None:
            return route
    return None


class SplitState:
    """The weighted round robin of each route with several services."""

    def __init__(self, rng: random.Random) -> None:
        """Start without any route."""
        self._rng = rng
        self._credits: dict[Sequence[WeightedService], list[float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the next service by smooth weighted round robin.

        Each process starts at a random point, so that many processes with few
        requests each still keep the weights together.
        """
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._credits.get(route.services)
        if credits is None:
            credits = self._initial_credits(route.services)
            self._credits[route.services] = credits
        for index, weighted in enumerate(route.services):
            credits[index] += weighted.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= _total_weight(route.services)
        return route.services[chosen].service

    def _initial_credits(
        self, services: Sequence[WeightedService]
    ) -> list[float]:
        initial = [
            weighted.weight * self._rng.random() for weighted in services
        ]
        mean = sum(initial) / len(initial)
        return [credit - mean for credit in initial]


def _total_weight(services: Sequence[WeightedService]) -> float:
    return sum(weighted.weight for weighted in services)
