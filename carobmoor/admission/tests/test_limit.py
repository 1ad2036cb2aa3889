"""Tests that the adaptive limit follows the throughput at lower limits."""

from nose2.tools import params

from carobmoor.admission._limit import LimitState

SLOTS = 12


def learn(limit, slowness_of, finished=20_000):
    """Record slowdowns that depend on the limit; return the limits seen."""
    seen = []
    for _ in range(finished):
        limit.learn(slowness_of(limit.limit), 1, 1.5)
        seen.append(limit.limit)
    return seen


def crowded(limit):
    """Return the slowdown of a server with four cores."""
    return max(1, limit / 4)


@params((lambda _: 1.0, SLOTS), (lambda _: 3.0, SLOTS))
def test_slow_by_itself_keeps_slots(slowness_of, usual):
    """A server that a lower limit doesn't speed up keeps its slots.

    Trials of a lower limit may cost at most 5% of them on average.
    """
    seen = learn(LimitState(SLOTS), slowness_of)
    assert sum(seen) / len(seen) > 0.95 * usual


def test_crowded_server_gets_less():
    """An overloaded server gets about as many slots as it has cores."""
    seen = sorted(learn(LimitState(SLOTS), crowded)[5000:])
    assert 4 <= seen[len(seen) // 2] <= 6


def test_limit_comes_back():
    """The limit returns to all slots once the server is fast again."""
    limit = LimitState(SLOTS)
    learn(limit, crowded)
    assert limit.limit < SLOTS
    learn(limit, lambda _: 1.0)
    assert limit.limit == SLOTS


def test_least_slots_hold():
    """The limit never falls below the configured minimum."""
    limit = LimitState(SLOTS)
    for _ in range(20_000):
        limit.learn(float(limit.limit), 8, 1.5)
        assert limit.limit >= 8


def test_onset_of_a_slowdown_misleads_nobody():
    """A slowdown that starts within a window doesn't mislead the trials.

    That window shows too high a rate, against which a lower limit would
    seem to lose throughput.
    """
    limit = LimitState(SLOTS)
    learn(limit, lambda _: 1.0, 64)
    seen = learn(limit, lambda slots: max(1, slots / 4) ** 2, 3000)
    assert 4 <= seen[-1] <= 6
