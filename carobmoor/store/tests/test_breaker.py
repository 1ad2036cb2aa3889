"""Tests of the circuit breaker, with simulated time."""

import random

from carobmoor.store._breaker import Breaker


def count_allowed_calls(breaker, seconds, succeeded):
    """Count the allowed calls if one is attempted every 0.1 s."""
    allowed = 0
    for step in range(seconds * 10):
        if breaker.try_acquire(step / 10):
            allowed += 1
            breaker.record_outcome(succeeded, step / 10)
    return allowed


def test_few_calls_are_allowed_in_outage():
    """A store that is down gets a small share of the attempted calls."""
    assert (
        count_allowed_calls(Breaker(random.Random(0)), 600, succeeded=False)
        < 100
    )


def test_all_calls_are_allowed_while_they_succeed():
    """Every call is allowed while calls succeed."""
    assert (
        count_allowed_calls(Breaker(random.Random(0)), 10, succeeded=True)
        == 100
    )


def test_successful_trial_closes_breaker():
    """After an outage one trial is allowed; its success closes the breaker."""
    breaker = Breaker(random.Random(0))
    count_allowed_calls(breaker, 60, succeeded=False)
    assert breaker.try_acquire(1000)
    assert not breaker.try_acquire(1000)
    breaker.record_outcome(True, 1000)
    assert breaker.try_acquire(1000)
    assert breaker.try_acquire(1000)
