"""Choice of the members to probe and to send updates to."""

import random
from collections.abc import Callable
from typing import Final

from carobmoor.membership._messages import Member, MemberStatus
from carobmoor.membership._state import MembershipState

_SAME_REGION_SHARE: Final = 0.75


class ShuffledCycle:
    """Draws members in random order, each once before any is drawn again."""

    def __init__(self, accepts: Callable[[Member], bool]) -> None:
        """Draw only members for which `accepts` returns `True`."""
        self._accepts = accepts
        self._order: list[str] = []
        # The state's `change_count` when a refill last found no member.
        self._empty_at_change_count = -1

    def draw(
        self,
        state: MembershipState,
        rng: random.Random,
    ) -> Member | None:
        """Return the next member; `None` if none is accepted."""
        member = self._next(state)
        if member is None and self._empty_at_change_count != state.change_count:
            self._refill(state, rng)
            member = self._next(state)
        return member

    def _next(self, state: MembershipState) -> Member | None:
        while self._order:
            member = state.members.get(self._order.pop())
            if member is not None and self._accepts(member):
                return member
        return None

    def _refill(self, state: MembershipState, rng: random.Random) -> None:
        self._order = [
            address
            for address, member in state.members.items()
            if self._accepts(member)
        ]
        rng.shuffle(self._order)
        if not self._order:
            self._empty_at_change_count = state.change_count


class Targets:
    """Draws the members that one node contacts next."""

    def __init__(self, state: MembershipState, rng: random.Random) -> None:
        """Draw from the members of a state."""
        self._state = state
        self._rng = rng
        region = state.me.region

        def is_same_region(member: Member) -> bool:
            return member.region == region and self.is_eligible(member)

        def is_other_region(member: Member) -> bool:
            return member.region != region and self.is_eligible(member)

        def is_unreachable(member: Member) -> bool:
            is_dead = member.status is MemberStatus.DEAD
            return not is_dead and not state.is_reachable(member)

        self._same_region = ShuffledCycle(is_same_region)
        self._other_region = ShuffledCycle(is_other_region)
        self._unreachable = ShuffledCycle(is_unreachable)
        self._helpers = ShuffledCycle(is_same_region)

    def is_eligible(self, member: Member) -> bool:
        """Return whether a member is another node, not dead and reachable."""
        return (
            member.address != self._state.me.address
            and member.status is not MemberStatus.DEAD
            and self._state.is_reachable(member)
        )

    def same_region(self) -> Member | None:
        """Draw a member of this node's region."""
        return self._same_region.draw(self._state, self._rng)

    def other_region(self) -> Member | None:
        """Draw a member of another region."""
        return self._other_region.draw(self._state, self._rng)

    def unreachable(self) -> Member | None:
        """Draw a member of an unreachable zone."""
        return self._unreachable.draw(self._state, self._rng)

    def helper(self) -> Member | None:
        """Draw a member of this region to probe another one."""
        return self._helpers.draw(self._state, self._rng)

    def gossip_target(self) -> Member | None:
        """Draw a member to send updates to, mostly of this region."""
        if self._rng.random() < _SAME_REGION_SHARE:
            return (
                self._same_region.draw(self._state, self._rng)
                or self.other_region()
            )
        return self.other_region() or self.same_region()

    def same_zone(self, member: Member) -> Member | None:
        """Draw from all members of a member's zone, itself included."""
        addresses = tuple(self._state.zones[member.zone].members)
        if not addresses:
            return None
        return self._state.members[self._rng.choice(addresses)]
