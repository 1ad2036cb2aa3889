"""Probes, suspicion and unreachable zones under a simulated clock."""

import random

from nose2.tools import params

from carobmoor.membership._merge import suspect, suspicion_timeout_s
from carobmoor.membership._messages import Datagram, DatagramKind, MemberStatus
from carobmoor.membership._probe import (
    handle_datagram,
    handle_pause,
    start_probe_round,
)
from carobmoor.membership._targets import ShuffledCycle
from carobmoor.membership.tests.fixtures import (
    SimulatedNetwork,
    member,
    state_of,
)

A = tuple(member(number, 'lagos-a') for number in range(4))
B = tuple(member(number, 'lagos-b') for number in range(10, 14))
C = tuple(member(number, 'abuja-a') for number in range(20, 24))
ALL = (*A, *B, *C)


def statuses(network, observers, observed):
    """Return the statuses of some nodes as seen by others."""
    return {
        network.status(at, of)
        for at in observers
        for of in observed
        if at != of
    }


def test_without_faults_all_stay_alive():
    """Without faults every node sees all others alive."""
    network = SimulatedNetwork(*ALL)
    network.run(30)
    assert statuses(network, ALL, ALL) == {MemberStatus.ALIVE}


@params((A[1],), (B[1],), (C[1],))
def test_stopped_node_is_dead_on_every_node(stopped_node):
    """Every node learns that one node is dead; all others stay alive."""
    network = SimulatedNetwork(*ALL)
    network.run(2)
    network.stopped.add(stopped_node.address)
    network.run(40)
    living = [each for each in ALL if each != stopped_node]
    assert statuses(network, living, [stopped_node]) == {MemberStatus.DEAD}
    assert statuses(network, living, living) == {MemberStatus.ALIVE}


def test_helper_keeps_unreachable_pair_alive():
    """Two nodes that can't reach each other stay alive through a helper."""
    network = SimulatedNetwork(A[0], A[1], B[0])
    network.is_dropped = lambda *zones: set(zones) == {'lagos-a'}
    network.run(40)
    assert network.status(A[0], A[1]) is MemberStatus.ALIVE
    assert network.status(A[1], A[0]) is MemberStatus.ALIVE


def test_half_zone_failure_kills_no_other_member():
    """Half of a zone that fails at once is declared dead; the rest is not."""
    network = SimulatedNetwork(*ALL)
    network.run(2)
    failed, living = B[:2], (*A, *B[2:], *C)
    network.stopped.update(each.address for each in failed)
    network.run(60)
    assert statuses(network, living, failed) == {MemberStatus.DEAD}
    assert statuses(network, living, living) == {MemberStatus.ALIVE}


@params((B,), (C,))
def test_failed_zone_is_unreachable_and_kept(failed):
    """A zone that fails as a whole is unreachable; no member becomes dead."""
    network = SimulatedNetwork(*ALL)
    network.run(2)
    network.stopped.update(each.address for each in failed)
    network.run(90)
    living = [each for each in ALL if each not in failed]
    assert MemberStatus.DEAD not in statuses(network, living, ALL)
    assert statuses(network, living, living) == {MemberStatus.ALIVE}
    for at in living:
        reachable = [network.state(at).is_reachable(of) for of in failed]
        assert not any(reachable)


def test_partitioned_regions_converge_afterwards():
    """After a partition ends, each side sees the other alive again."""
    network = SimulatedNetwork(*ALL)
    network.run(2)
    network.is_dropped = lambda *zones: len({zone[:5] for zone in zones}) > 1
    network.run(90)
    assert not network.state(A[0]).is_reachable(C[0])
    assert MemberStatus.DEAD not in statuses(network, ALL, ALL)
    network.is_dropped = lambda *zones: False
    network.run(60)
    assert statuses(network, ALL, ALL) == {MemberStatus.ALIVE}
    assert all(network.state(at).is_reachable(of) for at in ALL for of in ALL)


def test_isolated_node_declares_no_deaths():
    """A node that receives nothing is cut off itself and declares none dead."""
    network = SimulatedNetwork(*A)
    network.run(2)
    network.stopped.update(each.address for each in A[1:])
    network.run(60)
    seen = statuses(network, A[:1], A[1:])
    assert MemberStatus.DEAD not in seen


def test_pause_drops_probes_extends_suspicions():
    """A node that was paused drops its probes and waits longer."""
    network = SimulatedNetwork(*A)
    probes = network.probes[A[0].address]
    start_probe_round(probes, network.now_s)
    suspect(probes.state, A[1].address, network.now_s)
    before_s = probes.state.suspicion_ends_s[A[1].address]
    handle_pause(probes, 30)
    assert not probes.pending
    assert probes.state.suspicion_ends_s[A[1].address] == before_s + 30
    assert probes.health.factor == 2


def test_unknown_sender_becomes_sync_candidate():
    """An unknown sender of a datagram is queued for synchronisation."""
    probes = SimulatedNetwork(*A).probes[A[0].address]
    stranger = member(99).address
    datagram = Datagram(DatagramKind.PROBE, 1, stranger, '', 0)
    answered = handle_datagram(probes, datagram, 100)
    assert [each.kind for each in answered] == [DatagramKind.ACK]
    assert probes.sync_candidates == [stranger]


def test_empty_cycle_rescans_only_after_change():
    """With no accepted member, all are checked again only after a change."""
    checked = []

    def accepts(each):
        checked.append(each)
        return each.status is MemberStatus.LEAVING

    state = state_of(A[0], A[1:])
    cycle = ShuffledCycle(accepts)
    for _ in range(5):
        assert cycle.draw(state, random.Random(0)) is None
    assert len(checked) == len(A)
    leaving = A[1]._replace(status=MemberStatus.LEAVING)
    state.put(leaving, 0)
    assert cycle.draw(state, random.Random(0)) == leaving


def test_suspicion_timeout_grows_with_cluster():
    """Suspects have more time to refute in larger clusters."""
    small = state_of(member(0))
    large = state_of(member(0))
    for number in range(1000):
        large.put(member(number), 0)
    assert suspicion_timeout_s(large) > suspicion_timeout_s(small)
