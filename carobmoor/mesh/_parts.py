"""The components of a mesh node that own its tasks and sockets."""

import functools

from carobmoor.mesh._announcements import (
    ANNOUNCEMENT_LIMITS,
    AnnouncementHandler,
    DecodeAnnouncement,
    serve_readiness,
)
from carobmoor.mesh._forward import is_idempotent, serve_caller
from carobmoor.mesh._freshness_keeper import FreshnessKeeper
from carobmoor.mesh._gossip import GossipProtocol
from carobmoor.mesh._own_row import OwnRow
from carobmoor.mesh._peer_requests import node_limits, serve_peer
from carobmoor.mesh._request_log import serve_metrics
from carobmoor.mesh._route_follower import RouteFollower, RouteSource
from carobmoor.mesh._state import MeshNode
from carobmoor.store import Store
from carobmoor.transport import Listener, ServingLimits


class MeshParts:
    """The components of one node that own its tasks and sockets."""

    def __init__(
        self,
        node: MeshNode,
        store: Store,
        source: RouteSource,
        decode_announcement: DecodeAnnouncement,
    ) -> None:
        """Create the components around a node; nothing runs yet."""
        self.node = node
        account = node.node_pool.account
        self.follower = RouteFollower(node, store, source)
        self.gossip = GossipProtocol(node, self.follower.fetch_version)
        self.freshness_keeper = FreshnessKeeper(node, self.follower)
        self.own_row = OwnRow(node, store, self.gossip)
        self.callers = Listener(
            functools.partial(serve_caller, node),
            node.limits,
            functools.partial(is_idempotent, node),
            account,
        )
        node.metrics.overlapped_requests.set_function(
            lambda: self.callers.overlapped
        )
        node.metrics.held_answer_bytes.set_function(
            lambda: self.callers.held.total_bytes
        )
        node.metrics.held_bytes.set_function(lambda: account.held_bytes)
        self.nodes = Listener(
            functools.partial(serve_peer, node),
            functools.partial(node_limits, node),
            account=account,
        )
        node.metrics.shed_connections.set_function(
            lambda: self.callers.guard.shed + self.nodes.guard.shed
        )
        self.readiness = Listener(
            functools.partial(serve_readiness, node),
            ServingLimits,
            account=account,
            is_control=True,
        )
        self.metrics = Listener(
            functools.partial(serve_metrics, node),
            ServingLimits,
            account=account,
            is_control=True,
        )
        self.announcements = Listener(
            AnnouncementHandler(
                node, self.gossip, self.own_row, decode_announcement
            ).serve,
            lambda: ANNOUNCEMENT_LIMITS,
            account=account,
            is_control=True,
        )
