"""Adaptive concurrency limit, derived from service times alone.

A backend server that is slow because it is overloaded keeps its throughput
when fewer requests run at once; one that is slow for another reason loses
throughput. So a lower limit is tried while the server is slow, and kept only
if the throughput holds. The throughput at a limit is the limit divided by the
mean service time.
"""

from typing import Final, NamedTuple

# Finished requests in one measurement window.
_WINDOW_REQUESTS: Final = 128
# Windows without a trial after a failed one, doubled with each further failure.
_MIN_COOLDOWN_WINDOWS: Final = 32
_MAX_COOLDOWN_WINDOWS: Final = 256
_STEP_FACTOR: Final = 0.75
# A rise of the slowdown by this factor means that the server has changed.
_CHANGE_FACTOR: Final = 1.5
_MIN_SLOWDOWN: Final = 0.000001
# A lower limit must keep at least this part of the rate.
_MIN_RATE_AFTER_DECREASE: Final = 0.95
# A trial whose rate is below this part at the early check ends at once.
_EARLY_ABORT_RATE: Final = 0.8
_EARLY_CHECK_REQUESTS: Final = 48
# A higher limit must raise the rate to at least this multiple.
_MIN_RATE_AFTER_INCREASE: Final = 1.1


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
        self.slowdown = float(1)
        self._trial: Trial | None = None
        self._sum = float(0)
        self._count = 0
        self._cooldown_windows = 0
        self._next_cooldown_windows = _MIN_COOLDOWN_WINDOWS
        self._lower_failed = False
        # In the previous window, and before the last failed trial.
        self._previous_slowdown = float(1)
        self._failed_trial_slowdown = float(1)

    def replace_slots(self, slots: int) -> None:
        """Reset the limit if the number of configured slots changed."""
        if slots != self.slots:
            self.slots = slots
            self._set_limit(slots)
            self._trial = None

    def record(
        self,
        slowdown: float,
        min_slots: int,
        slowdown_ratio: float,
    ) -> None:
        """Record one request that ran while the limit was reached.

        `slowdown` is its service time as a multiple of the typical one.
        """
        self._count += 1
        # Requests that finish just after a change ran mostly before it.
        if self._count > 0:
            self._sum += slowdown
        is_due = self._count == _WINDOW_REQUESTS
        if not is_due and not self._has_failed_early():
            return
        self.slowdown = max(self._sum / self._count, _MIN_SLOWDOWN)
        self._sum = 0
        self._count = 0
        if self._trial:
            self._evaluate_trial(self._trial)
        elif self._cooldown_windows and not self._has_server_changed():
            self._cooldown_windows -= 1
        elif self._is_stable():
            self._start_trial(min_slots, slowdown_ratio)
        self._previous_slowdown = self.slowdown

    def _has_server_changed(self) -> bool:
        """Return whether the result of the last failed trial is outdated."""
        return self.slowdown > _CHANGE_FACTOR * self._failed_trial_slowdown

    def _is_stable(self) -> bool:
        """Return whether the slowdown has not jumped since the last window.

        A window that covers the onset of a slowdown shows too high a rate to
        compare a trial with.
        """
        return self.slowdown < _CHANGE_FACTOR * self._previous_slowdown

    def _has_failed_early(self) -> bool:
        trial = self._trial
        if trial is None or self._count != _EARLY_CHECK_REQUESTS:
            return False
        rate = self.limit / max(self._sum / self._count, _MIN_SLOWDOWN)
        return rate < _EARLY_ABORT_RATE * trial.old_rate

    def _evaluate_trial(self, trial: Trial) -> None:
        is_lower = self.limit < trial.old_limit
        min_ratio = (
            _MIN_RATE_AFTER_DECREASE if is_lower else _MIN_RATE_AFTER_INCREASE
        )
        self._trial = None
        if self.limit / self.slowdown >= min_ratio * trial.old_rate:
            self._next_cooldown_windows = _MIN_COOLDOWN_WINDOWS
            self._lower_failed = False
            return
        self._set_limit(trial.old_limit)
        self._lower_failed = is_lower
        self._failed_trial_slowdown = trial.old_limit / trial.old_rate
        self._cooldown_windows = self._next_cooldown_windows
        self._next_cooldown_windows = min(
            _MAX_COOLDOWN_WINDOWS,
            2 * self._next_cooldown_windows,
        )

    def _start_trial(self, min_slots: int, slowdown_ratio: float) -> None:
        is_slow = self.slowdown > slowdown_ratio
        candidate = self.limit
        if is_slow and not self._lower_failed:
            candidate = max(1, min_slots, int(self.limit * _STEP_FACTOR))
        elif is_slow or self.limit < self.slots:
            candidate = int(self.limit / _STEP_FACTOR) + 1
        self._lower_failed = False
        candidate = min(candidate, self.slots)
        if candidate != self.limit:
            rate = self.limit / self.slowdown
            self._trial = Trial(self.limit, rate)
            self._set_limit(candidate)

    def _set_limit(self, limit: int) -> None:
        self.limit = limit
        self._sum = 0
        self._count = -limit
