"""A success rate in which failures fade over time."""

from typing import Final

_HALF_LIFE_S: Final = 2


class SuccessRate:
    """The exponentially smoothed share of successes; 1 without outcomes."""

    def __init__(self, smoothing: float) -> None:
        """Start without outcomes; `smoothing` is the weight of the last one."""
        self.smoothing = smoothing
        self.outcome_count = 0
        self.updated_at_s = float(0)
        self._rate = float(1)

    def rate_at(self, now_s: float) -> float:
        """Return the rate; it recovers while no outcomes are recorded."""
        if self._rate >= 1:
            return 1
        age_s = max(0, now_s - self.updated_at_s)
        return 1 - (1 - self._rate) * 0.5 ** (age_s / _HALF_LIFE_S)

    def record_outcome(self, succeeded: bool, now_s: float) -> None:
        """Record one outcome."""
        rate = self.rate_at(now_s)
        self._rate = rate + self.smoothing * (float(succeeded) - rate)
        self.outcome_count += 1
        self.updated_at_s = now_s

    def drop_to_zero(self, now_s: float) -> None:
        """Set the rate to 0, since no request can succeed there."""
        self._rate = float(0)
        self.outcome_count += 1
        self.updated_at_s = now_s

    def reset(self) -> None:
        """Discard all outcomes."""
        self._rate = float(1)
        self.outcome_count = 0
