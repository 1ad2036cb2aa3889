"""Tests that the adaptive limit follows the throughput at lower limits."""

from nose2.tools import params

from carobmoor.admission._limit import LimitState

SLOTS = 12


def record_slowdowns(limit, slowdown_at, finished=20_000):
    """Record slowdowns that depend on the limit; return the limits seen."""
    limits = []
    for _ in range(finished):
        limit.record(slowdown_at(limit.limit), 1, 1.5)
        limits.append(limit.limit)
    return limits


def overloaded(limit):
    """Return the slowdown of a server with four cores."""
    return max(1, limit / 4)


@params((lambda _: 1.0, SLOTS), (lambda _: 3.0, SLOTS))
def test_limit_stays_if_lower_limit_does_not_help(slowdown_at, expected):
    """A server that a lower limit doesn't speed up keeps its slots.

    Trials of a lower limit may cost at most 5% of them on average.
    """
    limits = record_slowdowns(LimitState(SLOTS), slowdown_at)
    assert sum(limits) / len(limits) > 0.95 * expected


def test_limit_falls_for_overloaded_server():
    """An overloaded server gets about as many slots as it has cores."""
    limits = sorted(record_slowdowns(LimitState(SLOTS), overloaded)[5000:])
    assert 4 <= limits[len(limits) // 2] <= 6


def test_limit_returns_to_slots_after_slowdown():
    """The limit returns to all slots once the server is fast again."""
    limit = LimitState(SLOTS)
    record_slowdowns(limit, overloaded)
    assert limit.limit < SLOTS
    record_slowdowns(limit, lambda _: 1.0)
    assert limit.limit == SLOTS


def test_limit_never_falls_below_minimum():
    """The limit never falls below the configured minimum."""
    limit = LimitState(SLOTS)
    for _ in range(20_000):
        limit.record(float(limit.limit), 8, 1.5)
        assert limit.limit >= 8


def test_onset_of_slowdown_misleads_no_trial():
    """A slowdown that starts within a window doesn't mislead the trials.

    That window shows too high a rate, against which a lower limit would
    seem to lose throughput.
    """
    limit = LimitState(SLOTS)
    record_slowdowns(limit, lambda _: 1.0, 64)
    limits = record_slowdowns(limit, lambda slots: max(1, slots / 4) ** 2, 3000)
    assert 4 <= limits[-1] <= 6
