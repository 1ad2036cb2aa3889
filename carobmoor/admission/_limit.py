"""The adaptive limit on requests in flight, from service times alone.

A backend server that slows down because too much runs at once answers no
fewer requests a second when less runs; one that is slow by itself does. So a
lower limit is tried while it is slow, and kept only when the rate of answers
holds. The rate at a limit is the limit over the mean service time.
"""

from typing import Final, NamedTuple

# Finished requests in one measurement.
_WINDOW: Final = 128
# Measurements after a trial that failed, doubled with each further one.
_LEAST_REST_WINDOWS: Final = 32
_MOST_REST_WINDOWS: Final = 256
_STEP: Final = 0.75
# A slowness that rose by this factor is another state of the server.
_CHANGED: Final = 1.5
_INSTANT: Final = 0.000001
# A lower limit must keep this part of the rate.
_KEPT_RATE: Final = 0.95
# A lower limit that keeps less than this part so early is given up at once.
_LOST_RATE: Final = 0.8
_EARLY: Final = 48
# A higher limit must bring the rate to at least this multiple.
_WON_RATE: Final = 1.1


class Trial(NamedTuple):
    """What to go back to when another limit proves worse."""

    old_limit: int
    old_rate: float


class LimitState:
    """The limit in force and the measurement under way."""

    def __init__(self, slots: int) -> None:
        """Start at the declared slots."""
        self.slots = slots
        self.limit = slots
        # The last measured service time over the usual one.
        self.slowness = float(1)
        self._trial: Trial | None = None
        self._sum = float(0)
        self._count = 0
        self._rest_windows = 0
        self._next_rest_windows = _LEAST_REST_WINDOWS
        self._lower_failed = False
        # The slowness of the measurement before, and at the last failed trial.
        self._slowness_before = float(1)
        self._failed_slowness = float(1)

    def replace_slots(self, slots: int) -> None:
        """Start over at other declared slots; the same change nothing."""
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
        """Learn from one request that ran while the limit was reached.

        `slowness` is its service time as a multiple of the usual one.
        """
        self._count += 1
        # The first to finish after a change ran mostly before it.
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
        """Tell whether the last failed trial no longer tells anything."""
        return self.slowness > _CHANGED * self._failed_slowness

    def _is_settled(self) -> bool:
        """Tell whether the measurement fell into no change of speed.

        A rate from before and after a slowdown would be too high to compare
        a trial with.
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
