"""Merging updates about members into a node's state."""

import math
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from carobmoor.membership._messages import Member, MemberStatus
from carobmoor.membership._state import MembershipState

_MIN_SUSPICION_S: Final = 2
_SUSPICION_S_PER_DECADE: Final = 2
# How long dead members are kept, so that late updates can't revive them.
DEAD_RETENTION_S: Final = 86_400
# How long members of an unreachable zone are kept. Well below the above, so
# that a node that still holds them meets nodes that remember their deaths.
UNREACHABLE_RETENTION_S: Final = 21_600


class _Precedence(NamedTuple):
    incarnation: int
    status: int
    service: str
    region: str
    availability_zone: str


def merge(
    state: MembershipState,
    updates: Iterable[Member],
    now_s: float,
) -> int:
    """Apply the updates that are newer than the state; return their count.

    Merging is commutative, associative and idempotent, so that updates may
    arrive late, twice and in any order.
    """
    applied = 0
    for member in updates:
        if member.address == state.me.address:
            _refute(state, member, now_s)
        elif _is_newer(state, member):
            state.put(member, now_s)
            _start_suspicion(state, member, now_s)
            applied += 1
        else:
            _handle_outdated(state, member)
    return applied


def corrections(
    state: MembershipState,
    received: Sequence[Member],
) -> Sequence[Member]:
    """Return the entries of the state that override the received ones."""
    known = [state.members.get(member.address) for member in received]
    return [
        ours
        for ours, theirs in zip(known, received, strict=True)
        if ours is not None and _precedence(ours) > _precedence(theirs)
    ]


def suspicion_timeout_s(state: MembershipState) -> float:
    """Return the time to refute a suspicion; grows with the cluster size."""
    decades = math.log10(max(1, state.live_count))
    return max(_MIN_SUSPICION_S, _SUSPICION_S_PER_DECADE * decades)


def suspect(state: MembershipState, address: str, now_s: float) -> None:
    """Record that a member did not answer.

    A leaving member keeps its status, but it too is declared dead if it does
    not answer in time.
    """
    member = state.members.get(address)
    if member is None or member.status is MemberStatus.DEAD:
        return
    if member.status is MemberStatus.ALIVE:
        member = member._replace(status=MemberStatus.SUSPECT)
        state.put(member, now_s)
    _set_suspicion_end(state, member, now_s)


def set_own_status(
    state: MembershipState,
    status: MemberStatus,
    now_s: float,
) -> None:
    """Change the status that this node announces of itself."""
    state.me = state.me._replace(
        status=status,
        incarnation=state.me.incarnation + 1,
    )
    state.put(state.me, now_s)


def remove_expired(state: MembershipState, now_s: float) -> None:
    """Remove members long dead and members of zones long unreachable."""
    expired = [
        address
        for address, since_s in state.dead_since_s.items()
        if now_s - since_s >= DEAD_RETENTION_S and address != state.me.address
    ]
    for zone in state.zones.values():
        since_s = zone.unreachable_since_s
        if since_s is not None and now_s - since_s >= UNREACHABLE_RETENTION_S:
            expired.extend(zone.members)
    for address in expired:
        state.remove(address)


def _refute(state: MembershipState, update: Member, now_s: float) -> None:
    me = state.me
    if update.incarnation < me.incarnation or update == me:
        return
    if me.status is MemberStatus.DEAD:
        return
    state.me = me._replace(incarnation=update.incarnation + 1)
    state.put(state.me, now_s)


def _start_suspicion(
    state: MembershipState,
    member: Member,
    now_s: float,
) -> None:
    # Only nodes of the member's region may declare it dead; others may be cut
    # off from its refutation.
    is_same_region = member.region == state.me.region
    if member.status is MemberStatus.SUSPECT and is_same_region:
        _set_suspicion_end(state, member, now_s)


def _set_suspicion_end(
    state: MembershipState,
    member: Member,
    now_s: float,
) -> None:
    ends_s = now_s + suspicion_timeout_s(state)
    state.suspicion_ends_s.setdefault(member.address, ends_s)


def _handle_outdated(state: MembershipState, received: Member) -> None:
    """Queue what an outdated update shows to be unknown to other nodes.

    That is a newer entry, for the member itself, or its death, for all.
    """
    known = state.members[received.address]
    if received.incarnation < known.incarnation:
        state.outdated_nodes.add(received.address)
    is_reported_live = received.status is not MemberStatus.DEAD
    if known.status is MemberStatus.DEAD and is_reported_live:
        state.updates.add(received.address)


def _is_newer(state: MembershipState, member: Member) -> bool:
    known = state.members.get(member.address)
    return known is None or _precedence(member) > _precedence(known)


def _precedence(member: Member) -> _Precedence:
    # Service, region and zone only break ties between entries that should not
    # both exist, so that every node keeps the same one.
    return _Precedence(
        member.incarnation,
        member.status.value,
        member.service,
        member.region,
        member.availability_zone,
    )
