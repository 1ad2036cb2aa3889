"""Telling an unreachable availability zone from dead members in it."""

from typing import Final

from carobmoor.membership._merge import suspect
from carobmoor.membership._messages import Member, Zone
from carobmoor.membership._state import MembershipState, ZoneState

# Consecutive failed probes, usually of different members, after which a whole
# zone counts as unreachable.
_FAILURES: Final = 3


def note_heard(state: MembershipState, zone: Zone, now_s: float) -> bool:
    """Record a datagram from a zone; return whether it just came back.

    The zone answers, so those of its members that did not become suspect. If
    the whole zone was unreachable, none of its members is suspected.
    """
    known = state.zones[zone]
    known.heard_at_s = now_s
    known.failures = 0
    accused = tuple(known.accused)
    known.accused.clear()
    if known.unreachable_since_s is not None:
        known.unreachable_since_s = None
        state.tell_services(known.members)
        return True
    for address in accused:
        suspect(state, address, now_s)
    return False


def note_failure(
    state: MembershipState,
    member: Member,
    probed_at_s: float,
    now_s: float,
) -> bool:
    """Record an unanswered probe; return whether to probe its zone again.

    No member is suspected while its whole zone may be cut off. Members of
    other regions are suspected only by nodes of their own region.
    """
    is_near = member.region == state.me.region
    if member.zone == state.me.zone:
        if is_hearing(state, probed_at_s):
            suspect(state, member.address, now_s)
        return False
    zone = state.zones[member.zone]
    if zone.heard_at_s >= probed_at_s:
        if is_near:
            suspect(state, member.address, now_s)
        return False
    if zone.unreachable_since_s is not None:
        return False
    if is_near:
        zone.accused.add(member.address)
    zone.failures += 1
    if zone.failures < min(_FAILURES, len(zone.members)):
        return True
    _make_unreachable(state, zone, now_s)
    return False


def is_hearing(state: MembershipState, since_s: float) -> bool:
    """Return whether any datagram was received from other nodes since then."""
    return any(zone.heard_at_s >= since_s for zone in state.zones.values())


def may_confirm(state: MembershipState, member: Member, since_s: float) -> bool:
    """Return whether a member with an expired suspicion may be called dead."""
    zone = state.zones[member.zone]
    if member.zone == state.me.zone:
        return is_hearing(state, since_s)
    return zone.unreachable_since_s is None and zone.heard_at_s >= since_s


def _make_unreachable(
    state: MembershipState,
    zone: ZoneState,
    now_s: float,
) -> None:
    zone.unreachable_since_s = now_s
    zone.accused.clear()
    for address in zone.members:
        state.suspicion_ends_s.pop(address, None)
    state.tell_services(zone.members)
