"""Typical sizes of large answers, by route."""

from typing import Final

_SMOOTHING: Final = 0.05


class AnswerSizes:
    """Exponentially smoothed sizes of the answers of downloads, by route."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._by_route: dict[str, float] = {}

    def typical_bytes(self, route_name: str) -> float:
        """Return the typical size on a route; zero without measurements."""
        return self._by_route.get(route_name, 0)

    def record(self, route_name: str, answer_bytes: float) -> None:
        """Record the size of a whole answer."""
        known = self._by_route.setdefault(route_name, answer_bytes)
        self._by_route[route_name] = known + _SMOOTHING * (answer_bytes - known)
