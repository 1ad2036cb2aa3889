"""Minimum of recent values."""

import math


class BestOfLate:
    """Minimum over the current time window and the one before it."""

    def __init__(self, window_s: float) -> None:
        """Start without values."""
        self._window_s = window_s
        self._ends_s = -math.inf
        self._current = math.inf
        self._before = math.inf

    def note(self, figure: float, now_s: float) -> None:
        """Record a value."""
        if now_s >= self._ends_s:
            is_next = now_s < self._ends_s + self._window_s
            self._before = self._current if is_next else math.inf
            self._current = math.inf
            self._ends_s = now_s + self._window_s
        self._current = min(self._current, figure)

    def best(self, default: float) -> float:
        """Return the minimum, or the default if no value was recorded."""
        best = min(self._current, self._before)
        return default if math.isinf(best) else best
