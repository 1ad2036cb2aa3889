"""Tests of marks, their merging, and how they restrict a request."""

from hypothesis import given, settings, strategies
from nose2.tools import params

from carobmoor.quarantine import (
    Position,
    QuarantinePolicy,
    QuarantineState,
    Suspect,
    absolve,
    blame,
    decode_marks,
    encode_marks,
    expire,
    export,
    fingerprint_of,
    judge,
    list_marks,
    merge,
    owner_of,
)

NODES = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')
SUSPECT = Suspect(
    'bookings', 'POST', '/reservations?x=1', 'depot', '', b'{}', 2
)
NAME = fingerprint_of(SUSPECT)
POLICY = QuarantinePolicy(1000, 5000, 3)


def state_after(*crash_ids):
    """Return a state with a request marked for the given crashes."""
    state = QuarantineState(POLICY)
    for crash_id in crash_ids:
        blame(state, (SUSPECT,), crash_id, 0)
    return state


def positions(state, now_s=0):
    """Return how each node restricts the request."""
    return [judge(state, NAME, node, NODES, now_s).position for node in NODES]


def all_say(position):
    """Return the expected list if every node decides the same."""
    return [position for _ in NODES]


@params(
    (SUSPECT, True),
    (SUSPECT._replace(caller='other'), False),
    (SUSPECT._replace(first_chunk=b'[]'), False),
    (SUSPECT._replace(body_bytes=9), False),
    (SUSPECT._replace(method='PUT'), False),
    (SUSPECT._replace(target='/reservations?x=2'), False),
)
def test_fingerprint_without_key(other, is_same):
    """Without a key, caller, method, query and body distinguish requests."""
    assert (fingerprint_of(other) == NAME) is is_same


def test_fingerprint_with_key():
    """With an idempotency key, caller, query and body are ignored."""
    keyed = SUSPECT._replace(idempotency_key='k')
    resent = keyed._replace(caller='other', target='/reservations')
    assert fingerprint_of(keyed) == fingerprint_of(resent)
    other = keyed._replace(idempotency_key='l')
    assert fingerprint_of(keyed) != fingerprint_of(other)


@params(*range(len(NODES)))
def test_one_crash_leaves_one_owner(crashed):
    """A marked request runs on one node only, not where the crash was."""
    state = state_after(f'{NODES[crashed]}/1')
    told = positions(state)
    assert told.count(Position.ALONE) == 1
    assert told.count(Position.ELSEWHERE) == 2
    assert told[crashed] is Position.ELSEWHERE


def test_only_node_serves_although_crashed():
    """A marked request runs on the crashed node if it is the only one."""
    state = state_after(f'{NODES[0]}/1')
    ruling = judge(state, NAME, NODES[0], NODES[:1], 0)
    assert ruling.position is Position.ALONE


def test_second_crash_quarantines_everywhere():
    """After two crashes every node refuses until the quarantine expires."""
    state = state_after(f'{NODES[0]}/1', f'{NODES[1]}/2')
    assert positions(state) == all_say(Position.QUARANTINED)
    assert positions(state, 5) == all_say(Position.FREE)
    expire(state, 5)
    assert not state.marks


def test_one_crash_told_twice_is_one():
    """The same crash recorded twice counts once."""
    state = state_after(f'{NODES[0]}/1', f'{NODES[0]}/1')
    assert Position.QUARANTINED not in positions(state)


def test_success_clears():
    """One success clears a request, also if a stale mark arrives later."""
    state = state_after(f'{NODES[0]}/1')
    stale = export(state, 0)
    absolve(state, NAME)
    merge(state, stale, 0)
    assert positions(state) == all_say(Position.FREE)
    assert list_marks(state, 0) == []
    blame(state, (SUSPECT,), f'{NODES[1]}/2', 0)
    assert Position.QUARANTINED not in positions(state)


def test_absolve_unknown():
    """Clearing an unknown request returns `None`."""
    assert absolve(QuarantineState(POLICY), 'none') is None


def test_marks_are_bounded():
    """Beyond the limit, the marks that expire first are dropped."""
    state = QuarantineState(POLICY)
    for number in range(10):
        other = SUSPECT._replace(target=f'/{number}')
        blame(state, (other,), 'a/1', number)
    assert len(state.marks) == POLICY.most_marks
    assert {mark.route for mark in state.marks.values()} == {'/7', '/8', '/9'}


def test_heard_time_is_cut():
    """A received mark can't last longer than the policy of this node allows."""
    state = QuarantineState(POLICY)
    mark = blame(QuarantineState(POLICY), (SUSPECT,), 'a/1', 0)[0]
    merge(state, (mark._replace(left_ms=80_000_000),), 0)
    assert state.ends_s[NAME] <= 5


def test_message_round_trip():
    """Marks are unchanged by encoding and decoding."""
    marks = export(state_after(f'{NODES[0]}/1'), 0)
    assert decode_marks(encode_marks(marks)) == marks


CRASHES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(('crash', 'success', 'exchange')),
        strategies.integers(0, 2),
    ),
    max_size=20,
)


@given(CRASHES)
@settings(max_examples=80, deadline=None, derandomize=True, database=None)
def test_nodes_agree_after_exchange(steps):
    """Nodes agree after a full exchange, whatever the order of updates."""
    states = [QuarantineState(POLICY) for _ in NODES]
    for number, (place, what, other) in enumerate(steps):
        if what == 'crash':
            crash_id = f'{NODES[place]}/{number}'
            blame(states[place], (SUSPECT,), crash_id, 0)
        elif what == 'success':
            absolve(states[place], NAME)
        else:
            merge(states[other], export(states[place], 0), 0)
    for _ in NODES:
        for one in states:
            for other_state in states:
                merge(other_state, export(one, 0), 0)
    told = [positions(state) for state in states]
    assert told[0] == told[1] == told[2]
    assert told[0].count(Position.ALONE) <= 1


def test_owner_is_stable():
    """The order of the nodes does not change the owner."""
    mark = state_after(f'{NODES[0]}/1').marks[NAME]
    assert owner_of(mark, NODES) == owner_of(mark, tuple(reversed(NODES)))
    assert owner_of(mark, ()) == ''
