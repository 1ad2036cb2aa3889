"""The limits of retries and hedges."""

from typing import Final, NamedTuple


class RetryPolicy(NamedTuple):
    """How many calls may be sent beyond those that callers asked for.

    Retries, hedges and calls that are part of a retry further up all draw
    on one budget per service.
    """

    # Retries earned by each call that succeeded at its first attempt.
    retry_share: float = 0.1
    # Retries at hand before any call succeeded, and the most kept.
    retry_reserve: float = 20
    # Attempts beyond the first, over a whole chain of calls.
    most_retries: int = 2
    # Hedges earned by each call that succeeded at its first attempt.
    hedge_share: float = 0.05
    # A hedge is sent once a call takes longer than this share of its peers.
    hedge_quantile: float = 0.95


DEFAULT_RETRY_POLICY: Final = RetryPolicy()
FIRST_ATTEMPT: Final = 1
