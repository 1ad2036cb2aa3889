"""How news of a member changes what a node knows."""

from collections.abc import Iterable
from typing import Final

from carobmoor.membership._messages import Member, Standing
from carobmoor.membership._state import MembershipState

_REFUTED: Final = frozenset((Standing.SUSPECT, Standing.DEAD))


def merge(
    state: MembershipState,
    news: Iterable[Member],
    now_s: float,
) -> int:
    """Take the news that is newer than what is known; count it.

    Merging is commutative, associative and idempotent, so that news may come
    late, twice and in any order.
    """
    taken = 0
    for member in news:
        if member.address == state.me.address:
            _refute(state, member, now_s)
        elif _is_newer(state, member):
            state.keep(member, now_s)
            taken += 1
    return taken


def suspect(state: MembershipState, address: str, now_s: float) -> None:
    """Note that a member did not answer."""
    member = state.members.get(address)
    if member is not None and member.standing is Standing.ALIVE:
        state.keep(member._replace(standing=Standing.SUSPECT), now_s)


def confirm_dead(
    state: MembershipState,
    suspicion_s: float,
    now_s: float,
) -> None:
    """Declare dead whoever was suspect for `suspicion_s`."""
    for member in tuple(state.members.values()):
        since_s = state.changed_at_s.get(member.address, now_s)
        overdue = now_s - since_s >= suspicion_s
        if member.standing is Standing.SUSPECT and overdue:
            state.keep(member._replace(standing=Standing.DEAD), now_s)


def declare_self(
    state: MembershipState,
    standing: Standing,
    now_s: float,
) -> None:
    """Change the standing that this node tells of itself."""
    state.me = state.me._replace(
        standing=standing,
        incarnation=state.me.incarnation + 1,
    )
    state.keep(state.me, now_s)


def _refute(state: MembershipState, news: Member, now_s: float) -> None:
    me = state.me
    stale = news.incarnation < me.incarnation
    if stale or (news.standing not in _REFUTED and news == me):
        return
    if news.incarnation > me.incarnation or news.standing in _REFUTED:
        state.me = me._replace(incarnation=news.incarnation + 1)
        state.keep(state.me, now_s)


def _is_newer(state: MembershipState, member: Member) -> bool:
    known = state.members.get(member.address)
    if known is None:
        return True
    return _precedence(member) > _precedence(known)


def _precedence(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.standing.value)
