"""Probes, suspicion and unreachable zones under a simulated clock."""

import random

from nose2.tools import params

from carobmoor.membership._merge import suspect, suspicion_time_s
from carobmoor.membership._messages import Datagram, Kind, Standing
from carobmoor.membership._probe import hear, note_pause, start_round
from carobmoor.membership._targets import Ring
from carobmoor.membership.tests.fixtures import Wire, member, state_of

A = tuple(member(number, 'lagos-a') for number in range(4))
B = tuple(member(number, 'lagos-b') for number in range(10, 14))
C = tuple(member(number, 'abuja-a') for number in range(20, 24))
ALL = (*A, *B, *C)


def standings(wire, observers, observed):
    """Return the statuses of some nodes as seen by others."""
    return {
        wire.standing(at, of) for at in observers for of in observed if at != of
    }


def test_quiet_fleet_suspects_nobody():
    """Without faults every node sees all others alive."""
    wire = Wire(*ALL)
    wire.run(30)
    assert standings(wire, ALL, ALL) == {Standing.ALIVE}


@params((A[1],), (B[1],), (C[1],))
def test_death_is_seen_everywhere(victim):
    """Every node learns that one node is dead; all others stay alive."""
    wire = Wire(*ALL)
    wire.run(2)
    wire.dead.add(victim.address)
    wire.run(40)
    living = [each for each in ALL if each != victim]
    assert standings(wire, living, [victim]) == {Standing.DEAD}
    assert standings(wire, living, living) == {Standing.ALIVE}


def test_lost_path_is_bridged_by_helpers():
    """Two nodes that can't reach each other stay alive through a helper."""
    wire = Wire(A[0], A[1], B[0])
    wire.cut = lambda *zones: set(zones) == {'lagos-a'}
    wire.run(40)
    assert wire.standing(A[0], A[1]) is Standing.ALIVE
    assert wire.standing(A[1], A[0]) is Standing.ALIVE


def test_rack_is_dead_without_false_deaths():
    """Half of a zone that fails at once is declared dead; the rest is not."""
    wire = Wire(*ALL)
    wire.run(2)
    lost, living = B[:2], (*A, *B[2:], *C)
    wire.dead.update(each.address for each in lost)
    wire.run(60)
    assert standings(wire, living, lost) == {Standing.DEAD}
    assert standings(wire, living, living) == {Standing.ALIVE}


@params((B,), (C,))
def test_vanished_zone_is_kept(lost):
    """A zone that fails as a whole is unreachable; no member becomes dead."""
    wire = Wire(*ALL)
    wire.run(2)
    wire.dead.update(each.address for each in lost)
    wire.run(90)
    living = [each for each in ALL if each not in lost]
    assert Standing.DEAD not in standings(wire, living, ALL)
    assert standings(wire, living, living) == {Standing.ALIVE}
    for at in living:
        reachable = [wire.state(at).is_reachable(of) for of in lost]
        assert not any(reachable)


def test_cut_region_converges_on_return():
    """After a partition ends, each side sees the other alive again."""
    wire = Wire(*ALL)
    wire.run(2)
    wire.cut = lambda *zones: len({zone[:5] for zone in zones}) > 1
    wire.run(90)
    assert not wire.state(A[0]).is_reachable(C[0])
    assert Standing.DEAD not in standings(wire, ALL, ALL)
    wire.cut = lambda *zones: False
    wire.run(60)
    assert standings(wire, ALL, ALL) == {Standing.ALIVE}
    assert all(wire.state(at).is_reachable(of) for at in ALL for of in ALL)


def test_isolated_node_blames_nobody():
    """A node that receives nothing is cut off itself and declares none dead."""
    wire = Wire(*A)
    wire.run(2)
    wire.dead.update(each.address for each in A[1:])
    wire.run(60)
    seen = standings(wire, A[:1], A[1:])
    assert Standing.DEAD not in seen


def test_pause_judges_nobody():
    """A node that was paused drops its probes and waits longer."""
    wire = Wire(*A)
    probes = wire.probes[A[0].address]
    start_round(probes, wire.now_s)
    suspect(probes.members, A[1].address, wire.now_s)
    before_s = probes.members.suspicion_ends_s[A[1].address]
    note_pause(probes, 30)
    assert not probes.pending
    assert probes.members.suspicion_ends_s[A[1].address] == before_s + 30
    assert probes.health.factor == 2


def test_strangers_are_met():
    """An unknown sender of a datagram is queued for synchronisation."""
    probes = Wire(*A).probes[A[0].address]
    stranger = member(99).address
    datagram = Datagram(Kind.PROBE, 1, stranger, '', 0)
    answered = hear(probes, datagram, 100)
    assert [each.kind for each in answered] == [Kind.ACK]
    assert probes.to_meet == [stranger]


def test_empty_ring_is_not_walked_again():
    """With no accepted member, all are checked again only after a change."""
    looked = []

    def accepts(each):
        looked.append(each)
        return each.standing is Standing.LEAVING

    state = state_of(A[0], A[1:])
    ring = Ring(accepts)
    for _ in range(5):
        assert ring.draw(state, random.Random(0)) is None
    assert len(looked) == len(A)
    leaving = A[1]._replace(standing=Standing.LEAVING)
    state.keep(leaving, 0)
    assert ring.draw(state, random.Random(0)) == leaving


def test_suspicion_time_grows_with_the_cluster():
    """Suspects have more time to refute in larger clusters."""
    small = state_of(member(0))
    large = state_of(member(0))
    for number in range(1000):
        large.keep(member(number), 0)
    assert suspicion_time_s(large) > suspicion_time_s(small)
