"""The operators' limit on hedges, and the delay that keeps within it."""

from collections import defaultdict
from typing import Final

from carobmoor.retries._bucket import TokenBucket, can_take, deposit, take
from carobmoor.retries._quantile import (
    LatencyQuantile,
    quantile_s,
    record_latency,
)

# Hedges that a service may send in a row after a calm time.
_MAX_SAVED_HEDGES: Final = 4


class HedgeLimit:
    """Hedges as a share of a service's requests.

    A request is hedged once it takes longer than all but that share of the
    requests of its route, so that in calm the limit is just used up. When more
    requests than that are slow, the limit decides. A share of 0 forbids hedges;
    `None` sets no limit of its own, and leaves the delay to the caller.
    """

    def __init__(self, share: float | None = None) -> None:
        """Start with no hedge earned."""
        self.share = share
        self._earned: defaultdict[str, TokenBucket] = defaultdict(_empty_bucket)
        self._latencies: defaultdict[str, LatencyQuantile] = defaultdict(
            LatencyQuantile
        )

    def record_request(self, service: str) -> None:
        """Earn the share of one hedge, for a request to a service."""
        if self.share:
            deposit(self._earned[service], self.share)

    def record_latency(self, route: str, latency_s: float) -> None:
        """Record how long a request of a route took to its answer."""
        if self.share:
            record_latency(self._latencies[route], latency_s)

    def delay_s(self, route: str, default_s: float) -> float | None:
        """Return after which time to hedge; `None` if hedges are forbidden.

        `default_s` is used without a limit, and until enough is known.
        """
        if self.share is None:
            return default_s
        if not self.share:
            return None
        known_s = quantile_s(self._latencies[route], 1 - self.share)
        return default_s if known_s is None else known_s

    def allows(self, service: str) -> bool:
        """Return whether a hedge may be sent to a service now."""
        if self.share is None:
            return True
        return can_take(self._earned[service], 1)

    def take(self, service: str) -> None:
        """Count a hedge that is sent."""
        if self.share is not None:
            take(self._earned[service], 1)


def _empty_bucket() -> TokenBucket:
    bucket = TokenBucket(_MAX_SAVED_HEDGES)
    bucket.level = 0
    return bucket
