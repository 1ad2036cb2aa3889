"""Tests of the admission decisions, one rule at a time."""

from nose2.tools import params

from carobmoor.admission.tests.fixtures import Desk, arrival, policy
from carobmoor.outcomes import Code


def full_desk(**given):
    """Return admission with every slot held by the caller `old`."""
    desk = Desk(policy(**given))
    for _ in range(desk.state.policy.slots):
        desk.offer(arrival('booking', caller='old'))
    return desk


@params(
    (arrival('none'), Code.UNKNOWN_RANK),
    (arrival(deadline_s=0), Code.DEADLINE_LAPSED),
)
def test_refused_at_once(wanted, code):
    """A refused arrival takes neither a slot nor a place in the queue."""
    desk = Desk()
    assert desk.offer(wanted) is code
    assert not desk.state.in_flight_total
    assert not desk.state.queued_total


def test_deeper_goes_first():
    """The deepest call of a rank gets the next slot."""
    desk = full_desk()
    for depth in (0, 12, 3):
        desk.offer(arrival(depth=depth))
    depths = [desk.next_of(desk.running[0])[0].depth for _ in range(3)]
    assert depths == [12, 3, 0]


def test_nearest_target_goes_first():
    """Of one caller, the request with the nearest deadline starts first."""
    desk = full_desk()
    for deadline_s in (0.2, 0.1, 0.15):
        desk.offer(arrival(deadline_s=deadline_s))
    started = [desk.next_of(desk.running[0])[0] for _ in range(3)]
    assert [one.deadline_s for one in started] == [0.1, 0.15, 0.2]


def test_noisy_caller_waits_for_quiet():
    """A caller with many requests does not delay one with few."""
    desk = full_desk()
    for _ in range(100):
        desk.offer(arrival(caller='noisy'))
    for _ in range(3):
        desk.offer(arrival(caller='quiet'))
    started = [desk.next_of(desk.running[0])[0].caller for _ in range(6)]
    assert started.count('quiet') == 3


def test_late_waits_behind_fresh():
    """A request that misses its target waits behind those that can meet it."""
    desk = full_desk()
    desk.offer(arrival('urgent', name='old'))
    desk.now_s = 0.099
    desk.offer(arrival('urgent', name='new'))
    desk.start()
    names = [desk.next_of(desk.running[0])[0].request_id for _ in range(2)]
    assert names == ['new', 'old']


@params(
    # The target of the rank is 0.25 s; both requests arrive at 0.1 s.
    (0.15, 5.0, ['far', 'near']),
    (0.4, 5.0, ['near', 'far']),
    (0.05, 0.02, ['far', 'near']),
)
def test_own_target_goes_before_that_of_the_rank(near_s, far_s, expected):
    """A request's own target replaces that of its rank.

    It decides when the request is late; the nearest target goes first.
    """
    desk = full_desk()
    desk.now_s = 0.1
    desk.offer(arrival(name='near', deadline_s=2, target_at_s=near_s))
    desk.offer(arrival(name='far', deadline_s=1, target_at_s=far_s))
    desk.now_s = 0.16
    desk.start()
    names = [desk.next_of(desk.running[0])[0].request_id for _ in range(2)]
    assert names == expected


def test_hopeless_is_dropped_early():
    """A request is dropped before its deadline, once that is out of reach."""
    desk = full_desk()
    number = desk.offer(arrival(deadline_s=1))
    desk.now_s = 0.999
    desk.start()
    assert desk.dropped == {number: Code.DEADLINE_UNREACHABLE}


def test_own_backlog_refuses_at_arrival():
    """An arrival behind too many of its caller's requests is refused."""
    desk = full_desk()
    told = [
        desk.offer(arrival(caller='noisy', deadline_s=0.02)) for _ in range(200)
    ]
    assert told[-1] is Code.DEADLINE_UNREACHABLE
    assert isinstance(desk.offer(arrival(caller='quiet')), int)


def test_pause_drops_before_it_starts():
    """After a long pause, expired requests are dropped, not started."""
    desk = full_desk()
    number = desk.offer(arrival(deadline_s=1))
    desk.now_s = 7
    desk.finish(desk.running[0])
    assert desk.start() == []
    assert desk.dropped == {number: Code.DEADLINE_LAPSED}


def test_flood_leaves_room_in_queue():
    """A rank gets its part of a queue that another rank has filled."""
    desk = full_desk(queue_limit=100)
    for number in range(300):
        desk.offer(arrival('urgent', caller=f'c{number}'))
    placed = [
        desk.offer(arrival('upload', caller=f'c{number}'))
        for number in range(30)
    ]
    assert sum(1 for one in placed if isinstance(one, int)) >= 10
    assert len(desk.state.ranks['upload'].queue) == 10
    assert desk.state.queued_total == 100


def test_quiet_caller_displaces_noisy():
    """In a full queue, the caller with the most requests loses one."""
    desk = full_desk(queue_limit=10)
    for _ in range(10):
        desk.offer(arrival(caller='noisy'))
    assert desk.offer(arrival(caller='noisy')) is Code.QUEUE_FULL
    assert isinstance(desk.offer(arrival(caller='quiet')), int)
    assert list(desk.dropped.values()) == [Code.QUEUE_FULL]


def test_slow_borrower_leaves_slots():
    """A rank that holds slots for seconds leaves some to an urgent one."""
    desk = Desk()
    for _ in range(200):
        desk.finish(desk.offer(arrival('upload')), service_s=4)
        number = desk.offer(arrival('urgent'))
        desk.now_s += 0.005
        desk.finish(number, service_s=0.005)
    for _ in range(30):
        desk.offer(arrival('upload'))
    desk.start()
    assert len(desk.running) == 9
    desk.offer(arrival('urgent'))
    desk.start()
    ranks = [desk.arrivals[number].rank for number in desk.running]
    assert ranks.count('urgent') == 1


def test_blocked_chains_free_themselves():
    """After a deep call expired behind blocked chains, a slot stays free.

    Otherwise calls that wait for deeper calls could hold every slot and
    block each other until they expire.
    """
    desk = full_desk()
    desk.offer(arrival(depth=1, deadline_s=0.5))
    desk.now_s = 0.5
    desk.start()
    assert len(desk.dropped) == 1
    while desk.running:
        desk.finish(desk.running[0])
    for _ in range(20):
        desk.offer(arrival(depth=0))
    assert len(desk.running) == 9
    desk.offer(arrival(depth=1))
    assert [desk.arrivals[one].depth for one in desk.start()] == [1]


def test_new_policy_keeps_who_waits():
    """A rank that is removed from the policy still runs what waits."""
    desk = full_desk()
    number = desk.offer(arrival('upload'))
    given = desk.state.policy
    desk.state.replace_policy(given._replace(ranks=given.ranks[:2]))
    desk.finish(desk.running[0])
    assert desk.start() == [number]
