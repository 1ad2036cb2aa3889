"""Which nodes of a region watch the store for all of them.

Each change of the watched table costs one call of every watcher, so a few
nodes of a region watch and the others take the routes from them.
"""

from typing import Final

import xxhash

from carobmoor.mesh._peers import Peer
from carobmoor.mesh._state import MeshNode
from carobmoor.routing import FAR

# One may be cut off silently and another be stopping while a third tells.
_WATCHERS: Final = 3


def is_watcher(node: MeshNode, now_s: float) -> bool:
    """Tell whether it is on this node to watch the store.

    Nodes stand in an order that all of them compute alike. A node that seems
    down, or has lost the store, has no place in it.
    """
    own_place = _place(node.settings.ip)
    ahead = sum(
        1
        for peer in node.peers
        if _may_watch(peer, now_s) and _place(peer.record.ip) < own_place
    )
    return ahead < _WATCHERS


def _may_watch(peer: Peer, now_s: float) -> bool:
    if peer.is_self or peer.distance == FAR or peer.down_until_s > now_s:
        return False
    return peer.load is not None and peer.load.has_store


def _place(ip: str) -> int:
    """Mix the order, so that watchers stand in several zones."""
    return xxhash.xxh32_intdigest(ip.encode())
