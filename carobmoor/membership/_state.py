"""What one node knows about all members."""

import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from carobmoor.membership._digest import BUCKET_COUNT, bucket_of, member_digest
from carobmoor.membership._messages import Member, MemberStatus, Zone
from carobmoor.membership._updates import UpdateQueue


class ZoneState:
    """Reachability of an availability zone from this node."""

    def __init__(self) -> None:
        """Start reachable."""
        self.members: dict[str, None] = {}
        self.last_received_s = float(0)
        # Probes that failed since the last datagram from the zone.
        self.failed_probes = 0
        # Members whose probes are among these. Empty for a zone of another
        # region, whose members are suspected by nodes of that region only.
        self.unanswered: set[str] = set()
        self.unreachable_since_s: float | None = None


class MembershipState:
    """The members by address, including this node's own entry.

    The indexes by service and by availability zone and the bucket digests are
    updated with every change.
    """

    def __init__(
        self,
        me: Member,
        on_change: Callable[[str], None],
    ) -> None:
        """Start with this node as the only member.

        `on_change` is called with the service of each member that changed.
        """
        self.me = me
        self.members: dict[str, Member] = {}
        self.services: defaultdict[str, dict[str, None]] = defaultdict(dict)
        self.zones: defaultdict[Zone, ZoneState] = defaultdict(ZoneState)
        self.digests = list(bytes(BUCKET_COUNT))
        self.updates = UpdateQueue()
        # When an unrefuted suspicion becomes a death, by address.
        self.suspicion_ends_s: dict[str, float] = {}
        self.dead_since_s: dict[str, float] = {}
        # Members to be sent their own entry, since an older one was received.
        self.outdated_nodes: set[str] = set()
        self.on_change = on_change
        # Number of changes of the members and of their reachability.
        self.change_count = 0
        self.put(me, 0)

    @property
    def live_count(self) -> int:
        """Number of members that are not dead, including this node."""
        return len(self.members) - len(self.dead_since_s)

    def others(self) -> Sequence[Member]:
        """Return the other members that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.address != self.me.address
            and member.status is not MemberStatus.DEAD
        ]

    def of_service(self, service: str) -> Sequence[Member]:
        """Return the members of one service, including dead ones."""
        addresses = self.services.get(service, ())
        return [self.members[address] for address in addresses]

    def is_reachable(self, member: Member) -> bool:
        """Return whether the member's availability zone answers this node."""
        zone = self.zones.get(member.zone)
        return zone is None or zone.unreachable_since_s is None

    def put(self, member: Member, now_s: float) -> None:
        """Store a member and queue it as an update for other nodes."""
        member = member._replace(
            service=sys.intern(member.service),
            region=sys.intern(member.region),
            availability_zone=sys.intern(member.availability_zone),
        )
        self._unindex(self.members.get(member.address))
        self._index(member, now_s)
        if member.status is not MemberStatus.SUSPECT:
            self.suspicion_ends_s.pop(member.address, None)
        self.outdated_nodes.discard(member.address)
        self.updates.add(member.address)
        self.change_count += 1
        self.on_change(member.service)

    def remove(self, address: str) -> None:
        """Remove a member from the state and its indexes."""
        member = self.members.get(address)
        if member is not None:
            self._unindex(member)
            self.members.pop(address)
            self.change_count += 1
            self.on_change(member.service)

    def notify_services(self, addresses: Iterable[str]) -> None:
        """Call `on_change` for members whose reachability changed."""
        self.change_count += 1
        services = {self.members[known].service for known in addresses}
        for service in services:
            self.on_change(service)

    def _index(self, member: Member, now_s: float) -> None:
        address = member.address
        self.members[address] = member
        self.services[member.service][address] = None
        self.digests[bucket_of(address)] ^= member_digest(member)
        if member.status is MemberStatus.DEAD:
            self.dead_since_s[address] = now_s
        else:
            self.zones[member.zone].members[address] = None

    def _unindex(self, member: Member | None) -> None:
        if member is None:
            return
        address = member.address
        self.digests[bucket_of(address)] ^= member_digest(member)
        self.services[member.service].pop(address, None)
        if not self.services[member.service]:
            self.services.pop(member.service)
        self.zones[member.zone].members.pop(address, None)
        self.dead_since_s.pop(address, None)
