"""Requests read after a pause count from its beginning."""

from nose2.tools import params

from carobmoor.transport._stall import StallWatch


@params(
    ('no pause', (0.05, 0.1), 0.15, 0.15),
    ('busy loop', (0.05, 0.25), 0.3, 0.3),
    ('right after a pause', (0.05, 0.1, 3), 3, 0.1),
    ('before the next beat', (0.05, 0.1), 3, 0.1),
    ('while it settles', (0.1, 3, 3.05, 3.1), 3.15, 0.1),
    ('settled', (0.1, 3, 3.1, 3.2, 3.3), 3.31, 3.31),
)
def test_arrival_counts_from_the_pause(_, beats_s, read_at_s, arrived_at_s):
    """A deadline is judged from the earliest time of arrival."""
    watch = StallWatch(0)
    for beat_s in beats_s:
        watch.beat(beat_s)
    assert watch.earliest_arrival_s(read_at_s) == arrived_at_s
