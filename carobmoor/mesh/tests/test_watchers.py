"""A few nodes of a region watch the store; all get its versions."""

import functools
import time
from collections.abc import Sequence
from typing import Any

from nose2.tools import params

from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.mesh._watchers import is_watcher
from carobmoor.mesh.tests.fixtures import Mesh, make_route, make_table
from carobmoor.mesh.tests.test_membership import run
from carobmoor.transport import Address
from stand_ins.deployment import free_port

WATCHERS = 3
NODES = 6
# Enough that some precede the node under test in any order.
OTHERS = 40
VERSIONS = range(2, 8)
IN_FORCE_S = 2.0


def test_version_costs_one_store_call_per_watcher():
    """A version costs one store call per watcher, not one per node."""

    async def use(mesh: Mesh) -> None:
        await mesh.wait_until(lambda: len(_watching(mesh)) == WATCHERS)
        mesh.store.calls.clear()
        for version in VERSIONS:
            mesh.publish(make_table(version, make_route()))
            written_s = time.monotonic()
            await mesh.wait_until(
                functools.partial(_all_have_version, mesh, version)
            )
            assert time.monotonic() - written_s < IN_FORCE_S
        most = WATCHERS * (len(VERSIONS) + 1)
        assert len(mesh.store.calls) <= most, mesh.store.calls

    run(use, NODES)


def test_dead_watchers_are_replaced():
    """Watchers that die are replaced, and versions still spread."""

    async def use(mesh: Mesh) -> None:
        await mesh.wait_until(lambda: len(_watching(mesh)) == WATCHERS)
        for pair in _watching(mesh):
            for task in pair.tasks:
                task.cancel()
            pair.gossip.close()
            pair.nodes.stop_accepting()
            mesh.nodes.remove(pair)
        await mesh.wait_until(lambda: len(_watching(mesh)) == NODES - WATCHERS)
        mesh.publish(make_table(2, make_route()))
        await mesh.wait_until(lambda: _all_have_version(mesh, 2))

    run(use, NODES)


def test_store_is_read_when_node_does_not_answer():
    """A version that a node reports but does not send comes from the store."""

    async def use(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        mesh.publish(make_table(2, make_route()))
        silent = _record('127.0.2.99', free_port('127.0.2.99'))
        peer = pair.node.peers.add_or_update(silent, 'north')
        pair.follower.fetch_version(2, peer)
        await mesh.wait_until(lambda: pair.node.version == 2)

    run(use, 1)


@params(
    ('alone', 0, {}, True),
    ('all well', OTHERS, {}, False),
    ('all down', OTHERS, {'is_down': True}, True),
    ('no store', OTHERS, {'has_store': False}, True),
    ('no load report', OTHERS, {'has_load': False}, True),
    ('far', OTHERS, {'region': 'south'}, True),
)
def test_only_live_nodes_with_the_store_watch(_, others, other, expected):
    """Only live nodes of the region that reach the store are counted."""
    node = Mesh().make(1).node
    now_s = time.monotonic()
    for place in range(others):
        _add_peer(node, place, other, now_s)
    assert is_watcher(node, now_s) == expected


def test_three_nodes_of_a_region_watch():
    """Exactly `WATCHERS` nodes of a region consider themselves watchers."""
    mesh = Mesh()
    nodes = [mesh.make(place).node for place in range(1, 31)]
    now_s = time.monotonic()
    for node in nodes:
        for other in nodes:
            if other is not node:
                peer = node.peers.add_or_update(other.record(), 'north')
                peer.record_load(_load(has_store=True), now_s)
    watching = [node for node in nodes if is_watcher(node, now_s)]
    assert len(watching) == WATCHERS


def _watching(mesh: Mesh) -> Sequence[Any]:
    now_s = time.monotonic()
    return [one for one in mesh.nodes if is_watcher(one.node, now_s)]


def _all_have_version(mesh: Mesh, version: int) -> bool:
    return all(one.node.version == version for one in mesh.nodes)


def _add_peer(node: Any, place: int, other: Any, now_s: float) -> None:
    record = _record(f'127.0.3.{place}', 1)
    peer = node.peers.add_or_update(record, other.get('region', 'north'))
    if other.get('has_load', True):
        peer.record_load(_load(other.get('has_store', True)), now_s)
    if other.get('is_down', False):
        peer.avoided_until_s = now_s + 1


def _record(ip: str, port: int) -> NodeRecord:
    address = Address(ip, port)
    return NodeRecord(address.ip, address.port, 1, 0, 'b', 'bookings', 'i', 4)


def _load(has_store: bool) -> Load:
    return Load(1, 0, 1, 0, 0, 100, 100, 150, 1000, has_store)
