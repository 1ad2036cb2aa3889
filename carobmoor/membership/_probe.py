"""Failure detection: direct probe, probes by helpers, then suspicion."""

from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from carobmoor.membership._health import LocalHealth
from carobmoor.membership._merge import merge
from carobmoor.membership._messages import (
    Datagram,
    Kind,
    Member,
    Outgoing,
    Standing,
)
from carobmoor.membership._state import MembershipState
from carobmoor.membership._targets import Targets
from carobmoor.membership._zones import may_confirm, note_failure, note_heard

PROBE_INTERVAL_S: Final = 1
_DIRECT_TIMEOUT_S: Final = 0.4
_INDIRECT_TIMEOUT_S: Final = 0.5
_HELPERS: Final = 3
_LOST_EVERY: Final = 2
_CONFIRM_WINDOW_S: Final = 5
# A loop that wakes later than this was paused; its timeouts prove nothing.
PAUSE_S: Final = 1


class Pending(NamedTuple):
    """A probe that awaits its answer."""

    target: Member
    started_s: float
    expires_s: float
    # Whether helpers were asked to probe too.
    is_indirect: bool = False
    # Number of helpers that got no answer either.
    nacks: int = 0
    # The node that requested the probe, and its number for it; empty if own.
    asker: str = ''
    asker_number: int = 0


class ProbeState:
    """The probes in progress at one node."""

    def __init__(self, state: MembershipState, targets: Targets) -> None:
        """Start without probes."""
        self.members = state
        self.targets = targets
        self.health = LocalHealth()
        self.pending: dict[int, Pending] = {}
        # Unknown senders and members of zones that came back, to synchronise
        # with.
        self.to_meet: list[str] = []
        self._number = 0
        self._rounds = 0

    def next_number(self) -> int:
        """Return a number that no other probe of this node has."""
        self._number += 1
        return self._number

    def next_round(self) -> int:
        """Count a round of probes; return its number."""
        self._rounds += 1
        return self._rounds


def start_round(probes: ProbeState, now_s: float) -> Sequence[Outgoing]:
    """Probe one member of this region and one of another region.

    Every second round also probes a member of an unreachable zone.
    """
    count = probes.next_round()
    drawn = [probes.targets.near(), probes.targets.far()]
    if count % _LOST_EVERY == 0:
        drawn.append(probes.targets.lost())
    return [
        _probe(probes, member, now_s) for member in drawn if member is not None
    ]


def hear(
    probes: ProbeState,
    datagram: Datagram,
    now_s: float,
) -> Sequence[Outgoing]:
    """Handle a datagram; return what to send in response."""
    state = probes.members
    merge(state, datagram.news, now_s)
    sender = state.members.get(datagram.sender)
    if sender is None or note_heard(state, sender.zone, now_s):
        probes.to_meet.append(datagram.sender)
    match datagram.kind:
        case Kind.PROBE:
            return [Outgoing(datagram.sender, Kind.ACK, datagram.number)]
        case Kind.ACK:
            return _acknowledge(probes, datagram)
        case Kind.NACK:
            _note_nack(probes, datagram.number)
        case Kind.ASK:
            return _help(probes, datagram, now_s)
    return ()


def expire(probes: ProbeState, now_s: float) -> Sequence[Outgoing]:
    """Handle overdue probes and suspicions; return what to send."""
    overdue = [
        number
        for number, pending in probes.pending.items()
        if now_s >= pending.expires_s
    ]
    outgoing: list[Outgoing] = []
    for number in overdue:
        outgoing.extend(_expire_probe(probes, number, now_s))
    _confirm_deaths(probes.members, now_s)
    return outgoing


def note_pause(probes: ProbeState, lag_s: float) -> None:
    """Drop pending probes and extend suspicions after a pause.

    Answers could not be received while this process was paused, so that
    their absence is no sign of failure.
    """
    probes.pending.clear()
    probes.health.note_bad()
    ends_s = probes.members.suspicion_ends_s
    for address in ends_s:
        ends_s[address] += lag_s


def _probe(
    probes: ProbeState,
    target: Member,
    now_s: float,
    asker: str = '',
    asker_number: int = 0,
) -> Outgoing:
    number = probes.next_number()
    factor = 1 if asker else probes.health.factor
    timeout_s = _DIRECT_TIMEOUT_S * factor
    probes.pending[number] = Pending(
        target,
        now_s,
        now_s + timeout_s,
        asker=asker,
        asker_number=asker_number,
    )
    return Outgoing(target.address, Kind.PROBE, number)


def _acknowledge(
    probes: ProbeState,
    datagram: Datagram,
) -> Sequence[Outgoing]:
    pending = probes.pending.pop(datagram.number, None)
    if pending is None:
        return ()
    target = pending.target
    if pending.asker:
        relayed = Outgoing(
            pending.asker, Kind.ACK, pending.asker_number, target.address
        )
        return (relayed,)
    probes.health.note_good()
    known = probes.members.members.get(target.address)
    if known is not None and known.standing is Standing.LEAVING:
        probes.members.suspicion_ends_s.pop(target.address, None)
    return ()


def _note_nack(probes: ProbeState, number: int) -> None:
    pending = probes.pending.get(number)
    if pending is not None:
        probes.pending[number] = pending._replace(nacks=pending.nacks + 1)


def _help(
    probes: ProbeState,
    datagram: Datagram,
    now_s: float,
) -> Sequence[Outgoing]:
    target = probes.members.members.get(datagram.target)
    if target is None:
        return ()
    sender, number = datagram.sender, datagram.number
    return (_probe(probes, target, now_s, sender, number),)


def _expire_probe(
    probes: ProbeState,
    number: int,
    now_s: float,
) -> Iterator[Outgoing]:
    pending = probes.pending[number]
    is_near = pending.target.region == probes.members.me.region
    if pending.asker:
        probes.pending.pop(number)
        yield Outgoing(pending.asker, Kind.NACK, pending.asker_number)
    elif is_near and not pending.is_indirect:
        yield from _ask_helpers(probes, number, now_s)
    else:
        probes.pending.pop(number)
        yield from _fail(probes, pending, now_s)


def _ask_helpers(
    probes: ProbeState,
    number: int,
    now_s: float,
) -> Iterator[Outgoing]:
    pending = probes.pending[number]
    wait_s = _INDIRECT_TIMEOUT_S * probes.health.factor
    probes.pending[number] = pending._replace(
        expires_s=now_s + wait_s,
        is_indirect=True,
    )
    target = pending.target.address
    drawn = {probes.targets.helper() for _ in range(_HELPERS)}
    for helper in drawn:
        if helper is not None and helper.address != target:
            yield Outgoing(helper.address, Kind.ASK, number, target)


def _fail(
    probes: ProbeState,
    pending: Pending,
    now_s: float,
) -> Iterator[Outgoing]:
    state = probes.members
    if pending.is_indirect and not pending.nacks:
        probes.health.note_bad()
    current = state.members.get(pending.target.address)
    if current is None or current.standing is Standing.DEAD:
        return
    if note_failure(state, current, pending.started_s, now_s):
        another = probes.targets.of_zone(current)
        if another is not None:
            yield _probe(probes, another, now_s)


def _confirm_deaths(state: MembershipState, now_s: float) -> None:
    ended = [
        address
        for address, ends_s in state.suspicion_ends_s.items()
        if now_s >= ends_s
    ]
    for address in ended:
        state.suspicion_ends_s.pop(address)
        member = state.members.get(address)
        if member is None:
            continue
        if may_confirm(state, member, now_s - _CONFIRM_WINDOW_S):
            state.keep(member._replace(standing=Standing.DEAD), now_s)
