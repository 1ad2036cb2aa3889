"""A circuit breaker that keeps calls off a store that is down."""

import random
from typing import Final

from carobmoor.store._jitter import jitter_factor

_FAILURES_TO_OPEN: Final = 5
_INITIAL_WAIT_S: Final = 0.5
_MAX_WAIT_S: Final = 10


class Breaker:
    """Opens after several failed calls in a row.

    While it is open, a single trial call is allowed after each wait. The wait
    doubles up to a maximum, with jitter so that nodes don't come back all at
    once. A call that succeeds closes it.
    """

    def __init__(
        self,
        rng: random.Random,
        max_wait_s: float = _MAX_WAIT_S,
    ) -> None:
        """Start closed; waits grow to `max_wait_s` at most, before jitter."""
        self._rng = rng
        self._max_wait_s = max_wait_s
        self._failures = 0
        self._wait_s = float(_INITIAL_WAIT_S)
        self._open_until_s = float(0)

    @property
    def is_open(self) -> bool:
        """Whether the breaker is open, so that only trial calls are allowed."""
        return self._failures >= _FAILURES_TO_OPEN

    def try_acquire(self, now_s: float) -> bool:
        """Return whether a call may be made; claims the trial while open."""
        if self._failures < _FAILURES_TO_OPEN:
            return True
        if now_s < self._open_until_s:
            return False
        self._back_off(now_s)
        return True

    def record_outcome(self, succeeded: bool, now_s: float) -> None:
        """Record how a call ended; a write refused by its etag is a success."""
        if succeeded:
            self._failures = 0
            self._wait_s = _INITIAL_WAIT_S
            return
        self._failures += 1
        if self._failures == _FAILURES_TO_OPEN:
            self._back_off(now_s)

    def _back_off(self, now_s: float) -> None:
        wait_s = self._wait_s * jitter_factor(self._rng)
        self._open_until_s = now_s + wait_s
        self._wait_s = min(2 * self._wait_s, self._max_wait_s)
