"""A token bucket that is filled by time, by deposits, or by both."""

from typing import Final

_FULL: Final = 1e-9


class TokenBucket:
    """The tokens at hand and what is owed.

    The level never falls below zero and never rises above the capacity.
    What is charged beyond the level is owed, and tokens that come in pay
    the debt first.
    """

    def __init__(self, capacity: float, per_s: float = 0) -> None:
        """Start full; `per_s` tokens come in by themselves each second."""
        self.capacity = capacity
        self.per_s = per_s
        self.level = capacity
        self.owed = float(0)
        self.filled_at_s: float | None = None


def deposit(bucket: TokenBucket, tokens: float) -> None:
    """Pay off the debt, then add to the level up to the capacity."""
    paid = min(bucket.owed, tokens)
    bucket.owed -= paid
    bucket.level = min(bucket.capacity, bucket.level + tokens - paid)


def refill(bucket: TokenBucket, now_s: float) -> None:
    """Add what has come in by time; a clock that stands still adds none."""
    if bucket.filled_at_s is not None and bucket.per_s:
        passed_s = max(0, now_s - bucket.filled_at_s)
        deposit(bucket, passed_s * bucket.per_s)
    bucket.filled_at_s = now_s


def can_take(bucket: TokenBucket, tokens: float) -> bool:
    """Tell whether so many tokens are at hand and nothing is owed."""
    return not bucket.owed and bucket.level + _FULL >= tokens


def take(bucket: TokenBucket, tokens: float) -> bool:
    """Take the tokens if all of them are at hand."""
    if not can_take(bucket, tokens):
        return False
    bucket.level = max(0, bucket.level - tokens)
    return True


def charge(bucket: TokenBucket, tokens: float) -> None:
    """Take the tokens whether they are at hand or not; the rest is owed."""
    taken = min(bucket.level, tokens)
    bucket.level -= taken
    bucket.owed += tokens - taken


def resize(bucket: TokenBucket, capacity: float, per_s: float) -> None:
    """Change the limits; the level is kept as far as it fits."""
    bucket.capacity = capacity
    bucket.per_s = per_s
    bucket.level = min(bucket.level, capacity)
