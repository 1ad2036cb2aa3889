"""Answers that a stopping node has taken but not yet sent."""

import asyncio
import socket
from collections.abc import Callable
from unittest import mock

from nose2.tools import params

from carobmoor.mesh import MeshNode, leave_mesh_node
from carobmoor.mesh.tests.fixtures import (
    HOST,
    Mesh,
    NodeWithServer,
    make_route,
    make_table,
    ready_announcement,
    running_mesh,
)
from carobmoor.mesh.tests.scripted import NAMES, id_header
from carobmoor.routes import RouteKind
from carobmoor.transport import (
    Address,
    ConnectionPool,
    IncomingRequest,
    OutgoingRequest,
    send,
)

PIECE = b'x' * 32_768
LAST_CHUNK = b'\r\n0\r\n\r\n'
TIMEOUT_MS = 20_000
STOP_MS = 15_000
MIN_IDLE_S = 0.1
# Far beyond the idle time after which a node without requests stops.
UNREAD_S = 1
WINDOW_BYTES = 4096
REQUEST = (
    f'GET /get/1 HTTP/1.1\r\nhost: {HOST}\r\n'
    f'{NAMES.request_id.decode()}: request-1\r\n'
    f'{NAMES.deadline_ms.decode()}: {TIMEOUT_MS}\r\n\r\n'
).encode()


def _unsent_bytes(pair: NodeWithServer) -> int:
    """Return what a node has written and the kernel has not taken."""
    connections = (*pair.callers.connections, *pair.nodes.connections)
    return sum(one.unsent_bytes for one in connections)


async def _answer_until(
    request: IncomingRequest, is_enough: Callable[[], bool]
) -> int:
    """Stream an answer until a condition holds; return its size."""
    signed = (NAMES.signature, b'signed')
    request.start(200, (id_header(request), signed), None)
    sent_bytes = 0
    while not is_enough():
        await request.write(PIECE)
        sent_bytes += len(PIECE)
        await asyncio.sleep(0.002)
    request.end()
    return sent_bytes


async def _connect(address: Address) -> socket.socket:
    """Connect a caller with a small window."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (address.ip, address.port))
    return caller


async def _read_to_end(caller: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    while not received.endswith(LAST_CHUNK):
        part = await loop.sock_recv(caller, 65_536)
        if not part:
            break
        received += part
    return bytes(received)


def _end_process(pair: NodeWithServer) -> None:
    """Drop what was not sent, as the end of the process does."""
    for listener in (pair.callers, pair.nodes, pair.announcements):
        for connection in tuple(listener.connections):
            connection.abort()


def _allow_long_stop(node: MeshNode) -> None:
    bounds = node.settings.bounds._replace(stop_ms=STOP_MS)
    node.settings = node.settings._replace(bounds=bounds)


async def _stop_with_unsent_answer(
    mesh: Mesh, stopping: NodeWithServer, sizes: list[int]
) -> None:
    """Stop a node that holds the end of an answer; then read the answer."""
    gate = stopping.node.gate.state
    _allow_long_stop(stopping.node)
    entry = mesh.nodes[0].node
    caller = await _connect(entry.settings.caller_address)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, REQUEST)
    await mesh.wait_until(lambda: bool(sizes))
    await mesh.wait_until(lambda: not gate.in_flight_total)
    assert _unsent_bytes(stopping)
    with mock.patch('carobmoor.mesh._leave._MIN_IDLE_S', MIN_IDLE_S):
        leaving = asyncio.create_task(leave_mesh_node(stopping))
        await asyncio.sleep(UNREAD_S)
        if leaving.done():
            _end_process(stopping)
        received = await _read_to_end(caller)
        await leaving
    _end_process(stopping)
    caller.close()
    assert received.endswith(LAST_CHUNK), f'{len(received)} bytes, then cut'
    assert received.count(b'x') >= sizes[0]


# Guards against a stop that drops the end of an answer which a caller reads
# slowly, since its handler has returned.
@params(RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
def test_stop_sends_answer_to_slow_caller(kind):
    """The node ends only when the kernel has taken the whole answer."""
    asyncio.run(_stop_caller_node(kind))


async def _stop_caller_node(kind: RouteKind) -> None:
    sizes: list[int] = []

    async def serve(request: IncomingRequest) -> None:
        size = await _answer_until(
            request, lambda: _unsent_bytes(mesh.nodes[0]) > 0
        )
        sizes.append(size)

    async with running_mesh(serve) as mesh:
        await _publish(mesh, kind)
        await _stop_with_unsent_answer(mesh, mesh.nodes[0], sizes)


# Guards against an owner that ends while another node still reads an answer
# from it: the slot is free once the backend server has sent everything.
@params(RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
def test_stop_sends_answer_to_slow_node(kind):
    """The owner ends only when the other node has got the whole answer."""
    asyncio.run(_stop_owner(kind))


async def _stop_owner(kind: RouteKind) -> None:
    sizes: list[int] = []

    async def serve(request: IncomingRequest) -> None:
        size = await _answer_until(
            request, lambda: _unsent_bytes(mesh.nodes[1]) > 0
        )
        sizes.append(size)

    async with running_mesh(None, serve) as mesh:
        mesh.nodes[0].announce(ready_announcement(service='other'))
        await _publish(mesh, kind)
        first = mesh.nodes[0].node
        await mesh.wait_until(
            lambda: len(first.peers.for_service('bookings')) < 2
        )
        await _stop_with_unsent_answer(mesh, mesh.nodes[1], sizes)


# Guards against a check-in of the backend server that a stop leaves without an
# acknowledgement while it is being stored.
def test_stop_acknowledges_check_in():
    """The node ends only when a check-in that it has read is answered."""
    asyncio.run(_check_in_while_stopping())


async def _check_in_while_stopping() -> None:
    stored = asyncio.Event()

    async def store_and_acknowledge(request: IncomingRequest) -> None:
        await stored.wait()
        request.respond(200)

    async with running_mesh(None) as mesh:
        stopping = mesh.nodes[0]
        _allow_long_stop(stopping.node)
        stopping.announcements.serve = store_and_acknowledge
        address = stopping.node.settings.announce_address
        check_in = OutgoingRequest('POST', '/', (), b'{}')
        sending = asyncio.create_task(
            send(ConnectionPool(), address, check_in, UNREAD_S * 2)
        )
        await mesh.wait_until(lambda: bool(stopping.announcements.unfinished))
        with mock.patch('carobmoor.mesh._leave._MIN_IDLE_S', MIN_IDLE_S):
            leaving = asyncio.create_task(leave_mesh_node(stopping))
            await asyncio.sleep(UNREAD_S)
            assert not leaving.done()
            stored.set()
            await leaving
        _end_process(stopping)
        assert (await sending).unwrap().head.status == 200


async def _publish(mesh: Mesh, kind: RouteKind) -> None:
    mesh.publish(make_table(2, make_route(kind, timeout_ms=TIMEOUT_MS)))
    await mesh.wait_until(
        lambda: all(pair.node.version == 2 for pair in mesh.nodes)
    )
