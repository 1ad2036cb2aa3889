"""Choice of a few nodes per region for a duty, without coordination."""

import heapq
from collections.abc import Iterator
from typing import Final

import xxhash

from carobmoor.membership._messages import Member, MemberStatus
from carobmoor.membership._state import MembershipState

_ELIGIBLE: Final = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


def is_chosen(state: MembershipState, duty: str, count: int) -> bool:
    """Return whether this node is among `count` of its region for a duty.

    Nodes that disagree on the members may choose a few more or fewer, which
    is harmless for duties whose writes are conditional.
    """

    def weight(address: str) -> int:
        return xxhash.xxh64_intdigest(f'{duty} {address}'.encode())

    chosen = heapq.nsmallest(count, _eligible_in_region(state), key=weight)
    return state.me.address in chosen


def _eligible_in_region(state: MembershipState) -> Iterator[str]:
    region = state.me.region
    for address, member in state.members.items():
        if member.region == region and _is_eligible(state, member):
            yield address


def _is_eligible(state: MembershipState, member: Member) -> bool:
    return member.status in _ELIGIBLE and state.is_reachable(member)
