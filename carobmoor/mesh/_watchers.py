"""Selection of the nodes of a region that watch the store for all of them.

Each change of the watched table costs one store call per watcher, so only a
few nodes of a region watch and the others fetch the routes from them.
"""

import time
from typing import Final

import xxhash

from carobmoor.mesh._peers import Peer
from carobmoor.mesh._state import MeshNode
from carobmoor.routing import OTHER_REGION

# One may be cut off unnoticed and another be stopping; a third still works.
_WATCHER_COUNT: Final = 3


def is_watcher(node: MeshNode, now_s: float) -> bool:
    """Return whether this node should watch the store.

    The first few nodes of an order that all nodes compute alike do so. Other
    nodes that seem down, sent no load report or lost the store are left out.
    """
    own_key = _order_key(node.settings.ip)
    ahead = sum(
        1
        for peer in node.peers
        if _is_candidate(peer, now_s) and _order_key(peer.record.ip) < own_key
    )
    return ahead < _WATCHER_COUNT


def watchers_of(node: MeshNode) -> list[Peer]:
    """Return the nodes that should watch the store, in their order.

    This node is one of them unless its own calls to the store fail.
    """
    now_s = time.monotonic()
    has_store = node.store_availability.has_store
    candidates = [
        peer
        for peer in node.peers
        if (peer.is_self and has_store) or _is_candidate(peer, now_s)
    ]
    candidates.sort(key=lambda peer: _order_key(peer.record.ip))
    return candidates[:_WATCHER_COUNT]


def _is_candidate(peer: Peer, now_s: float) -> bool:
    if (
        peer.is_self
        or peer.distance == OTHER_REGION
        or peer.avoided_until_s > now_s
    ):
        return False
    return peer.load is not None and peer.load.has_store


def _order_key(ip: str) -> int:
    """Hash the address, so that watchers spread over several zones."""
    return xxhash.xxh32_intdigest(ip.encode())
