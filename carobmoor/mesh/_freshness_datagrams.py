"""Questions of other nodes about freshness, and their answers."""

from collections.abc import Callable

from carobmoor.clock import boot_time_s
from carobmoor.freshness import (
    Answer,
    answer_question,
    record_answer,
)
from carobmoor.mesh._datagrams import (
    Datagram,
    FreshnessAnswer,
    FreshnessQuery,
    encode_datagram,
)
from carobmoor.mesh._peers import Peer
from carobmoor.mesh._state import MeshNode


def handle_freshness(
    node: MeshNode,
    datagram: Datagram | None,
    ip: str,
    on_version: Callable[[int, Peer], None],
) -> None:
    """Answer a known node's question, or record its answer.

    Calls `on_version` if the answer names a version that is newer than the
    one in force here. Other datagrams are ignored.
    """
    peer = node.peers.find_by_ip(ip)
    if peer is None:
        return
    if isinstance(datagram, FreshnessQuery):
        _answer(node, peer, datagram)
    elif isinstance(datagram, FreshnessAnswer):
        availability = node.store_availability
        availability.freshness = record_answer(
            availability.freshness,
            Answer(datagram.question, datagram.version, datagram.age_ms),
            node.version,
        )
        if datagram.version > node.version:
            on_version(datagram.version, peer)


def _answer(node: MeshNode, peer: Peer, query: FreshnessQuery) -> None:
    answer = answer_question(
        node.store_availability.freshness,
        query.question,
        node.version,
        boot_time_s(),
    )
    if answer is not None:
        node.peers.send(peer, encode_datagram(FreshnessAnswer(*answer)))
