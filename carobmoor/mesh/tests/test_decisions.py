"""Choice of an owner, resend budget and slowdown, without sockets."""

import random

from nose2.tools import params

from carobmoor.mesh._backend import Backend
from carobmoor.mesh._choose import RequestProfile, choose
from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.mesh._messages import MeshBounds
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._resend_budget import ResendBudget
from carobmoor.routing import OTHER_REGION, SAME_REGION, SAME_ZONE

PROFILE = RequestProfile('one', 100, 120, 1)


def make_peer(
    distance: int = SAME_REGION,
    slowdown_percent: int = 100,
    outstanding: int = 0,
    success_permille: int = 1000,
    baseline_percent: int = 100,
) -> Peer:
    """Make a candidate that has just reported its load."""
    ip = f'10.0.{distance}.{random.randrange(1 << 30)}'
    record = NodeRecord(ip, 1, 1, 1, 'a', 'one', 'i', 10)
    peer = Peer(record, distance)
    peer.record_load(
        Load(
            1,
            1,
            1,
            outstanding,
            0,
            slowdown_percent,
            baseline_percent,
            150,
            success_permille,
        ),
        0,
    )
    return peer


@params(
    ('normal before slow', make_peer(), make_peer(slowdown_percent=500)),
    ('idle before full', make_peer(), make_peer(outstanding=10)),
    ('working before failing', make_peer(), make_peer(success_permille=500)),
    ('same region before other region', make_peer(), make_peer(OTHER_REGION)),
    (
        'same zone before same region',
        make_peer(SAME_ZONE, outstanding=2),
        make_peer(SAME_REGION),
    ),
    (
        'other region before full',
        make_peer(OTHER_REGION),
        make_peer(outstanding=40),
    ),
    (
        'warm before cold',
        make_peer(),
        make_peer(slowdown_percent=200, baseline_percent=200),
    ),
)
def test_choose_prefers_better_candidate(name, better, worse):
    """Slowdown, queue, failures and distance each decide between two peers.

    Guards against a factor that drops out of the prediction.
    """
    for seed in range(20):
        chosen = choose([worse, better], PROFILE, 0.01, random.Random(seed))
        assert chosen is better, name


def test_old_slowdown_report_is_ignored():
    """A peer that was slow 10 s ago is chosen as often as any other.

    If old reports counted, a server would stay avoided long after a slowdown.
    """
    slow = make_peer(slowdown_percent=500)
    rng = random.Random(1)
    candidates = [slow, make_peer()]
    chosen = [choose(candidates, PROFILE, 10, rng) for _ in range(40)]
    assert 5 < chosen.count(slow) < 35


def test_down_candidate_is_chosen_last():
    """A peer that seems down is chosen only when there is no other."""
    down = make_peer()
    down.avoided_until_s = 1
    rng = random.Random(1)
    assert choose([down, make_peer(OTHER_REGION)], PROFILE, 0, rng) is not down
    assert choose([down], PROFILE, 0, rng) is down
    tried = PROFILE._replace(tried=(down.address,))
    assert choose([down], tried, 0, rng) is None


@params(
    (0, 24, 0),
    (0, 1, 25),
    (100, 24, 13),
    (1000, 24, 121),
)
def test_resends_stay_within_node_share(requests, nodes, allowed):
    """A node uses only its share of the resends allowed to the deployment."""
    budget = ResendBudget(MeshBounds())
    for _ in range(requests):
        budget.record_request('one', 0)
    taken = [budget.try_spend('one', nodes, 1) for _ in range(2000)]
    assert abs(sum(taken) - allowed) <= 1
    assert not budget.try_spend('two', 10**6, 1)


def test_resend_budget_recovers_after_window():
    """Resends count against the budget until the window of 10 s has passed."""
    budget = ResendBudget(MeshBounds())
    taken = [budget.try_spend('one', 1, 0) for _ in range(100)]
    assert any(taken)
    assert not budget.try_spend('one', 1, 9.9)
    assert budget.try_spend('one', 1, 10.1)


@params(
    ((100, 500), True),
    ((100, 100), False),
    ((500,), False),
    ((200, 1000), True),
    ((200, 210), False),
)
def test_server_is_slow_only_above_its_baseline(slowdowns, is_slow):
    """A server is slow only in comparison with its own baseline.

    A cold server is slow all the time, so waiting for it would not help.
    """
    backend = Backend()
    for step, slowdown_percent in enumerate(slowdowns):
        backend.record_slowdown(slowdown_percent, step / 10)
    assert backend.is_slow == is_slow


def test_lasting_slowdown_becomes_baseline():
    """A server that stays slow is no longer waited for."""
    backend = Backend()
    for step in range(30):
        backend.record_slowdown(100 if step < 5 else 500, step / 10)
    assert not backend.is_slow
