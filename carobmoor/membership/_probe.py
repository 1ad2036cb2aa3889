"""Failure detection: direct probe, probes by helpers, then suspicion."""

from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from carobmoor.membership._health import LocalHealth
from carobmoor.membership._merge import merge
from carobmoor.membership._messages import (
    Datagram,
    DatagramKind,
    Member,
    MemberStatus,
    OutgoingMessage,
)
from carobmoor.membership._state import MembershipState
from carobmoor.membership._targets import Targets
from carobmoor.membership._zones import (
    may_confirm_death,
    record_probe_failure,
    record_received,
)

PROBE_INTERVAL_S: Final = 1
_DIRECT_TIMEOUT_S: Final = 0.4
_INDIRECT_TIMEOUT_S: Final = 0.5
_HELPER_COUNT: Final = 3
_ROUNDS_PER_UNREACHABLE_PROBE: Final = 2
_CONFIRM_WINDOW_S: Final = 5
# A loop that wakes later than this was paused; its timeouts prove nothing.
PAUSE_BOUND_S: Final = 1


class PendingProbe(NamedTuple):
    """A probe that awaits its answer."""

    target: Member
    started_s: float
    expires_s: float
    # Whether helpers were asked to probe too.
    is_indirect: bool = False
    # Number of helpers that got no answer either.
    nacks: int = 0
    # The node that requested the probe, and the ID that it gave it. Empty for
    # a probe that this node started itself.
    requester: str = ''
    requester_probe_id: int = 0


class ProbeState:
    """The probes in progress at one node."""

    def __init__(self, state: MembershipState, targets: Targets) -> None:
        """Start without probes."""
        self.state = state
        self.targets = targets
        self.health = LocalHealth()
        self.pending: dict[int, PendingProbe] = {}
        # Unknown senders and members of zones that came back, to synchronise
        # with.
        self.sync_candidates: list[str] = []
        self._last_probe_id = 0
        self._round_count = 0

    def next_probe_id(self) -> int:
        """Return an ID that no other probe of this node has."""
        self._last_probe_id += 1
        return self._last_probe_id

    def next_round(self) -> int:
        """Count a round of probes; return its number."""
        self._round_count += 1
        return self._round_count


def start_probe_round(
    probes: ProbeState, now_s: float
) -> Sequence[OutgoingMessage]:
    """Probe one member of this region and one of another region.

    Every second round also probes a member of an unreachable zone.
    """
    count = probes.next_round()
    drawn = [probes.targets.same_region(), probes.targets.other_region()]
    if count % _ROUNDS_PER_UNREACHABLE_PROBE == 0:
        drawn.append(probes.targets.unreachable())
    return [
        _start_probe(probes, member, now_s)
        for member in drawn
        if member is not None
    ]


def handle_datagram(
    probes: ProbeState,
    datagram: Datagram,
    now_s: float,
) -> Sequence[OutgoingMessage]:
    """Handle a datagram; return what to send in response."""
    state = probes.state
    merge(state, datagram.updates, now_s)
    sender = state.members.get(datagram.sender)
    if sender is None or record_received(state, sender.zone, now_s):
        probes.sync_candidates.append(datagram.sender)
    match datagram.kind:
        case DatagramKind.PROBE:
            return [
                OutgoingMessage(
                    datagram.sender, DatagramKind.ACK, datagram.probe_id
                )
            ]
        case DatagramKind.ACK:
            return _handle_ack(probes, datagram)
        case DatagramKind.NACK:
            _handle_nack(probes, datagram.probe_id)
        case DatagramKind.INDIRECT_PROBE:
            return _handle_indirect_probe(probes, datagram, now_s)
    return ()


def handle_timeouts(
    probes: ProbeState, now_s: float
) -> Sequence[OutgoingMessage]:
    """Handle overdue probes and suspicions; return what to send."""
    overdue = [
        probe_id
        for probe_id, pending in probes.pending.items()
        if now_s >= pending.expires_s
    ]
    outgoing: list[OutgoingMessage] = []
    for probe_id in overdue:
        outgoing.extend(_handle_probe_timeout(probes, probe_id, now_s))
    _confirm_deaths(probes.state, now_s)
    return outgoing


