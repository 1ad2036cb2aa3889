"""Asks the likely owners of a request for their load right before the choice.

The slowdown of a server changes many times a second. Load updates that are
sent at intervals are outdated by then, and sending each change to every node
of a region costs traffic that grows with the square of the region.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Final

from carobmoor.mesh._choose import RequestProfile, find_likely, is_idle
from carobmoor.mesh._datagrams import Query, encode_datagram
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._state import MeshNode
from carobmoor.routing import OTHER_REGION

# Loads of this age are used without asking.
_FRESH_S: Final = 0.02
# How long a choice waits for answers from other availability zones.
_MAX_WAIT_S: Final = 0.008
# The same for other regions, whose queues matter more than their slowdown.
_REMOTE_FRESH_S: Final = 0.3
_MAX_REMOTE_WAIT_S: Final = 0.03
# The slowdown in the answer to a query is this old at most.
_ANSWER_FRESH_S: Final = 0.03
_QUERY: Final = encode_datagram(Query())
# A query without an answer is sent again after this time.
_REPEAT_S: Final = 0.05


async def refresh_loads(
    node: MeshNode, profile: RequestProfile, candidates: Sequence[Peer]
) -> None:
    """Ask the likely owners for their load and wait briefly for the answers.

    Returns as soon as one reports that it is idle. An owner that did not
    answer in time keeps its last known load.
    """
    until_s = time.monotonic() + _MAX_WAIT_S
    asked = [
        peer
        for peer in find_likely(candidates, profile, time.monotonic(), node.rng)
        if _is_stale(peer)
    ]
    unanswered = {_ask(node, peer) for peer in asked}
    while unanswered and not any(
        is_idle(peer, time.monotonic()) and not _is_stale(peer)
        for peer in asked
    ):
        wait_s = until_s - time.monotonic()
        if wait_s <= 0:
            break
        _, unanswered = await asyncio.wait(
            unanswered,
            timeout=wait_s,
            return_when=asyncio.FIRST_COMPLETED,
        )


def update_own_load(node: MeshNode) -> None:
    """Record the present load of the own server as that of a peer."""
    now_s = time.monotonic()
    own = node.peers.find_by_ip(node.settings.ip)
    if own is not None:
        own.record_load(node.load(now_s), now_s)


async def refresh_remote(
    node: MeshNode, chosen: Peer, candidates: Sequence[Peer]
) -> Sequence[Peer]:
    """Return the candidates without those of other regions of unknown load.

    Asks the chosen one and one more first. When the own region is busy, the
    others often are too, and a request sent there in vain costs traffic.
    """
    remote = [peer for peer in candidates if peer.distance == OTHER_REGION]
    asked = {chosen, node.rng.choice(remote)}
    unanswered = {_ask(node, peer) for peer in asked if not _is_recent(peer)}
    if unanswered:
        await asyncio.wait(unanswered, timeout=_MAX_REMOTE_WAIT_S)
    known = [
        peer
        for peer in candidates
        if peer.distance != OTHER_REGION or _is_recent(peer)
    ]
    return known or candidates


def _is_recent(peer: Peer) -> bool:
    if peer.load is None:
        return False
    return time.monotonic() - peer.load_received_at_s <= _REMOTE_FRESH_S


def start_answer(node: MeshNode, ip: str) -> None:
    """Answer a query with the load of the own server, if the node is known.

    The answer has the present slowdown, so it may take a moment.
    """
    peer = node.peers.find_by_ip(ip)
    if peer is not None and (peer.answering is None or peer.answering.done()):
        peer.answering = asyncio.create_task(_answer(node, peer))


async def _answer(node: MeshNode, peer: Peer) -> None:
    if node.backend.reports_slowdown:
        await node.slowdown_monitor.refresh(_ANSWER_FRESH_S)
    load = node.load(time.monotonic())
    node.peers.send(peer, encode_datagram(load))


def _is_stale(peer: Peer) -> bool:
    if peer.load is None:
        return True
    return time.monotonic() - peer.load_received_at_s > _FRESH_S


def _ask(node: MeshNode, peer: Peer) -> 'asyncio.Future[None]':
    """Send a query unless one is under way; return the wait for its answer."""
    now_s = time.monotonic()
    answered = peer.query_answered
    if answered is None or answered.done():
        answered = asyncio.get_running_loop().create_future()
        peer.query_answered = answered
        peer.silent_since_s = now_s
    elif now_s - peer.queried_at_s < _REPEAT_S:
        return answered
    peer.queried_at_s = now_s
    node.peers.send(peer, _QUERY)
    return answered
