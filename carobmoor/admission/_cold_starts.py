"""Limits what a cold backend server starts, as a token bucket of starts.

A server may become cold at any moment without announcing it. So starts are
always counted, and a report that the server is warm refills the bucket: no
start before that report can have reached a cold server.
"""

import math
from collections import deque
from typing import Final, NamedTuple

# The rest of the allowed starts covers requests that are sent in different
# seconds and arrive in the same one.
_USED_SHARE: Final = 0.85
# Share of the fixed allowance that may start at once.
_BURST_SHARE: Final = 0.75
_MIN_BURST: Final = 1.0
# Share of the used starts that the refill gets at least.
_MIN_REFILL_SHARE: Final = 0.25
# A longer time without any call is a pause of the process; what was sent
# before it may arrive after it.
_MAX_ACCRUAL_S: Final = 0.25
# How long after a report a server is still assumed to be warm.
_WARM_FOR_S: Final = 0.5
_MS_PER_S: Final = 1000


class ColdLimit(NamedTuple):
    """The requests that a cold server may get in any one second."""

    # What it tolerates; 0 if it is not limited.
    per_s: float = 0
    # How far the limit may be exceeded.
    ratio: float = 1
    slack: float = 0


class ColdStarts:
    """The starts that a backend server may get while it may be cold.

    A start is reserved with its slot, and counted when it is sent.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit = ColdLimit()
        self._burst = float(0)
        self._per_s = float(0)
        self._run = ''
        # Empty at first: the server may have got starts from an earlier
        # process of this node.
        self._tokens = float(0)
        self._accrued_at_s = float(0)
        # Numbers of the requests that hold a slot and are not sent yet.
        self._reserved: set[int] = set()
        # When requests were sent, from the last report that it is warm on.
        self._sent_at_s: deque[float] = deque()
        # Ends of the cold time by the last report of each kind.
        self._cold_by_health_s = -math.inf
        self._cold_by_announcement_s = -math.inf
        self._warm_at_s = -math.inf
        # When the last recorded health check was sent.
        self._checked_at_s = -math.inf

    @property
    def has_limit(self) -> bool:
        """Whether cold servers of the service are limited."""
        return self._limit.per_s > 0

    def apply_limit(self, limit: ColdLimit, now_s: float) -> None:
        """Set the limit of the service; what was counted stays."""
        if limit == self._limit:
            return
        self._accrue(now_s)
        self._limit = limit
        used = _USED_SHARE * (limit.per_s * limit.ratio + limit.slack)
        self._burst = max(_MIN_BURST, min(_BURST_SHARE * limit.slack, used / 2))
        self._per_s = max(used - self._burst, used * _MIN_REFILL_SHARE)
        self._tokens = min(self._tokens, self._burst)

    def follow_server(self, run: str, now_s: float) -> None:
        """Assume that another run of the server is cold.

        Starts that were sent to the run before may have reached this one.
        """
        if run != self._run:
            self._run = run
            self._warm_at_s = -math.inf
            self._cold_by_health_s = -math.inf
            self._cold_by_announcement_s = -math.inf
            self._accrue(now_s)

    def record_announcement(self, remaining_ms: float, now_s: float) -> None:
        """Record how much longer the server is cold by its announcement."""
        self._cold_by_announcement_s = now_s + remaining_ms / _MS_PER_S

    def record_health(
        self, remaining_ms: float, sent_at_s: float, now_s: float
    ) -> None:
        """Record how much longer the server is cold by a health check.

        `sent_at_s` is when the check was sent. One that was sent before the
        last recorded one is ignored.
        """
        if sent_at_s < self._checked_at_s:
            return
        self._checked_at_s = sent_at_s
        self._cold_by_health_s = now_s + remaining_ms / _MS_PER_S
        if remaining_ms > 0 or self.is_cold(now_s):
            return
        self._warm_at_s = sent_at_s
        while self._sent_at_s and self._sent_at_s[0] < sent_at_s:
            self._sent_at_s.popleft()
        self._accrue(now_s)
        self._tokens = max(self._tokens, self._burst - len(self._sent_at_s))

    def is_cold(self, now_s: float) -> bool:
        """Return whether a report says that the server is cold."""
        return now_s < max(self._cold_by_health_s, self._cold_by_announcement_s)

    def is_limited(self, now_s: float) -> bool:
        """Return whether the server is cold, or not known to be warm."""
        if not self.has_limit:
            return False
        return self.is_cold(now_s) or now_s - self._warm_at_s > _WARM_FOR_S

    def may_start(self, now_s: float) -> bool:
        """Return whether a request may start now."""
        if not self.has_limit:
            return True
        self._accrue(now_s)
        return self._tokens - len(self._reserved) >= 1

    def reserve(self, number: int) -> None:
        """Reserve a start for a request that got a slot."""
        self._reserved.add(number)

    def record_sent(self, number: int, now_s: float) -> None:
        """Count a start, right before its request is sent."""
        self._reserved.discard(number)
        if self.has_limit:
            self._accrue(now_s)
            self._tokens -= 1
            self._sent_at_s.append(now_s)

    def cancel(self, number: int) -> None:
        """Return a start that was not sent; a no-op for one that was."""
        self._reserved.discard(number)

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request waits that has so many ahead of it.

        Zero for a server that is known to be warm.
        """
        if not self.is_limited(now_s):
            return 0
        self._accrue(now_s)
        available = self._tokens - len(self._reserved)
        return max(0, ahead + 1 - available) / self._per_s

    def interval_s(self, now_s: float) -> float:
        """Return the time between two starts; 0 if it is not limited."""
        return 1 / self._per_s if self.is_limited(now_s) else 0

    def _accrue(self, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        passed_s = min(max(0, now_s - self._accrued_at_s), _MAX_ACCRUAL_S)
        self._accrued_at_s = max(now_s, self._accrued_at_s)
        self._tokens = min(self._burst, self._tokens + passed_s * self._per_s)
        while self._sent_at_s and self._sent_at_s[0] < now_s - 1:
            self._sent_at_s.popleft()
