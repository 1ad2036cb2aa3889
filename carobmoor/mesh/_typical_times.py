"""Typical times of requests, by route."""

from typing import Final, NamedTuple

from carobmoor.mesh._answer_sizes import AnswerSizes

_FIRST_MS: Final = 100
_SMOOTHING: Final = 0.05


class TypicalTimes:
    """Exponentially smoothed times by route, in milliseconds."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._by_route: dict[str, float] = {}

    def typical_ms(self, route_name: str) -> float:
        """Return the typical time of a route; 100 ms without measurements."""
        return self._by_route.get(route_name, _FIRST_MS)

    def record(self, route_name: str, duration_ms: float) -> None:
        """Record the time of a successful request."""
        known = self._by_route.get(route_name)
        if known is None:
            self._by_route[route_name] = duration_ms
        else:
            self._by_route[route_name] = known + _SMOOTHING * (
                duration_ms - known
            )


class NodeTimes(NamedTuple):
    """The typical times and sizes that a node keeps, by route."""

    # Service times of the node's own backend server, without slowdown.
    service_times: TypicalTimes
    # Times until the answer of any owner was passed on.
    response_times: TypicalTimes
    # Sizes of the answers to downloads.
    answer_sizes: AnswerSizes
