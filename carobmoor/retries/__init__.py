"""Budgets for retries and hedges, and the latency after which to hedge.

Plain functions of `RetryState`; times are passed in.
"""

from carobmoor.retries._bucket import (
    TokenBucket,
    can_take,
    charge,
    deposit,
    refill,
    resize,
    take,
)
from carobmoor.retries._budget import (
    RetryState,
    ServiceBudget,
    hedge_delay_s,
    record_call,
    record_success,
    take_hedge,
    take_retry,
)
from carobmoor.retries._hedge_limit import HedgeLimit
from carobmoor.retries._policy import (
    DEFAULT_RETRY_POLICY,
    FIRST_ATTEMPT,
    RetryPolicy,
)

__all__ = [
    'DEFAULT_RETRY_POLICY',
    'FIRST_ATTEMPT',
    'HedgeLimit',
    'RetryPolicy',
    'RetryState',
    'ServiceBudget',
    'TokenBucket',
    'can_take',
    'charge',
    'deposit',
    'hedge_delay_s',
    'record_call',
    'record_success',
    'refill',
    'resize',
    'take',
    'take_hedge',
    'take_retry',
]
