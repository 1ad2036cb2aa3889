"""Minimum of recent values."""

import math


class WindowedMinimum:
    """Minimum over the current time window and the one before it."""

    def __init__(self, window_s: float) -> None:
        """Start without values."""
        self._window_s = window_s
        self._window_ends_s = -math.inf
        self._current_minimum = math.inf
        self._previous_minimum = math.inf

    def record(self, sample: float, now_s: float) -> None:
        """Record a value."""
        if now_s >= self._window_ends_s:
            is_next = now_s < self._window_ends_s + self._window_s
            self._previous_minimum = (
                self._current_minimum if is_next else math.inf
            )
            self._current_minimum = math.inf
            self._window_ends_s = now_s + self._window_s
        self._current_minimum = min(self._current_minimum, sample)

    def minimum(self, default: float) -> float:
        """Return the minimum, or the default if no value was recorded."""
        minimum = min(self._current_minimum, self._previous_minimum)
        return default if math.isinf(minimum) else minimum
