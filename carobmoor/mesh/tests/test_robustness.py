"""Malformed messages, unexpected errors, pauses and late messages."""

import asyncio
import time
from unittest import mock

import msgspec
from nose2.tools import params
from result import Ok, Result

from carobmoor.mesh import ServerStatus, leave_mesh_node
from carobmoor.mesh._daemon import keep_running
from carobmoor.mesh._datagrams import (
    Hello,
    NodeRecord,
    decode_record,
    encode_datagram,
    encode_record,
)
from carobmoor.mesh._hop import Hop
from carobmoor.mesh._owner import run_on_backend
from carobmoor.mesh._owner_request import Body, OwnerRequest
from carobmoor.mesh.tests.fixtures import SERVICE, Mesh, running_mesh
from carobmoor.mesh.tests.scripted import NAMES
from carobmoor.mesh.tests.test_membership import run
from carobmoor.mesh.tests.test_other_region_gossip import gossip_with
from carobmoor.routes import RouteKind
from carobmoor.store import StoreFailure
from carobmoor.transport import IncomingRequest, JsonAnswer

PEER = NodeRecord('127.0.9.9', 7000, 5, 3, 'a', SERVICE, 'i-9', 4)
PEER_SOURCE = (PEER.ip, 7000)


@params('', 'no address', 'a..b', '127.0.0.256', '\0', 'x' * 300, '127.0.0')
def test_record_without_an_address_is_dropped(ip):
    """A record from another writer must not stop the gossip at sending."""
    record = msgspec.structs.replace(PEER, ip=ip)
    assert decode_record(encode_record(record)) is None
    gossip, sent = gossip_with(1)
    hello = Hello(record, 0, wants_reply=True)
    gossip.datagram_received(encode_datagram(hello), PEER_SOURCE)
    gossip.notify_change()
    gossip.tick(time.monotonic())
    assert ip not in sent.by_ip


@params(
    b'', b'[]', b'["h"]', b'["h",[1,2],3]', b'["q",1]', b'\xff', b'["l",{}]'
)
def test_malformed_datagram_is_dropped(content):
    """Bytes that are no datagram change nothing."""
    gossip, sent = gossip_with(1)
    gossip.datagram_received(content, PEER_SOURCE)
    assert not sent.by_ip


def test_late_record_does_not_revive_server():
    """A delayed older record of the same start is ignored."""
    gossip, _ = gossip_with(0)
    leaving = msgspec.structs.replace(PEER, revision=4, is_leaving=True)
    for record in (PEER, leaving, PEER):
        hello = Hello(record, 0, wants_reply=False)
        gossip.datagram_received(encode_datagram(hello), PEER_SOURCE)
    assert not gossip._node.peers.for_service(SERVICE)


def test_background_task_survives_an_error():
    """A task that fails is started again, and the error is logged."""
    runs: list[int] = []

    async def fail_once() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError('unexpected')

    asyncio.run(keep_running('test', fail_once, restart_s=0))
    assert len(runs) == 2


def test_request_past_its_deadline_is_not_sent():
    """After a pause at the owner, a request is not sent in vain."""

    async def check(mesh: Mesh) -> None:
        pair = mesh.nodes[0]
        lost = asyncio.get_running_loop().create_future()
        hop = Hop(
            SERVICE, RouteKind.NON_IDEMPOTENT, 1, -50, -50, 'r', False, 'd'
        )
        late = OwnerRequest(hop, b'late', 'GET', '/get/1', (), Body(), lost)
        ran = await run_on_backend(pair.node, late)
        assert ran.is_err()
        assert not pair.backend.received_requests

    run(check, 1)


def test_request_while_row_is_deleted():
    """A stopping node answers what it accepts while it deletes its row."""
    asyncio.run(_ask_while_row_is_deleted())


async def _ask_while_row_is_deleted() -> None:
    async def answer_slowly(request: IncomingRequest) -> None:
        await asyncio.sleep(0.4)
        request.respond(200, ((NAMES.signature, b'signed'),), b'done')

    async with running_mesh(None, answer_slowly) as mesh:
        stopping = mesh.nodes[0]
        last = stopping.node.backend.last_announcement
        stopping.announce(
            last._replace(status=ServerStatus.GONE, sequence=last.sequence + 1)
        )
        asking: list[asyncio.Task[JsonAnswer]] = []

        async def delete_slowly(*_: str) -> Result[None, StoreFailure]:
            asked = asyncio.create_task(mesh.ask(stopping, '/post/1', b'x'))
            asking.append(asked)
            await mesh.wait_until(lambda: stopping.node.callers.unfinished)
            return Ok(None)

        mesh.store.delete_row = delete_slowly
        with (
            mock.patch('carobmoor.mesh._leave._MIN_IDLE_S', 0.1),
            mock.patch('carobmoor.mesh._leave._REMOVE_ROW_TIMEOUT_S', 5),
        ):
            await leave_mesh_node(stopping)
        assert not stopping.node.callers.unfinished
        assert (await asking[0]).head.status == 200
