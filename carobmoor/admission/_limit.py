"""Adaptive concurrency limit, derived from service times alone.

A backend server that is slow because it is overloaded keeps its throughput
when fewer requests run at once; one that is slow for another reason loses
throughput. So a lower limit is tried while the server is slow, and kept only
if the throughput holds. The throughput at a limit is the limit divided by the
mean service time.
"""

from typing import Final, NamedTuple

# Finished requests in one measurement window.
_WINDOW: Final = 128
# Windows without a trial after a failed one, doubled with each further failure.
_LEAST_REST_WINDOWS: Final = 32
_MOST_REST_WINDOWS: Final = 256
_STEP: Final = 0.75
# A rise of the slowdown by this factor means that the server has changed.
_CHANGED: Final = 1.5
_INSTANT: Final = 0.000001
# A lower limit must keep at least this part of the rate.
_KEPT_RATE: Final = 0.95
# A trial whose rate is below this part at the early check ends at once.
_LOST_RATE: Final = 0.8
_EARLY: Final = 48
# A higher limit must raise the rate to at least this multiple.
_WON_RATE: Final = 1.1


class Trial(NamedTuple):
    """The limit to return to if the limit on trial proves worse."""

    old_limit: int
    old_rate: float


class LimitState:
    """The limit in force and the measurement in progress."""

    def __init__(self, slots: int) -> None:
        """Start with the limit at the configured slots."""
        self.slots = slots
        self.limit = slots
        # The last measured service time as a multiple of the typical one.
        self.slowness = float(1)
        self._trial: Trial | None = None
        self._sum = float(0)
        self._count = 0
        self._rest_windows = 0
        self._next_rest_windows = _LEAST_REST_WINDOWS
        self._lower_failed = False
        # In the previous window, and before the last failed trial.
        self._slowness_before = float(1)
        self._failed_slowness = float(1)

    def replace_slots(self, slots: int) -> None:
        """Reset the limit if the number of configured slots changed."""
        if slots != self.slots:
            self.slots = slots
            self._set(slots)
            self._trial = None

    def learn(
        self,
        slowness: float,
        least_slots: int,
        slowdown_ratio: float,
    ) -> None:
        """Record one request that ran while the limit was reached.

        `slowness` is its service time as a multiple of the typical one.
        """
        self._count += 1
        # Requests that finish just after a change ran mostly before it.
        if self._count > 0:
            self._sum += slowness
        is_due = self._count == _WINDOW
        if not is_due and not self._has_failed_early():
            return
        self.slowness = max(self._sum / self._count, _INSTANT)
        self._sum = 0
        self._count = 0
        if self._trial:
            self._judge(self._trial)
        elif self._rest_windows and not self._has_changed():
            self._rest_windows -= 1
        elif self._is_settled():
            self._try(least_slots, slowdown_ratio)
        self._slowness_before = self.slowness

    def _has_changed(self) -> bool:
        """Return whether the result of the last failed trial is outdated."""
        return self.slowness > _CHANGED * self._failed_slowness

    def _is_settled(self) -> bool:
        """Return whether the slowdown has not jumped since the last window.

        A window that covers the onset of a slowdown shows too high a rate to
        compare a trial with.
        """
        return self.slowness < _CHANGED * self._slowness_before

    def _has_failed_early(self) -> bool:
        trial = self._trial
        if trial is None or self._count != _EARLY:
            return False
        rate = self.limit / max(self._sum / self._count, _INSTANT)
        return rate < _LOST_RATE * trial.old_rate

    def _judge(self, trial: Trial) -> None:
        is_lower = self.limit < trial.old_limit
        wanted = _KEPT_RATE if is_lower else _WON_RATE
        self._trial = None
        if self.limit / self.slowness >= wanted * trial.old_rate:
            self._next_rest_windows = _LEAST_REST_WINDOWS
            self._lower_failed = False
            return
        self._set(trial.old_limit)
        self._lower_failed = is_lower
        self._failed_slowness = trial.old_limit / trial.old_rate
        self._rest_windows = self._next_rest_windows
        self._next_rest_windows = min(
            _MOST_REST_WINDOWS,
            2 * self._next_rest_windows,
        )

    def _try(self, least_slots: int, slowdown_ratio: float) -> None:
        is_slow = self.slowness > slowdown_ratio
        tried = self.limit
        if is_slow and not self._lower_failed:
            tried = max(1, least_slots, int(self.limit * _STEP))
        elif is_slow or self.limit < self.slots:
            tried = int(self.limit / _STEP) + 1
        self._lower_failed = False
        tried = min(tried, self.slots)
        if tried != self.limit:
            rate = self.limit / self.slowness
            self._trial = Trial(self.limit, rate)
            self._set(tried)

    def _set(self, limit: int) -> None:
        self.limit = limit
        self._sum = 0
        self._count = -limit
