"""Telling an unreachable availability zone from dead members in it."""

from typing import Final

from carobmoor.membership._merge import suspect
from carobmoor.membership._messages import Member, Zone
from carobmoor.membership._state import MembershipState, ZoneState

# Failed probes, usually of different members, after which a whole zone counts
# as unreachable if no datagram came from it meanwhile. A zone with fewer
# members than this needs only as many failures as it has members.
_UNREACHABLE_AFTER_FAILURES: Final = 3


def record_received(state: MembershipState, zone: Zone, now_s: float) -> bool:
    """Record a datagram from a zone; return whether it just came back.

    As the zone answers, its members that left probes unanswered are suspected.
    If the whole zone was unreachable, that explains their silence, and none
    is suspected.
    """
    zone_state = state.zones[zone]
    zone_state.last_received_s = now_s
    zone_state.failed_probes = 0
    unanswered = tuple(zone_state.unanswered)
    zone_state.unanswered.clear()
    if zone_state.unreachable_since_s is not None:
        zone_state.unreachable_since_s = None
        state.notify_services(zone_state.members)
        return True
    for address in unanswered:
        suspect(state, address, now_s)
    return False


def record_probe_failure(
    state: MembershipState,
    member: Member,
    probed_at_s: float,
    now_s: float,
) -> bool:
    """Record an unanswered probe; return whether to probe its zone again.

    No member is suspected while its whole zone may be cut off. Members of
    other regions are suspected only by nodes of their own region.
    """
    is_same_region = member.region == state.me.region
    if member.zone == state.me.zone:
        if has_received_since(state, probed_at_s):
            suspect(state, member.address, now_s)
        return False
    zone = state.zones[member.zone]
    if zone.last_received_s >= probed_at_s:
        if is_same_region:
            suspect(state, member.address, now_s)
        return False
    if zone.unreachable_since_s is not None:
        return False
    if is_same_region:
        zone.unanswered.add(member.address)
    zone.failed_probes += 1
    if zone.failed_probes < min(_UNREACHABLE_AFTER_FAILURES, len(zone.members)):
        return True
    _make_unreachable(state, zone, now_s)
    return False


def has_received_since(state: MembershipState, since_s: float) -> bool:
    """Return whether any datagram was received from other nodes since then."""
    return any(zone.last_received_s >= since_s for zone in state.zones.values())


def may_confirm_death(
    state: MembershipState, member: Member, since_s: float
) -> bool:
    """Return whether a member with an expired suspicion may be called dead."""
    zone = state.zones[member.zone]
    if member.zone == state.me.zone:
        return has_received_since(state, since_s)
    return zone.unreachable_since_s is None and zone.last_received_s >= since_s


def _make_unreachable(
    state: MembershipState,
    zone: ZoneState,
    now_s: float,
) -> None:
    zone.unreachable_since_s = now_s
    zone.unanswered.clear()
    for address in zone.members:
        state.suspicion_ends_s.pop(address, None)
    state.notify_services(zone.members)
