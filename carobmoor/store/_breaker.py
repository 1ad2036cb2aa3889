"""A breaker that keeps an outage of the store from costing anything."""

import random
from typing import Final

from carobmoor.store._jitter import jitter

_FAILURES_TO_OPEN: Final = 5
_FIRST_WAIT_S: Final = 0.5
_MOST_WAIT_S: Final = 10


class Breaker:
    """Counts failures in a row and lets calls through or not.

    Once open it lets one call through after a wait that doubles up to a
    bound, with jitter, so that nodes don't come back all at once.
    """

    def __init__(
        self,
        rng: random.Random,
        most_wait_s: float = _MOST_WAIT_S,
    ) -> None:
        """Start closed; no wait is longer than `most_wait_s`."""
        self._rng = rng
        self._most_wait_s = most_wait_s
        self._failures = 0
        self._wait_s = float(_FIRST_WAIT_S)
        self._open_until_s = float(0)

    @property
    def is_open(self) -> bool:
        """Whether so many calls failed in a row that most are held back."""
        return self._failures >= _FAILURES_TO_OPEN

    def may_call(self, now_s: float) -> bool:
        """Tell whether a call may be tried; claims the one trial call."""
        if self._failures < _FAILURES_TO_OPEN:
            return True
        if now_s < self._open_until_s:
            return False
        self._back_off(now_s)
        return True

    def note(self, succeeded: bool, now_s: float) -> None:
        """Learn how a call ended; any answer of the store is a success."""
        if succeeded:
            self._failures = 0
            self._wait_s = _FIRST_WAIT_S
            return
        self._failures += 1
        if self._failures == _FAILURES_TO_OPEN:
            self._back_off(now_s)

    def _back_off(self, now_s: float) -> None:
        wait_s = self._wait_s * jitter(self._rng)
        self._open_until_s = now_s + wait_s
        self._wait_s = min(2 * self._wait_s, self._most_wait_s)
