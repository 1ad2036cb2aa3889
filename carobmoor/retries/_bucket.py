"""A token bucket that is refilled by time, by deposits, or by both."""

from typing import Final

_ROUNDING_ERROR: Final = 1e-9


class TokenBucket:
    """The available tokens and the debt.

    The level stays between 0 and the capacity. A charge beyond the level
    becomes debt, which new tokens pay off first.
    """

    def __init__(self, capacity: float, per_s: float = 0) -> None:
        """Start full; `refill` adds `per_s` tokens a second."""
        self.capacity = capacity
        self.per_s = per_s
        self.level = capacity
        self.debt = float(0)
        self.filled_at_s: float | None = None


def deposit(bucket: TokenBucket, tokens: float) -> None:
    """Pay off the debt, then raise the level up to the capacity."""
    paid = min(bucket.debt, tokens)
    bucket.debt -= paid
    bucket.level = min(bucket.capacity, bucket.level + tokens - paid)


def refill(bucket: TokenBucket, now_s: float) -> None:
    """Add the tokens for the time since the last refill.

    A clock that stands still or goes back adds none.
    """
    if bucket.filled_at_s is not None and bucket.per_s:
        elapsed_s = max(0, now_s - bucket.filled_at_s)
        deposit(bucket, elapsed_s * bucket.per_s)
    bucket.filled_at_s = now_s


def can_take(bucket: TokenBucket, tokens: float) -> bool:
    """Return whether the tokens are available and there is no debt."""
    return not bucket.debt and bucket.level + _ROUNDING_ERROR >= tokens


def take(bucket: TokenBucket, tokens: float) -> bool:
    """Take the tokens if all are available; return whether it did."""
    if not can_take(bucket, tokens):
        return False
    bucket.level = max(0, bucket.level - tokens)
    return True


def charge(bucket: TokenBucket, tokens: float) -> None:
    """Take the tokens unconditionally; what is missing becomes debt."""
    taken = min(bucket.level, tokens)
    bucket.level -= taken
    bucket.debt += tokens - taken


def resize(bucket: TokenBucket, capacity: float, per_s: float) -> None:
    """Change the capacity and rate; the level is cut to the capacity."""
    bucket.capacity = capacity
    bucket.per_s = per_s
    bucket.level = min(bucket.level, capacity)
