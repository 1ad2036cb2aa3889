"""The least of the figures that came in lately."""

import math


class BestOfLate:
    """The least figure of the current window of time and the one before."""

    def __init__(self, window_s: float) -> None:
        """Start without a figure."""
        self._window_s = window_s
        self._ends_s = -math.inf
        self._current = math.inf
        self._before = math.inf

    def note(self, figure: float, now_s: float) -> None:
        """Take in a figure."""
        if now_s >= self._ends_s:
            is_next = now_s < self._ends_s + self._window_s
            self._before = self._current if is_next else math.inf
            self._current = math.inf
            self._ends_s = now_s + self._window_s
        self._current = min(self._current, figure)

    def best(self, default: float) -> float:
        """Give the least figure; the default when there is none."""
        best = min(self._current, self._before)
        return default if math.isinf(best) else best
