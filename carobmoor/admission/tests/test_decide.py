"""Tests of the admission decisions, one rule at a time."""

from nose2.tools import params

from carobmoor.admission.tests.fixtures import Desk, arrival, policy
from carobmoor.outcomes import Code


def full_admission(**given):
    """Return admission with every slot held by the caller `old`."""
    admission = Desk(policy(**given))
    for _ in range(admission.state.policy.slots):
        admission.offer(arrival('booking', caller='old'))
    return admission


@params(
    (arrival('none'), Code.UNKNOWN_RANK),
    (arrival(deadline_s=0), Code.DEADLINE_LAPSED),
)
def test_unknown_rank_or_past_deadline_is_refused(request, code):
    """A refused arrival takes neither a slot nor a place in the queue."""
    admission = Desk()
    assert admission.offer(request) is code
    assert not admission.state.in_flight_total
    assert not admission.state.queued_total


def test_deepest_call_starts_first():
    """The deepest call of a rank gets the next slot."""
    admission = full_admission()
    for depth in (0, 12, 3):
        admission.offer(arrival(depth=depth))
    depths = [
        admission.finish_and_start(admission.running[0])[0].depth
        for _ in range(3)
    ]
    assert depths == [12, 3, 0]


def test_nearest_deadline_starts_first():
    """Of one caller, the request with the nearest deadline starts first."""
    admission = full_admission()
    for deadline_s in (0.2, 0.1, 0.15):
        admission.offer(arrival(deadline_s=deadline_s))
    started = [
        admission.finish_and_start(admission.running[0])[0] for _ in range(3)
    ]
    assert [one.deadline_s for one in started] == [0.1, 0.15, 0.2]


def test_quiet_caller_overtakes_noisy_one():
    """A caller with many requests does not delay one with few."""
    admission = full_admission()
    for _ in range(100):
        admission.offer(arrival(caller='noisy'))
    for _ in range(3):
        admission.offer(arrival(caller='quiet'))
    started = [
        admission.finish_and_start(admission.running[0])[0].caller
        for _ in range(6)
    ]
    assert started.count('quiet') == 3


def test_late_request_waits_behind_on_time_one():
    """A request that misses its target waits behind those that can meet it."""
    admission = full_admission()
    admission.offer(arrival('urgent', name='old'))
    admission.now_s = 0.099
    admission.offer(arrival('urgent', name='new'))
    admission.start()
    names = [
        admission.finish_and_start(admission.running[0])[0].request_id
        for _ in range(2)
    ]
    assert names == ['new', 'old']


@params(
    # The target of the rank is 0.25 s; both requests arrive at 0.1 s.
    (0.15, 5.0, ['far', 'near']),
    (0.4, 5.0, ['near', 'far']),
    (0.05, 0.02, ['far', 'near']),
)
def test_own_target_replaces_target_of_rank(near_s, far_s, expected):
    """A request's own target replaces that of its rank.

    It decides when the request is late; the nearest target goes first.
    """
    admission = full_admission()
    admission.now_s = 0.1
    admission.offer(arrival(name='near', deadline_s=2, target_at_s=near_s))
    admission.offer(arrival(name='far', deadline_s=1, target_at_s=far_s))
    admission.now_s = 0.16
    admission.start()
    names = [
        admission.finish_and_start(admission.running[0])[0].request_id
        for _ in range(2)
    ]
    assert names == expected


def test_unreachable_deadline_is_dropped_early():
    """A request is dropped before its deadline, once that is out of reach."""
    admission = full_admission()
    number = admission.offer(arrival(deadline_s=1))
    admission.now_s = 0.999
    admission.start()
    assert admission.dropped == {number: Code.DEADLINE_UNREACHABLE}


def test_arrival_behind_own_backlog_is_refused():
    """An arrival behind too many of its caller's requests is refused."""
    admission = full_admission()
    decisions = [
        admission.offer(arrival(caller='noisy', deadline_s=0.02))
        for _ in range(200)
    ]
    assert decisions[-1] is Code.DEADLINE_UNREACHABLE
    assert isinstance(admission.offer(arrival(caller='quiet')), int)


def test_expired_request_never_starts_after_pause():
    """After a long pause, expired requests are dropped, not started."""
    admission = full_admission()
    number = admission.offer(arrival(deadline_s=1))
    admission.now_s = 7
    admission.finish(admission.running[0])
    assert admission.start() == []
    assert admission.dropped == {number: Code.DEADLINE_LAPSED}


def test_flood_leaves_queue_places_to_other_ranks():
    """A rank gets its part of a queue that another rank has filled."""
    admission = full_admission(queue_limit=100)
    for number in range(300):
        admission.offer(arrival('urgent', caller=f'c{number}'))
    results = [
        admission.offer(arrival('upload', caller=f'c{number}'))
        for number in range(30)
    ]
    assert sum(1 for one in results if isinstance(one, int)) >= 10
    assert len(admission.state.ranks['upload'].queue) == 10
    assert admission.state.queued_total == 100


def test_arrival_evicts_request_of_busiest_caller():
    """In a full queue, the caller with the most requests loses one."""
    admission = full_admission(queue_limit=10)
    for _ in range(10):
        admission.offer(arrival(caller='noisy'))
    assert admission.offer(arrival(caller='noisy')) is Code.QUEUE_FULL
    assert isinstance(admission.offer(arrival(caller='quiet')), int)
    assert list(admission.dropped.values()) == [Code.QUEUE_FULL]


def test_slow_borrower_leaves_slots_free():
    """A rank that holds slots for seconds leaves some to an urgent one."""
    admission = Desk()
    for _ in range(200):
        admission.finish(admission.offer(arrival('upload')), service_s=4)
        number = admission.offer(arrival('urgent'))
        admission.now_s += 0.005
        admission.finish(number, service_s=0.005)
    for _ in range(30):
        admission.offer(arrival('upload'))
    admission.start()
    assert len(admission.running) == 9
    admission.offer(arrival('urgent'))
    admission.start()
    ranks = [admission.arrivals[number].rank for number in admission.running]
    assert ranks.count('urgent') == 1


def test_expired_deep_call_reserves_a_slot():
    """After a deep call expired behind blocked chains, a slot stays free.

    Otherwise calls that wait for deeper calls could hold every slot and
    block each other until they expire.
    """
    admission = full_admission()
    admission.offer(arrival(depth=1, deadline_s=0.5))
    admission.now_s = 0.5
    admission.start()
    assert len(admission.dropped) == 1
    while admission.running:
        admission.finish(admission.running[0])
    for _ in range(20):
        admission.offer(arrival(depth=0))
    assert len(admission.running) == 9
    admission.offer(arrival(depth=1))
    assert [admission.arrivals[one].depth for one in admission.start()] == [1]


def test_removed_rank_still_starts_what_waits():
    """A rank that is removed from the policy still runs what waits."""
    admission = full_admission()
    number = admission.offer(arrival('upload'))
    given = admission.state.policy
    admission.state.replace_policy(given._replace(ranks=given.ranks[:2]))
    admission.finish(admission.running[0])
    assert admission.start() == [number]
