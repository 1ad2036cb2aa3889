"""The budget of a service for calls that nobody asked for.

Three kinds of calls are extra: retries, hedges, and calls made on behalf of
a call that is extra itself. The last kind can't be refused here, so it is
charged. A layer of a chain thus sends no more extra calls in all than its
share, whatever the layers above it add, and layers can't multiply.
"""

from collections import defaultdict
from typing import Final

from carobmoor.retries._bucket import (
    TokenBucket,
    can_take,
    charge,
    deposit,
    resize,
    take,
)
from carobmoor.retries._policy import (
    DEFAULT_RETRY_POLICY,
    FIRST_ATTEMPT,
    RetryPolicy,
)
from carobmoor.retries._quantile import (
    LatencyQuantile,
    note_latency,
    quantile_s,
)

# The part of the reserve that hedges may spend before they earn any.
_HEDGES_OF_RESERVE: Final = 0.25


class ServiceBudget:
    """The budgets of one service, and what was spent of them."""

    def __init__(self, policy: RetryPolicy) -> None:
        """Start with the reserve of retries and of hedges."""
        self.extra = TokenBucket(policy.retry_reserve)
        self.hedges = TokenBucket(_hedge_reserve(policy))
        self.offered = 0
        self.retries = 0
        self.hedged = 0
        self.inherited = 0
        self.refused = 0
        self.latency_by_rank: defaultdict[str, LatencyQuantile] = defaultdict(
            LatencyQuantile,
        )


class RetryState:
    """The budgets of every service that this process calls."""

    def __init__(self, policy: RetryPolicy = DEFAULT_RETRY_POLICY) -> None:
        """Start without a service."""
        self.policy = policy
        self.services: dict[str, ServiceBudget] = {}

    def of(self, service: str) -> ServiceBudget:
        """Give the budget of a service, a full one at its first call."""
        budget = self.services.get(service)
        if budget is None:
            budget = ServiceBudget(self.policy)
            self.services[service] = budget
        return budget

    def replace_policy(self, policy: RetryPolicy) -> None:
        """Put other limits in force; what was spent stays spent."""
        if policy == self.policy:
            return
        self.policy = policy
        for budget in self.services.values():
            resize(budget.extra, policy.retry_reserve, 0)
            resize(budget.hedges, _hedge_reserve(policy), 0)


def call_offered(state: RetryState, service: str, attempt: int) -> None:
    """Count a call that a caller asked for, and charge an inherited one."""
    budget = state.of(service)
    budget.offered += 1
    if attempt > FIRST_ATTEMPT:
        budget.inherited += 1
        charge(budget.extra, 1)


def call_succeeded(
    state: RetryState,
    service: str,
    rank: str,
    attempt: int,
    latency_s: float,
) -> None:
    """Earn from a call that succeeded at the first attempt of its chain."""
    budget = state.of(service)
    note_latency(budget.latency_by_rank[rank], latency_s)
    if attempt == FIRST_ATTEMPT:
        deposit(budget.extra, state.policy.retry_share)
        deposit(budget.hedges, state.policy.hedge_share)


def take_retry(state: RetryState, service: str) -> bool:
    """Take one retry from the budget, if there is one."""
    budget = state.of(service)
    taken = take(budget.extra, 1)
    budget.retries += taken
    budget.refused += not taken
    return taken


def take_hedge(state: RetryState, service: str) -> bool:
    """Take one hedge; half of the reserve is kept for retries."""
    budget = state.of(service)
    spare = state.policy.retry_reserve / 2 + 1
    if not can_take(budget.extra, spare) or not take(budget.hedges, 1):
        return False
    budget.hedged += 1
    return take(budget.extra, 1)


def hedge_delay_s(state: RetryState, service: str, rank: str) -> float | None:
    """Give the time after which a call of a rank may be hedged."""
    known = state.of(service).latency_by_rank[rank]
    return quantile_s(known, state.policy.hedge_quantile)


def _hedge_reserve(policy: RetryPolicy) -> float:
    return max(1, policy.retry_reserve * _HEDGES_OF_RESERVE)
