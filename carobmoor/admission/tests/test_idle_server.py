"""A rank that has spent its credit must not wait beside an idle server."""

from carobmoor.admission.tests.fixtures import RANKS, Desk, arrival, policy

LONG_S = 60
SLOTS = 4


def test_overdrawn_rank_starts_on_idle_server():
    """Slots that are kept for other ranks may be as many as there are."""
    desk = Desk(policy(slots=SLOTS, queue_limit=12))
    least = RANKS[-1].name
    state = desk.state
    state.concurrency_limit.limit = 1
    state.ranks[least].credit_s = -3.0
    state.ranks[least].service_time_s = LONG_S
    for rank in state.ranks.values():
        rank.mean_in_flight = SLOTS
    desk.offer(arrival(least, 'a', 0, desk.now_s + LONG_S))
    desk.start()
    assert state.in_flight_total == 1
