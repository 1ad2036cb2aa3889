"""Concurrency limit of a backend server, learned from its service times.

Some servers slow down when nearly all slots are in use, so that the last
slots cost more than they gain; others work equally well on every slot. The
times of requests that started in the last slots are compared with those of
requests that started just below them. A server whose queue never empties has
no starts below, so its limit is lowered for a trial.
"""

from typing import Final

# The knee: with a larger share of its slots in use, a server may slow down.
_KNEE_SHARE: Final = 0.8
# Starts between this share and the knee run under nearly the same load.
_BELOW_SHARE: Final = 0.5
# Starts above and below the knee per comparison. Times spread by half their
# mean, so this many detect a difference of a third nine times in ten.
_MIN_STARTS: Final = 24
# Starts above and below the knee after which the last slots count as good.
_CONCLUSIVE_STARTS: Final = 72
# At this many starts the weight of the older ones is halved.
_MAX_STARTS: Final = 96
# Ratio of mean times above which the last slots are left unused.
_COSTLY_RATIO: Final = 1.35
# Starts below the knee count only this soon after one above it, while the load
# on the services that the server itself calls is similar.
_COMPARABLE_S: Final = 2
# Length of the trial with a lower limit, from the last start above the knee:
# enough for 24 starts of 0.8 s on four slots.
_TRIAL_S: Final = 5
# Time until the last slots are tried again.
_RETRY_S: Final = 60


class TimeSamples:
    """Mean time of requests that started under similar load."""

    def __init__(self) -> None:
        """Start without requests."""
        self.count = float(0)
        self._sum = float(0)

    @property
    def mean(self) -> float:
        """The mean; raises `ZeroDivisionError` if nothing was recorded."""
        return self._sum / self.count

    def record(self, relative_time: float) -> None:
        """Record the time of one request, as a multiple of the typical."""
        if self.count >= _MAX_STARTS:
            self.count /= 2
            self._sum /= 2
        self.count += 1
        self._sum += relative_time


class ConcurrencyLimit:
    """The learned concurrency limit of a server with a number of slots."""

    def __init__(self, slots: int) -> None:
        """Start with all slots in use."""
        self.slots = slots
        self._knee_slots = max(1, int(slots * _KNEE_SHARE))
        self._above = TimeSamples()
        self._below = TimeSamples()
        self._is_costly = False
        # Starts above and below the knee that the next comparison needs.
        self._needed_starts = _MIN_STARTS
        self._decided_until_s = float(0)
        self._last_above_s = float(0)

    def current(self, now_s: float) -> int:
        """Return the current concurrency limit."""
        if now_s < self._decided_until_s:
            return self._knee_slots if self._is_costly else self.slots
        return self._knee_slots if self._is_in_trial(now_s) else self.slots

    def record(self, running: int, relative_time: float, now_s: float) -> None:
        """Record a request that succeeded.

        `running` is the number of requests in service at its start, itself
        included. `relative_time` is its time as a multiple of its route's
        typical time.
        """
        if now_s < self._decided_until_s:
            return
        if self._needs_trial() and not self._is_in_trial(now_s):
            # Load fell before the trial collected enough starts to compare.
            self._reset_samples()
        share = running / self.slots
        is_comparable = now_s < self._last_above_s + _COMPARABLE_S
        is_comparable = is_comparable or self._is_in_trial(now_s)
        if share > _KNEE_SHARE:
            self._above.record(relative_time)
            self._last_above_s = now_s
        elif is_comparable and (
            share > _BELOW_SHARE or running == self._knee_slots
        ):
            self._below.record(relative_time)
        if min(self._above.count, self._below.count) >= self._needed_starts:
            self._compare(now_s)

    def _is_in_trial(self, now_s: float) -> bool:
        return self._needs_trial() and now_s <= self._last_above_s + _TRIAL_S

    def _needs_trial(self) -> bool:
        return self._below.count < self._needed_starts <= self._above.count

    def _compare(self, now_s: float) -> None:
        threshold = _COSTLY_RATIO * self._below.mean
        self._is_costly = self._above.mean > threshold
        if self._is_costly or self._needed_starts >= _CONCLUSIVE_STARTS:
            self._decided_until_s = now_s + _RETRY_S
            self._reset_samples()
        else:
            self._needed_starts += _MIN_STARTS

    def _reset_samples(self) -> None:
        self._needed_starts = _MIN_STARTS
        self._above = TimeSamples()
        self._below = TimeSamples()
