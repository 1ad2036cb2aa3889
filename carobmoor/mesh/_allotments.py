"""Starts of requests within the allotments of their teams."""

import asyncio
from collections.abc import Sequence
from typing import Final

from carobmoor.allotments import (
    Message,
    NodeView,
    Refusal,
    heard_nodes,
)
from carobmoor.clock import boot_time_s
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._state import MeshNode
from carobmoor.outcomes import Code, Failure, NotRun
from carobmoor.routing import OTHER_REGION

# Waits for the keeper's answer; after each the ask is repeated.
_WAITS_S: Final = (0.04, 0.12)
_LAST_WAIT_S: Final = 0.1
_REVIEW_INTERVAL_S: Final = 0.1


class AllotmentReview:
    """Tells the allotments of a node which other nodes it hears from."""

    def __init__(self, node: MeshNode) -> None:
        """Start due at once."""
        self._node = node
        self._due_s = float(0)

    def run_if_due(self, now_s: float, interval_s: float) -> None:
        """Do what is due; `interval_s` is that of load updates."""
        allotments = self._node.allotments
        if now_s < self._due_s or not allotments.is_used:
            return
        self._due_s = now_s + _REVIEW_INTERVAL_S
        if self._node.store_availability.has_read_members:
            self._update_nodes(now_s, interval_s)
        allotments.tick(boot_time_s())

    def _update_nodes(self, now_s: float, interval_s: float) -> None:
        peers = tuple(self._node.peers)
        ages_s = {
            peer.record.ip: now_s - peer.last_update_s
            for peer in peers
            if peer.distance != OTHER_REGION and not peer.is_self
        }
        heard = heard_nodes(ages_s, interval_s)
        self._node.allotments.update_nodes(
            [_view_of(peer, heard) for peer in peers],
            _total_nodes(peers),
            boot_time_s(),
        )


def _total_nodes(peers: Sequence[Peer]) -> int:
    """Return the number of nodes that this node or another one knows.

    A node reads the rows of all others once, perhaps before all are written.
    """
    reported = (
        peer.load.known_nodes for peer in peers if peer.load is not None
    )
    return max(len(peers), max(reported, default=0))


def _view_of(peer: Peer, heard: frozenset[str]) -> NodeView:
    ip = peer.record.ip
    is_heard = peer.distance == OTHER_REGION or ip in heard
    is_alive = peer.is_self or (is_heard and not peer.record.is_leaving)
    return NodeView(ip, peer.region, is_alive)


def receive_allotment(node: MeshNode, message: Message, ip: str) -> None:
    """Handle a message of another node; one of an unknown node is dropped."""
    if node.peers.find_by_ip(ip) is not None:
        node.allotments.receive(message, ip, boot_time_s())


async def take_start(node: MeshNode, pending: PendingRequest) -> Failure | None:
    """Take one start of the team's allotment; return why it was refused."""
    if pending.team is None or not pending.team.rate_per_s:
        return None
    team = pending.team.name
    decided: asyncio.Future[Refusal | None] = (
        asyncio.get_running_loop().create_future()
    )
    number = node.allotments.begin(team, boot_time_s(), decided.set_result)
    if number is not None:
        await _wait_for_decision(node, number, decided)
    refusal = decided.result()
    label = node.allotments.label_of(team)
    own = str(node.settings.node_address)
    if refusal is None:
        pending.holds_start = True
        node.metrics.cluster.allotment_starts.labels(label, 'granted').inc()
        return None
    if refusal.is_unknown:
        node.metrics.cluster.allotment_starts.labels(label, 'no_keeper').inc()
        return NotRun(Code.ALLOTMENT_UNKNOWN, 'allotment', own, team)
    node.metrics.cluster.allotment_starts.labels(label, 'over').inc()
    pending.allotment_wait_s = refusal.wait_s
    return NotRun(Code.OVER_ALLOTMENT, 'allotment', own, team)


async def _wait_for_decision(
    node: MeshNode, number: int, decided: asyncio.Future[Refusal | None]
) -> None:
    """Wait until the decision is made; a keeper's silence ends in a refusal."""
    allotments = node.allotments
    try:
        for wait_s in _WAITS_S:
            await asyncio.wait((decided,), timeout=wait_s)
            if decided.done():
                return
            allotments.repeat(number, boot_time_s())
        await asyncio.wait((decided,), timeout=_LAST_WAIT_S)
    finally:
        allotments.give_up(number, boot_time_s())


def return_unused_start(
    node: MeshNode, pending: PendingRequest, failure: Failure | None
) -> None:
    """Give the start back if the request surely did not run.

    `failure` is `None` if its caller is gone.
    """
    if not pending.holds_start or pending.team is None:
        return
    is_unsent = not pending.tried
    is_refused = isinstance(failure, NotRun) and not pending.may_have_run
    if is_unsent or is_refused:
        pending.holds_start = False
        node.allotments.return_start(pending.team.name)
        label = node.allotments.label_of(pending.team.name)
        node.metrics.cluster.allotment_starts.labels(label, 'returned').inc()
