"""The arrival time of requests that are read after an event loop pause.

Such a request may have waited in a buffer since the pause began; counted from
when it was read, it would be served after its deadline.
"""

from nose2.tools import params

from carobmoor.transport._pauses import PauseMonitor


@params(
    ('no pause', (0.05, 0.1), 0.15, 0.15),
    ('busy loop', (0.05, 0.25), 0.3, 0.3),
    ('right after a pause', (0.05, 0.1, 3), 3, 0.1),
    ('before the next beat', (0.05, 0.1), 3, 0.1),
    ('while it settles', (0.1, 3, 3.05, 3.1), 3.15, 0.1),
    ('settled', (0.1, 3, 3.1, 3.2, 3.3), 3.31, 3.31),
)
def test_earliest_arrival_is_start_of_pause(
    _, beats_s, read_at_s, arrived_at_s
):
    """Until a pause has settled, requests count from its start."""
    monitor = PauseMonitor(0)
    for beat_s in beats_s:
        monitor.beat(beat_s)
    assert monitor.earliest_arrival_s(read_at_s) == arrived_at_s
