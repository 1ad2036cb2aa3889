"""The learned concurrency limit leaves slots unused only if they cost time."""

import random
from collections.abc import Callable

from nose2.tools import params

from carobmoor.mesh._concurrency_limit import ConcurrencyLimit

KNEE = 0.8
STARTS = 400
STEP_S = 0.03
# Standard deviation of the logarithm of service times.
SPREAD = 0.5
SEEDS = range(20)
RelativeTime = Callable[[float], float]


def uniform(_share: float) -> float:
    """Return the same time for every load."""
    return 1


def slow_above_knee(share: float) -> float:
    """Return 1.7 times the time if more than 80 % of the slots are in use."""
    return 1.7 if share > KNEE else 1


def run_load(
    limit: ConcurrencyLimit,
    relative_time: RelativeTime,
    rng: random.Random,
    *,
    is_saturated: bool = False,
) -> float:
    """Record requests under load and return the time of the last one.

    With `is_saturated` the server is always at its limit.
    """
    now_s = float(0)
    for _ in range(STARTS):
        now_s += STEP_S
        size = limit.current(now_s)
        smallest = size if is_saturated else max(1, size // 2)
        running = rng.randint(smallest, size)
        sample = rng.lognormvariate(0, SPREAD) * relative_time(
            running / limit.slots
        )
        limit.record(running, sample, now_s)
    return now_s


@params((5, 4), (9, 7), (12, 9), (50, 40))
def test_limit_falls_to_knee_if_last_slots_slow(slots, size):
    """The limit falls to the knee for a server that slows down beyond it."""
    lowered = 0
    for seed in SEEDS:
        limit = ConcurrencyLimit(slots)
        now_s = run_load(limit, slow_above_knee, random.Random(seed))
        lowered += limit.current(now_s) == size
    assert lowered >= len(SEEDS) - 1


@params(1, 2, 5, 9, 12, 50)
def test_limit_stays_at_all_slots_if_uniform(slots):
    """The limit stays at all slots if they all work equally well."""
    unlowered = 0
    for seed in SEEDS:
        limit = ConcurrencyLimit(slots)
        unlowered += (
            limit.current(run_load(limit, uniform, random.Random(seed)))
            == slots
        )
    assert unlowered >= len(SEEDS) - 1


@params((5, 4), (9, 7), (12, 9), (50, 40))
def test_limit_falls_to_knee_when_saturated(slots, size):
    """The limit is also learned for a server whose queue never empties.

    Such a server has no starts below the knee unless its limit is lowered for
    a trial.
    """
    lowered = 0
    for seed in SEEDS:
        limit = ConcurrencyLimit(slots)
        now_s = run_load(
            limit, slow_above_knee, random.Random(seed), is_saturated=True
        )
        lowered += limit.current(now_s) == size
    assert lowered >= len(SEEDS) - 1


@params(2, 5, 9, 12, 50)
def test_limit_stays_at_all_slots_when_saturated(slots):
    """The trial with a lower limit ends if all slots work equally well."""
    unlowered = 0
    for seed in SEEDS:
        limit = ConcurrencyLimit(slots)
        rng = random.Random(seed)
        now_s = run_load(limit, uniform, rng, is_saturated=True)
        unlowered += limit.current(now_s) == slots
    assert unlowered >= len(SEEDS) - 1


def test_trial_ends_when_load_falls():
    """Starts under load are not compared with later ones without load.

    Otherwise the difference in load would pass for a cost of the last slots.
    """
    limit = ConcurrencyLimit(12)
    for _ in range(STARTS):
        limit.record(12, 3, 0)
    assert limit.current(1) == 9
    assert limit.current(6) == 12
    for _ in range(STARTS):
        limit.record(9, 1, 6)
    assert limit.current(6) == 12


def test_limit_is_at_least_one():
    """The limit is at least one, even for one or two slots."""
    for slots in (1, 2):
        limit = ConcurrencyLimit(slots)
        assert (
            limit.current(run_load(limit, slow_above_knee, random.Random(1)))
            >= 1
        )


def test_last_slots_are_retried_after_a_minute():
    """After 60 s the last slots are tried again, as the server may change."""
    limit = ConcurrencyLimit(12)
    now_s = run_load(limit, slow_above_knee, random.Random(1))
    assert limit.current(now_s) < 12
    assert limit.current(now_s + 61) == 12


def test_light_load_does_not_lower_limit():
    """Slow requests on a lightly loaded server do not lower the limit."""
    limit = ConcurrencyLimit(12)
    for _ in range(STARTS):
        limit.record(3, 9, 0)
    assert limit.current(0) == 12
