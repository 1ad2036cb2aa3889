"""The adaptive limit follows what less in flight does to the rate."""

from nose2.tools import params

from carobmoor.admission._limit import LimitState

SLOTS = 12


def learn(limit, slowness_of, finished=20_000):
    """Feed service times that depend on the limit; give the limits seen."""
    seen = []
    for _ in range(finished):
        limit.learn(slowness_of(limit.limit), 1, 1.5)
        seen.append(limit.limit)
    return seen


def crowded(limit):
    """Four cores serve all that runs."""
    return max(1, limit / 4)


@params((lambda _: 1.0, SLOTS), (lambda _: 3.0, SLOTS))
def test_slow_by_itself_keeps_slots(slowness_of, usual):
    """A server that less work doesn't speed up keeps most of its slots."""
    seen = learn(LimitState(SLOTS), slowness_of)
    assert sum(seen) / len(seen) > 0.95 * usual


def test_crowded_server_gets_less():
    """A server that too much work slows down gets what it can serve."""
    seen = sorted(learn(LimitState(SLOTS), crowded)[5000:])
    assert 4 <= seen[len(seen) // 2] <= 6


def test_limit_comes_back():
    """Once the server is fast again the limit returns to the slots."""
    limit = LimitState(SLOTS)
    learn(limit, crowded)
    assert limit.limit < SLOTS
    learn(limit, lambda _: 1.0)
    assert limit.limit == SLOTS


def test_least_slots_hold():
    """The limit never falls below the least."""
    limit = LimitState(SLOTS)
    for _ in range(20_000):
        limit.learn(float(limit.limit), 8, 1.5)
        assert limit.limit >= 8


def test_onset_of_a_slowdown_misleads_nobody():
    """A slowdown that falls into a measurement is judged by the next ones."""
    limit = LimitState(SLOTS)
    learn(limit, lambda _: 1.0, 64)
    seen = learn(limit, lambda slots: max(1, slots / 4) ** 2, 3000)
    assert 4 <= seen[-1] <= 6
