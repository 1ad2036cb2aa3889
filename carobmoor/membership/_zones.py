"""Whether a silent availability zone is cut off, or one of its nodes dead."""

from typing import Final

from carobmoor.membership._merge import suspect
from carobmoor.membership._messages import Member, Zone
from carobmoor.membership._state import MembershipState, ZoneState

# Failed probes to different members that make a whole zone unreachable.
_FAILURES: Final = 3


def note_heard(state: MembershipState, zone: Zone, now_s: float) -> bool:
    """Note a sign of life from a zone; tell whether it just came back.

    The zone answers, so those of its members that did not are suspect. When
    the whole zone was cut off, its members get a new start instead.
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
    """Judge a probe that got no answer; tell whether to try its zone again.

    Nothing is held against one member as long as its whole zone may be cut
    off. Members of other regions are judged by nodes of their own region.
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
    """Tell whether anything at all was heard from other nodes since then."""
    return any(zone.heard_at_s >= since_s for zone in state.zones.values())


def may_confirm(state: MembershipState, member: Member, since_s: float) -> bool:
    """Tell whether a suspicion that ran out may be called a death."""
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
