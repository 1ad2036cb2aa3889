"""What one node knows of all nodes."""

from collections.abc import Callable, Sequence

from carobmoor.membership._messages import Member, Standing


class MembershipState:
    """The members by address, this node's own entry among them."""

    def __init__(
        self,
        me: Member,
        on_change: Callable[[Member], None],
    ) -> None:
        """Start by knowing only this node; `on_change` hears of all news."""
        self.me = me
        self.members: dict[str, Member] = {me.address: me}
        self.changed_at_s: dict[str, float] = {}
        self.on_change = on_change

    def others(self) -> Sequence[Member]:
        """Give the other members that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.address != self.me.address
            and member.standing is not Standing.DEAD
        ]

    def keep(self, member: Member, now_s: float) -> None:
        """Keep the news of one member."""
        self.members[member.address] = member
        self.changed_at_s[member.address] = now_s
        self.on_change(member)
