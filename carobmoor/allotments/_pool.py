"""The starts that a keeper may grant: its part of a team's allotment.

A pool is a token bucket. Its share is that of the nodes which the keeper hears
from among all nodes of the deployment, so that the shares of keepers that do
not know of each other, in parts of the network that are cut off, add up to 1
at most.
"""

import math
from typing import Final

from carobmoor.allotments._messages import TeamLimit

# Part of the slack that pools may hold besides the burst, and part of that with
# which a pool starts. Teams of few requests live on it.
_HELD_SLACK: Final = 0.5
_STARTING_PART: Final = 0.5
# Part of the tolerance that nodes may hold as standby starts. The rest covers
# two keepers at once while nodes disagree.
_STANDBY_TOLERANCE: Final = 0.15
# Accrual over a longer time would pay out what another keeper granted while
# this process was frozen.
_MAX_ACCRUAL_S: Final = 1
# Starts lent by another region are dropped after this time if they exceed the
# capacity.
_LOAN_S: Final = 0.5
_DEMAND_DECAY_S: Final = 1
# A keeper holds back this much of its own demand from other regions.
_RESERVED_S: Final = 0.5
# Interval of asks to other regions; it doubles while they have nothing to lend.
_MIN_BORROW_INTERVAL_S: Final = 0.1
_MAX_BORROW_INTERVAL_S: Final = 0.8
# A caller that returns sooner would only cost another message.
_MIN_WAIT_S: Final = 0.02
# Below this demand only one start is held back.
_MIN_DEMAND_PER_S: Final = 0.05


class Pool:
    """A keeper's part of the allotment of one team."""

    def __init__(self, limit: TeamLimit, share: float, now_s: float) -> None:
        """Start without the burst, which another keeper may have granted."""
        self.limit = limit
        self.share = share
        self.content = limit.slack * _HELD_SLACK * _STARTING_PART * share
        self.updated_s = now_s
        self.loaned_until_s = float(0)
        # Decaying counts of the starts asked for and of those not granted.
        self.demand_per_s = float(0)
        self.denied = float(0)
        # By node: until when it may hold a standby start.
        self.standby: dict[str, float] = {}
        # When other regions may be asked again, and the time between asks.
        self.borrow_at_s = now_s
        self.borrow_interval_s = _MIN_BORROW_INTERVAL_S

    @property
    def capacity(self) -> float:
        """Starts that may be saved up."""
        held = self.limit.burst + self.limit.slack * _HELD_SLACK
        return held * self.share

    @property
    def accrual_per_s(self) -> float:
        """Starts that become available per second."""
        return self.limit.rate_per_s * self.share

    @property
    def max_standby(self) -> int:
        """How many nodes may hold a standby start at the same time."""
        return round(self.limit.tolerance * _STANDBY_TOLERANCE * self.share)

    @property
    def reserve(self) -> float:
        """Starts that the own region is likely to need soon."""
        if self.demand_per_s < _MIN_DEMAND_PER_S:
            return 1
        return min(self.capacity, 2 + self.demand_per_s * _RESERVED_S)


def accrue(pool: Pool, now_s: float) -> None:
    """Add what has become available, and let the counts decay."""
    elapsed_s = max(0, now_s - pool.updated_s)
    pool.updated_s = now_s
    accrued = pool.accrual_per_s * min(elapsed_s, _MAX_ACCRUAL_S)
    if pool.content < pool.capacity:
        pool.content = min(pool.capacity, pool.content + accrued)
    elif now_s >= pool.loaned_until_s:
        pool.content = pool.capacity
    decay = math.exp(-elapsed_s / _DEMAND_DECAY_S)
    pool.demand_per_s *= decay
    pool.denied *= decay


def grant_starts(pool: Pool, wanted: int) -> int:
    """Take up to so many starts out of the pool; return how many."""
    pool.demand_per_s += wanted / _DEMAND_DECAY_S
    granted = max(0, min(wanted, math.floor(pool.content)))
    pool.content -= granted
    pool.denied += wanted - granted
    return granted


def settle(pool: Pool, spent: int, returned: int) -> None:
    """Charge standby starts, and take back starts that were not used.

    Charged starts may bring the content below zero, by as many as may be held.
    """
    pool.demand_per_s += spent / _DEMAND_DECAY_S
    charged = max(pool.content - spent, -float(pool.max_standby))
    pool.content = max(charged, min(pool.capacity, charged + returned))


def lend(pool: Pool, wanted: int) -> int:
    """Take up to so many starts that the own region does not need."""
    lent = max(0, min(wanted, math.floor(pool.content - pool.reserve)))
    pool.content -= lent
    return lent


def borrow(pool: Pool, lent: int, now_s: float) -> None:
    """Add what another region has lent."""
    pool.content += lent
    pool.loaned_until_s = now_s + _LOAN_S
    if lent:
        pool.borrow_interval_s = _MIN_BORROW_INTERVAL_S


def starts_to_borrow(pool: Pool, now_s: float) -> int:
    """Return how many starts to ask other regions for now."""
    if pool.demand_per_s < _MIN_DEMAND_PER_S or now_s < pool.borrow_at_s:
        return 0
    if pool.content >= pool.reserve - 1:
        return 0
    pool.borrow_at_s = now_s + pool.borrow_interval_s
    pool.borrow_interval_s = min(
        _MAX_BORROW_INTERVAL_S, 2 * pool.borrow_interval_s
    )
    return math.ceil(pool.reserve - pool.content)


def wait_until_free_s(pool: Pool) -> float:
    """Return the time until one more start would fit.

    Those denied before are counted, so that callers return one by one. While
    other regions lend, the next loan is waited for.
    """
    missing = max(0, 1 - pool.content) + pool.denied
    wait_s = max(_MIN_WAIT_S, missing / pool.limit.rate_per_s)
    if pool.borrow_interval_s <= 2 * _MIN_BORROW_INTERVAL_S:
        return min(wait_s, _MIN_BORROW_INTERVAL_S)
    return wait_s
