"""Limits of retries and hedges."""

from typing import Final, NamedTuple


class RetryPolicy(NamedTuple):
    """Limits of the calls that are sent beyond those that callers requested.

    Retries, hedges and calls made within a retry or hedge further up the
    chain all draw on one budget per service.
    """

    # Retries earned by each call that succeeded at the first attempt.
    retry_share: float = 0.1
    # Retries available before any call succeeded, and the upper bound.
    retry_reserve: float = 20
    # Attempts beyond the first, over a whole chain of calls.
    most_retries: int = 2
    # Hedges earned by each call that succeeded at the first attempt.
    hedge_share: float = 0.05
    # A call may be hedged once it takes longer than this quantile of the
    # latencies of its rank.
    hedge_quantile: float = 0.95


DEFAULT_RETRY_POLICY: Final = RetryPolicy()
FIRST_ATTEMPT: Final = 1
