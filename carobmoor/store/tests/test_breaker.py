"""Tests of the circuit breaker, with simulated time."""

import random

from carobmoor.store._breaker import Breaker


def calls_in(breaker, seconds, succeeded):
    """Count the allowed calls if one is attempted every 0.1 s."""
    made = 0
    for step in range(seconds * 10):
        if breaker.may_call(step / 10):
            made += 1
            breaker.note(succeeded, step / 10)
    return made


def test_outage_costs_few_calls():
    """A store that is down gets a small share of the attempted calls."""
    assert calls_in(Breaker(random.Random(0)), 600, succeeded=False) < 100


def test_healthy_store_is_never_held_back():
    """Every call is allowed while calls succeed."""
    assert calls_in(Breaker(random.Random(0)), 10, succeeded=True) == 100


def test_one_success_closes():
    """After an outage one trial is allowed; its success closes the breaker."""
    breaker = Breaker(random.Random(0))
    calls_in(breaker, 60, succeeded=False)
    assert breaker.may_call(1000)
    assert not breaker.may_call(1000)
    breaker.note(True, 1000)
    assert breaker.may_call(1000)
    assert breaker.may_call(1000)
