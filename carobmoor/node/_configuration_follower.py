"""Connects the configuration follower of a node to its membership."""

import random
import time
from typing import Final

from carobmoor.configuration import (
    ConfigurationState,
    Follower,
    PeerAccess,
    ReportingNode,
)
from carobmoor.membership import Gossip, Member, MemberStatus, is_chosen
from carobmoor.store import Store
from carobmoor.transport import parse_address

_DUTY: Final = 'configuration'
_POLLERS_PER_REGION: Final = 2
_CHOICE_LIFETIME_S: Final = 10


def make_follower(
    store: Store,
    state: ConfigurationState,
    gossip: Gossip,
) -> Follower:
    """Create the follower of a node, which receives versions by gossip."""
    follower = Follower(
        store, state, _make_peer_access(gossip), random.Random()
    )

    def on_version(sender: Member, version: int) -> None:
        zone = f'{sender.region}/{sender.availability_zone}'
        follower.record_peer_version(
            ReportingNode(sender.address, zone), version
        )

    gossip.on_version = on_version
    return follower


def _make_peer_access(gossip: Gossip) -> PeerAccess:
    members = gossip.state
    choice = _CachedPollerChoice()

    async def ask(address: str, target: str, body: bytes) -> bytes | None:
        return await gossip.peers.post(parse_address(address), target, body)

    def of_service(service: str) -> list[str]:
        return [
            member.address
            for member in members.of_service(service)
            if member.status is MemberStatus.ALIVE
            and member.address != members.me.address
            and members.is_reachable(member)
        ]

    def is_poller() -> bool:
        return choice.is_chosen(gossip)

    def count_others() -> int:
        return members.live_count - 1

    def count_zones() -> int:
        return len({member.zone for member in members.others()})

    return PeerAccess(
        ask,
        of_service,
        is_poller,
        count_others,
        count_zones,
        lambda: count_others() > 0,
    )


class _CachedPollerChoice:
    """Caches for some seconds whether this node is chosen as a poller."""

    def __init__(self) -> None:
        self._is_chosen = False
        self._expires_s = float(0)

    def is_chosen(self, gossip: Gossip) -> bool:
        now_s = time.monotonic()
        if now_s >= self._expires_s:
            self._expires_s = now_s + _CHOICE_LIFETIME_S
            self._is_chosen = is_chosen(
                gossip.state,
                _DUTY,
                _POLLERS_PER_REGION,
            )
        return self._is_chosen
