"""Members, states and a simulated network for the membership tests."""

import random
from collections.abc import Iterable

from carobmoor.membership._messages import Datagram, Member, MemberStatus
from carobmoor.membership._probe import (
    ProbeState,
    handle_datagram,
    handle_timeouts,
    start_probe_round,
)
from carobmoor.membership._state import MembershipState
from carobmoor.membership._targets import Targets

STEP_S = 0.1


def member(
    number: int,
    zone: str = 'lagos-a',
    incarnation: int = 1,
    status: MemberStatus = MemberStatus.ALIVE,
) -> Member:
    """Make a member; the part of `zone` before its hyphen is the region."""
    region = zone.partition('-')[0]
    address = f'10.0.{number // 256}.{number % 256}:7000'
    return Member(address, 'bookings', region, zone, incarnation, status)


def state_of(me: Member, others: Iterable[Member] = ()) -> MembershipState:
    """Make the state of a node that knows the others."""
    state = MembershipState(me, lambda service: None)
    for other in others:
        state.put(other, 0)
    return state


def _drop_nothing(sender_zone: str, receiver_zone: str) -> bool:
    return False


class SimulatedNetwork:
    """Nodes under one simulated clock; `is_dropped` decides what is lost."""

    def __init__(self, *members: Member) -> None:
        """Start with every node knowing all others."""
        self.now_s = float(100)
        self.probes: dict[str, ProbeState] = {}
        self.stopped: set[str] = set()
        self.is_dropped = _drop_nothing
        for number, me in enumerate(members):
            state = state_of(me, [other for other in members if other != me])
            targets = Targets(state, random.Random(number))
            self.probes[me.address] = ProbeState(state, targets)

    def state(self, of: Member) -> MembershipState:
        """Return the state of one node."""
        return self.probes[of.address].state

    def status(self, at: Member, of: Member) -> MemberStatus:
        """Return the status of one node as seen by another."""
        return self.state(at).members[of.address].status

    def run(self, seconds: float) -> None:
        """Advance the clock; each node probes once a second."""
        for step in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for address, probes in self.probes.items():
                if address in self.stopped:
                    continue
                self._send(address, handle_timeouts(probes, self.now_s))
                if step % 10 == 0:
                    self._send(address, start_probe_round(probes, self.now_s))

    def _send(self, sender: str, outgoing) -> None:
        for message in outgoing:
            receiver = message.address
            zones = (self._zone(sender), self._zone(receiver))
            if receiver in self.stopped or self.is_dropped(*zones):
                continue
            state = self.probes[sender].state
            entry = state.members[receiver]
            datagram = Datagram(
                message.kind,
                message.probe_id,
                sender,
                message.target,
                0,
                (entry, *state.updates.pick(state.members, 8)),
            )
            answers = handle_datagram(
                self.probes[receiver], datagram, self.now_s
            )
            self._send(receiver, answers)

    def _zone(self, address: str) -> str:
        me = self.probes[address].state.me
        return me.availability_zone
