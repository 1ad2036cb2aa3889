"""Choice of an owner, resend budget and slowdown, without sockets."""

import random

from nose2.tools import params

from carobmoor.mesh._backend import Backend
from carobmoor.mesh._budget import RepeatBudget
from carobmoor.mesh._choose import Wanted, choose
from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.mesh._messages import MeshBounds
from carobmoor.mesh._peers import Peer
from carobmoor.routing import FAR, HERE, NEAR

WANTED = Wanted('one', 100, 120, 1)


def peer_of(
    distance: int = NEAR,
    pace: int = 100,
    busy: int = 0,
    success: int = 1000,
    base: int = 100,
) -> Peer:
    """Make a candidate that has just reported its load."""
    ip = f'10.0.{distance}.{random.randrange(1 << 30)}'
    record = NodeRecord(ip, 1, 1, 1, 'a', 'one', 'i', 10)
    peer = Peer(record, distance)
    peer.note_load(Load(1, 1, 1, busy, 0, pace, base, 150, success), 0)
    return peer


@params(
    ('usual before slow', peer_of(), peer_of(pace=500)),
    ('idle before full', peer_of(), peer_of(busy=10)),
    ('sound before failing', peer_of(), peer_of(success=500)),
    ('near before far', peer_of(), peer_of(FAR)),
    ('here before near', peer_of(HERE, busy=2), peer_of(NEAR)),
    ('far before full', peer_of(FAR), peer_of(busy=40)),
    ('warm before cold', peer_of(), peer_of(pace=200, base=200)),
)
def test_better_candidate_is_chosen(name, better, worse):
    """Slowdown, queue, failures and distance each decide between two peers.

    Guards against a factor that drops out of the prediction.
    """
    for seed in range(20):
        chosen = choose([worse, better], WANTED, 0.01, random.Random(seed))
        assert chosen is better, name


def test_old_news_of_a_pace_does_not_count():
    """A peer that was slow 10 s ago is chosen as often as any other.

    If old reports counted, a server would stay avoided long after a slowdown.
    """
    slow = peer_of(pace=500)
    rng = random.Random(1)
    candidates = [slow, peer_of()]
    chosen = [choose(candidates, WANTED, 10, rng) for _ in range(40)]
    assert 5 < chosen.count(slow) < 35


def test_down_candidate_is_the_last():
    """A peer that seems down is chosen only when there is no other."""
    down = peer_of()
    down.down_until_s = 1
    rng = random.Random(1)
    assert choose([down, peer_of(FAR)], WANTED, 0, rng) is not down
    assert choose([down], WANTED, 0, rng) is down
    tried = WANTED._replace(tried=(down.address,))
    assert choose([down], tried, 0, rng) is None


@params(
    (0, 24, 0),
    (0, 1, 25),
    (100, 24, 13),
    (1000, 24, 121),
)
def test_repeats_stay_within_the_share(requests, nodes, allowed):
    """A node uses only its share of the resends allowed to the deployment."""
    budget = RepeatBudget(MeshBounds())
    for _ in range(requests):
        budget.note_request('one', 0)
    taken = [budget.take('one', nodes, 1) for _ in range(2000)]
    assert abs(sum(taken) - allowed) <= 1
    assert not budget.take('two', 10**6, 1)


def test_repeats_come_back_with_time():
    """Resends count against the budget until the window of 10 s has passed."""
    budget = RepeatBudget(MeshBounds())
    taken = [budget.take('one', 1, 0) for _ in range(100)]
    assert any(taken)
    assert not budget.take('one', 1, 9.9)
    assert budget.take('one', 1, 10.1)


@params(
    ((100, 500), True),
    ((100, 100), False),
    ((500,), False),
    ((200, 1000), True),
    ((200, 210), False),
)
def test_slow_is_judged_by_the_best_of_late(paces, is_slow):
    """A server is slow only in comparison with its own baseline.

    A cold server is slow all the time, so waiting for it would not help.
    """
    backend = Backend()
    for step, pace in enumerate(paces):
        backend.note_pace(pace, step / 10)
    assert backend.is_slow == is_slow


def test_lasting_slowness_becomes_the_base():
    """A server that stays slow is no longer waited for."""
    backend = Backend()
    for step in range(30):
        backend.note_pace(100 if step < 5 else 500, step / 10)
    assert not backend.is_slow
