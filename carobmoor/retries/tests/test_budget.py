"""Tests of the budgets for retries and hedges."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from carobmoor.retries import (
    RetryPolicy,
    RetryState,
    TokenBucket,
    charge,
    deposit,
    hedge_delay_s,
    record_call,
    record_success,
    refill,
    take,
    take_hedge,
    take_retry,
)

SERVICE = 'bookings'
STEPS = st.sampled_from(('deposit', 'take', 'charge', 'refill'))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(STEPS, st.floats(0, 50)), max_size=60))
def test_bucket_stays_within_bounds(steps):
    """Level and debt are never negative, nor the level above the capacity.

    No more tokens are taken than there were at the start and came in.
    """
    bucket = TokenBucket(10, per_s=2)
    now_s = 0
    taken = float(0)
    deposited = float(0)
    for step, amount in steps:
        if step == 'deposit':
            deposit(bucket, amount)
            deposited += amount
        elif step == 'charge':
            charge(bucket, amount)
            taken += amount
        elif step == 'refill':
            now_s += amount
            refill(bucket, now_s)
        elif take(bucket, amount):
            taken += amount
        assert 0 <= bucket.level <= 10
        assert bucket.debt >= 0
        assert taken - bucket.debt <= 10 + deposited + 2 * now_s + 0.001


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.sampled_from(('success', 'inherited', 'retry', 'hedge')),
        max_size=300,
    ),
    st.sampled_from((0, 0.05, 0.1)),
    st.sampled_from((0, 1, 20)),
)
def test_extra_calls_stay_within_earned_share(events, share, reserve):
    """Retries and hedges stay within the reserve plus the earned share."""
    policy = RetryPolicy(retry_share=share, retry_reserve=reserve)
    state = RetryState(policy)
    budget = state.budget_of(SERVICE)
    successes = 0
    for event in events:
        if event == 'success':
            record_call(state, SERVICE, 1)
            record_success(state, SERVICE, '', 1, 0.01)
            successes += 1
        elif event == 'inherited':
            record_call(state, SERVICE, 2)
        elif event == 'retry':
            take_retry(state, SERVICE)
        else:
            take_hedge(state, SERVICE)
        allowed = reserve + share * successes + 0.001
        own = budget.retries + budget.hedges_sent
        assert own <= allowed


def test_inherited_attempts_use_up_retry_budget():
    """Calls inherited from retries above use up the budget of this layer.

    Otherwise the retries of the layers would multiply.
    """
    state = RetryState(RetryPolicy(retry_reserve=5))
    for _ in range(5):
        record_call(state, SERVICE, 2)
    assert not take_retry(state, SERVICE)
    record_call(state, SERVICE, 2)
    for _ in range(15):
        record_success(state, SERVICE, '', 1, 0.01)
    # 1.5 retries were earned, 1 of them paid off the debt.
    assert not take_retry(state, SERVICE)


def test_success_of_a_retry_earns_nothing():
    """Only calls at the first attempt of their chain earn retries."""
    state = RetryState(RetryPolicy(retry_reserve=1))
    assert take_retry(state, SERVICE)
    for _ in range(100):
        record_success(state, SERVICE, '', 2, 0.01)
    assert not take_retry(state, SERVICE)


@params((0.5, 0.05), (0.9, 0.09), (0.99, 0.099))
def test_hedge_delay_is_a_quantile_of_the_rank(quantile, expected_s):
    """The delay is accurate to a bucket, and known after enough calls."""
    state = RetryState(RetryPolicy(hedge_quantile=quantile))
    assert hedge_delay_s(state, SERVICE, 'urgent') is None
    for index in range(1000):
        record_success(state, SERVICE, 'urgent', 1, (index % 100) / 1000)
        record_success(state, SERVICE, 'upload', 1, 5)
    delay_s = hedge_delay_s(state, SERVICE, 'urgent')
    assert expected_s <= delay_s <= expected_s * 1.2


def test_hedges_leave_half_of_reserve_for_retries():
    """Hedges can't use up the half of the reserve kept for retries."""
    state = RetryState(RetryPolicy(retry_reserve=20, hedge_share=1))
    while take_hedge(state, SERVICE):
        record_success(state, SERVICE, '', 2, 0.01)
    assert state.budget_of(SERVICE).extra_calls.level >= 10