def handle_pause(probes: ProbeState, lag_s: float) -> None:
    """Drop pending probes and extend suspicions after a pause.

    Answers could not be received while this process was paused, so that
    their absence is no sign of failure.
    """
    probes.pending.clear()
    probes.health.record_failure()
    ends_s = probes.state.suspicion_ends_s
    for address in ends_s:
        ends_s[address] += lag_s


def _start_probe(
    probes: ProbeState,
    target: Member,
    now_s: float,
    requester: str = '',
    requester_probe_id: int = 0,
) -> OutgoingMessage:
    probe_id = probes.next_probe_id()
    factor = 1 if requester else probes.health.factor
    timeout_s = _DIRECT_TIMEOUT_S * factor
    probes.pending[probe_id] = PendingProbe(
        target,
        now_s,
        now_s + timeout_s,
        requester=requester,
        requester_probe_id=requester_probe_id,
    )
    return OutgoingMessage(target.address, DatagramKind.PROBE, probe_id)


def _handle_ack(
    probes: ProbeState,
    datagram: Datagram,
) -> Sequence[OutgoingMessage]:
    pending = probes.pending.pop(datagram.probe_id, None)
    if pending is None:
        return ()
    target = pending.target
    if pending.requester:
        relayed = OutgoingMessage(
            pending.requester,
            DatagramKind.ACK,
            pending.requester_probe_id,
            target.address,
        )
        return (relayed,)
    probes.health.record_success()
    known = probes.state.members.get(target.address)
    if known is not None and known.status is MemberStatus.LEAVING:
        probes.state.suspicion_ends_s.pop(target.address, None)
    return ()


def _handle_nack(probes: ProbeState, probe_id: int) -> None:
    pending = probes.pending.get(probe_id)
    if pending is not None:
        probes.pending[probe_id] = pending._replace(nacks=pending.nacks + 1)


def _handle_indirect_probe(
    probes: ProbeState,
    datagram: Datagram,
    now_s: float,
) -> Sequence[OutgoingMessage]:
    target = probes.state.members.get(datagram.target)
    if target is None:
        return ()
    sender, probe_id = datagram.sender, datagram.probe_id
    return (_start_probe(probes, target, now_s, sender, probe_id),)


def _handle_probe_timeout(
    probes: ProbeState,
    probe_id: int,
    now_s: float,
) -> Iterator[OutgoingMessage]:
    pending = probes.pending[probe_id]
    is_same_region = pending.target.region == probes.state.me.region
    if pending.requester:
        probes.pending.pop(probe_id)
        yield OutgoingMessage(
            pending.requester, DatagramKind.NACK, pending.requester_probe_id
        )
    elif is_same_region and not pending.is_indirect:
        yield from _request_indirect_probes(probes, probe_id, now_s)
    else:
        probes.pending.pop(probe_id)
        yield from _handle_probe_failure(probes, pending, now_s)


def _request_indirect_probes(
    probes: ProbeState,
    probe_id: int,
    now_s: float,
) -> Iterator[OutgoingMessage]:
    pending = probes.pending[probe_id]
    wait_s = _INDIRECT_TIMEOUT_S * probes.health.factor
    probes.pending[probe_id] = pending._replace(
        expires_s=now_s + wait_s,
        is_indirect=True,
    )
    target = pending.target.address
    drawn = {probes.targets.helper() for _ in range(_HELPER_COUNT)}
    for helper in drawn:
        if helper is not None and helper.address != target:
            yield OutgoingMessage(
                helper.address, DatagramKind.INDIRECT_PROBE, probe_id, target
            )


def _handle_probe_failure(
    probes: ProbeState,
    pending: PendingProbe,
    now_s: float,
) -> Iterator[OutgoingMessage]:
    state = probes.state
    if pending.is_indirect and not pending.nacks:
        probes.health.record_failure()
    current = state.members.get(pending.target.address)
    if current is None or current.status is MemberStatus.DEAD:
        return
    if record_probe_failure(state, current, pending.started_s, now_s):
        next_target = probes.targets.same_zone(current)
        if next_target is not None:
            yield _start_probe(probes, next_target, now_s)


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
        if may_confirm_death(state, member, now_s - _CONFIRM_WINDOW_S):
            state.put(member._replace(status=MemberStatus.DEAD), now_s)
