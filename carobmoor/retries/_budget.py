"""The budget of a service for extra calls.

Three kinds of calls are extra: retries, hedges, and inherited calls, which
are made on behalf of a call that is itself extra. An inherited call can't be
refused here, so it is charged. Thus a layer of a call chain adds no more
extra calls than its share, whatever the layers above it send, and the extra
calls of the layers don't multiply.
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
    quantile_s,
    record_latency,
)

# Part of the reserve that hedges may use before any are earned.
_HEDGE_RESERVE_FRACTION: Final = 0.25


class ServiceBudget:
    """The budgets of one service, and counts of its calls."""

    def __init__(self, policy: RetryPolicy) -> None:
        """Start with the full reserves of retries and hedges."""
        self.extra_calls = TokenBucket(policy.retry_reserve)
        self.hedges = TokenBucket(_hedge_reserve(policy))
        self.calls_offered = 0
        self.retries = 0
        self.hedges_sent = 0
        self.inherited_calls = 0
        self.retries_refused = 0
        self.latency_by_rank: defaultdict[str, LatencyQuantile] = defaultdict(
            LatencyQuantile,
        )


class RetryState:
    """The budgets of all services that this process calls."""

    def __init__(self, policy: RetryPolicy = DEFAULT_RETRY_POLICY) -> None:
        """Start without any service."""
        self.policy = policy
        self.services: dict[str, ServiceBudget] = {}

    def budget_of(self, service: str) -> ServiceBudget:
        """Return the budget of a service; a new one is full."""
        budget = self.services.get(service)
        if budget is None:
            budget = ServiceBudget(self.policy)
            self.services[service] = budget
        return budget

    def replace_policy(self, policy: RetryPolicy) -> None:
        """Apply a new policy; spent retries and hedges are not refunded."""
        if policy == self.policy:
            return
        self.policy = policy
        for budget in self.services.values():
            resize(budget.extra_calls, policy.retry_reserve, 0)
            resize(budget.hedges, _hedge_reserve(policy), 0)


def record_call(state: RetryState, service: str, attempt: int) -> None:
    """Count a call that a caller requested; charge it if inherited."""
    budget = state.budget_of(service)
    budget.calls_offered += 1
    if attempt > FIRST_ATTEMPT:
        budget.inherited_calls += 1
        charge(budget.extra_calls, 1)


def record_success(
    state: RetryState,
    service: str,
    rank: str,
    attempt: int,
    latency_s: float,
) -> None:
    """Record the latency of a successful call.

    A call at the first attempt of its chain earns shares of a retry and of a
    hedge.
    """
    budget = state.budget_of(service)
    record_latency(budget.latency_by_rank[rank], latency_s)
    if attempt == FIRST_ATTEMPT:
        deposit(budget.extra_calls, state.policy.retry_share)
        deposit(budget.hedges, state.policy.hedge_share)


def take_retry(state: RetryState, service: str) -> bool:
    """Take one retry from the budget; return whether there was one."""
    budget = state.budget_of(service)
    taken = take(budget.extra_calls, 1)
    budget.retries += taken
    budget.retries_refused += not taken
    return taken


def take_hedge(state: RetryState, service: str) -> bool:
    """Take one hedge; return whether there was one.

    Half of the reserve is kept for retries.
    """
    budget = state.budget_of(service)
    min_level = state.policy.retry_reserve / 2 + 1
    if not can_take(budget.extra_calls, min_level) or not take(
        budget.hedges, 1
    ):
        return False
    budget.hedges_sent += 1
    return take(budget.extra_calls, 1)


def hedge_delay_s(state: RetryState, service: str, rank: str) -> float | None:
    """Return the time after which a call of a rank may be hedged.

    `None` while too few latencies are known.
    """
    latencies = state.budget_of(service).latency_by_rank[rank]
    return quantile_s(latencies, state.policy.hedge_quantile)


def _hedge_reserve(policy: RetryPolicy) -> float:
    return max(1, policy.retry_reserve * _HEDGE_RESERVE_FRACTION)
