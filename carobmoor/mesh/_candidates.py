"""The backend servers that a request may be sent to."""

from carobmoor.mesh._peers import Peer
from carobmoor.mesh._pending_request import PendingRequest
from carobmoor.mesh._state import MeshNode


def candidates_for(node: MeshNode, pending: PendingRequest) -> list[Peer]:
    """Return the nodes whose server may run a request.

    First attempts, retries and hedges all choose among these, so that nothing
    is sent to a region that the request must not reach, or to an evacuated
    availability zone.
    """
    evacuated = node.peers.evacuation.zones
    candidates = [
        peer
        for peer in node.peers.for_service(pending.service)
        if peer.record.availability_zone not in evacuated
    ]
    regions = pending.regions
    if regions is None:
        return candidates
    return [peer for peer in candidates if peer.region in regions]
