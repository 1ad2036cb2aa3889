"""The rate limit that a backend server names in its answers, and its use.

The node beside the server is the only one that sends requests to it, so a
token bucket there keeps the rate of all nodes together.
"""

import math
from typing import Final

# Requests that may start at once after a quiet time, as time at the limit.
_BURST_S: Final = 0.5
_MIN_BURST: Final = 1.0
# A server that names a lower rate gets this one: its answers alone tell when
# the limit ends.
_MIN_RATE_PER_S: Final = 0.25
# Starts before the first answer. A node that restarts does not know the limit
# that its server has named before.
_MAX_UNANSWERED_STARTS: Final = 4


def read_rate_limit(content: str) -> float | None:
    """Parse a rate limit in requests per second; `None` if it is malformed."""
    try:
        per_s = float(content)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


class RateLimit:
    """The named limit and the starts that it allows, as a token bucket.

    A limit holds until an answer to a later request names none; `None` stands
    for an answer without one. The bucket is
    empty when a limit is first named, since the server is in need.
    """

    def __init__(self) -> None:
        """Start without an answer, and so without a known limit."""
        # The named limit; zero if none is named.
        self.per_s = float(0)
        self._has_answer = False
        self._unanswered_starts = 0
        # When the last answer that changed the limit was received.
        self._changed_at_s = -math.inf
        self._tokens = float(0)
        self._accrued_at_s = float(0)

    def record_answer(
        self, named_per_s: float | None, sent_at_s: float, now_s: float
    ) -> bool:
        """Record the limit that an answer names; return whether it changed.

        An answer to a request that was sent before the last change may be
        older than it, so it can only lower the limit.
        """
        self._has_answer = True
        per_s = 0 if named_per_s is None else max(named_per_s, _MIN_RATE_PER_S)
        is_lower = bool(per_s) and (not self.per_s or per_s < self.per_s)
        is_later = sent_at_s >= self._changed_at_s
        if per_s == self.per_s or not (is_lower or is_later):
            return False
        if self.per_s:
            self._accrue(now_s)
        else:
            self._tokens = 0
        self._accrued_at_s = now_s
        self._changed_at_s = now_s
        self.per_s = per_s
        return True

    def _accrue(self, now_s: float) -> None:
        passed_s = max(0, now_s - self._accrued_at_s)
        burst = max(_MIN_BURST, self.per_s * _BURST_S)
        self._tokens = min(burst, self._tokens + passed_s * self.per_s)
        self._accrued_at_s = now_s
