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
# Starts at a server before its first answer, besides those at the lowest rate.
_UNANSWERED_STARTS: Final = 4


def read_rate_limit(content: str) -> float | None:
    """Parse a rate limit in requests per second; `None` if it is malformed."""
    try:
        per_s = float(content)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


class RateLimit:
    """The named limit and the starts that it allows, as a token bucket.

    A limit holds until an answer to a later request names none, or until
    another server takes the place. The bucket is empty when a limit is first
    named, since the server is in need.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        # The named limit; zero if none is named.
        self.per_s = float(0)
        self._server = ''
        # Whether it is known if the server names a limit.
        self.is_known = True
        # When the last answer that changed the limit was received.
        self._changed_at_s = -math.inf
        self._tokens = float(0)
        self._accrued_at_s = float(0)

    def expect_first_answer(self, now_s: float) -> None:
        """Allow only a few starts until an answer tells if there is a limit.

        For a node that has just started, or whose server has: the server may
        be in need. Answers to earlier requests may be those of another server.
        """
        self.per_s = 0
        self.is_known = False
        self._changed_at_s = now_s
        self._tokens = float(_UNANSWERED_STARTS)
        self._accrued_at_s = now_s

    def record_answer(
        self, named_per_s: float | None, sent_at_s: float, now_s: float
    ) -> bool:
        """Record the limit that an answer names; return whether it changed.

        `None` stands for an answer without a limit. An answer to a request
        that was sent before the last change may be older than it, so it can
        only lower the limit.
        """
        per_s = 0 if named_per_s is None else max(named_per_s, _MIN_RATE_PER_S)
        is_lower = bool(per_s) and (not self.per_s or per_s < self.per_s)
        is_later = sent_at_s >= self._changed_at_s
        if not (is_lower or is_later):
            return False
        if not self.is_known:
            self.is_known = True
            self._tokens = 0
        if per_s == self.per_s:
            return False
        self._accrue(now_s)
        self._changed_at_s = now_s
        self.per_s = per_s
        return True

    def follow_server(self, server: str, now_s: float) -> None:
        """Forget the limit if another server, or another run, took the place.

        `server` identifies the run of the server. What was learned before a
        server was identified is forgotten too.
        """
        if server != self._server:
            self._server = server
            self.expect_first_answer(now_s)

    def may_start(self, now_s: float) -> bool:
        """Return whether a request may start now."""
        self._accrue(now_s)
        return self._is_free or self._tokens >= 1

    def take_start(self, now_s: float) -> bool:
        """Count a start; return whether it was one of a limited number."""
        self._accrue(now_s)
        if self._is_free:
            return False
        self._tokens -= 1
        return True

    def return_start(self) -> None:
        """Return a start that was counted and then not used."""
        if not self._is_free:
            self._tokens += 1

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request waits that has so many ahead of it.

        Zero if the limit allows its start at once.
        """
        if not self.per_s:
            return 0
        self._accrue(now_s)
        return max(0, ahead + 1 - self._tokens) / self.per_s

    @property
    def _is_free(self) -> bool:
        """Whether any number of requests may start."""
        return self.is_known and not self.per_s

    def _accrue(self, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        passed_s = max(0, now_s - self._accrued_at_s)
        self._accrued_at_s = max(now_s, self._accrued_at_s)
        if self._is_free:
            # Nothing is saved up before a limit is named.
            self._tokens = 0
            return
        if self.is_known:
            burst = max(_MIN_BURST, self.per_s * _BURST_S)
        else:
            burst = _UNANSWERED_STARTS
        per_s = self.per_s or _MIN_RATE_PER_S
        self._tokens = min(burst, self._tokens + passed_s * per_s)
