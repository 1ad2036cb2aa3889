"""Loads are asked for before a choice, and awaited for a moment."""

import asyncio

from carobmoor.mesh._choose import RequestProfile
from carobmoor.mesh._datagrams import Load, NodeRecord
from carobmoor.mesh._fresh_loads import refresh_loads
from carobmoor.mesh._peers import Peer
from carobmoor.mesh.tests.fixtures import SERVICE, Mesh

PROFILE = RequestProfile(SERVICE, 100, 120, 1)
IDLE = Load(1, 1, 1, 0, 0, 100, 100, 150, 1000, concurrency_limit=4)
SLOW = Load(1, 1, 1, 4, 9, 500, 100, 150, 1000, concurrency_limit=4)
OLD_S = 10.0


def test_old_idle_load_is_not_enough():
    """A server that was idle seconds ago is asked, and its answer awaited."""
    asyncio.run(_choose_after_answer())


async def _choose_after_answer() -> None:
    node = Mesh().make(1).node
    record = NodeRecord('127.0.9.9', 7000, 1, 1, 'a', SERVICE, 'i-9', 4)
    peer = node.peers.add_or_update(record, 'north')
    loop = asyncio.get_running_loop()
    peer.record_load(IDLE, loop.time() - OLD_S)

    def answer_soon(asked: Peer, _: bytes) -> None:
        loop.call_later(0.001, lambda: asked.record_load(SLOW, loop.time()))

    node.peers.send = answer_soon
    await refresh_loads(node, PROFILE, [peer])
    assert peer.load == SLOW
