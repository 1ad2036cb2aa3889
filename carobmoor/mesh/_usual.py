"""How long something usually takes for the requests of each route."""

from typing import Final, NamedTuple

_FIRST_MS: Final = 100
_SMOOTHING: Final = 0.05


class UsualTimes:
    """Smoothed times by route, in milliseconds."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._by_route: dict[str, float] = {}

    def usual_ms(self, route_name: str) -> float:
        """Give what a request of the route takes."""
        return self._by_route.get(route_name, _FIRST_MS)

    def note(self, route_name: str, took_ms: float) -> None:
        """Take in one request that was answered well."""
        known = self._by_route.get(route_name)
        if known is None:
            self._by_route[route_name] = took_ms
        else:
            self._by_route[route_name] = known + _SMOOTHING * (took_ms - known)


class NodeTimes(NamedTuple):
    """The usual times that a node keeps, by route."""

    # How long the own server works, at its usual pace.
    work: UsualTimes
    # How long answers take, from wherever they come.
    answers: UsualTimes
