"""Answers that are still being sent when the product's own node stops."""

import asyncio
import contextlib
import socket
from unittest import mock

from nose2.tools import params

from carobmoor.node._caller_watch import TRANSPORT_EXTENSION
from carobmoor.node._server import make_server
from carobmoor.node._shutdown import NodeShutdown, leave_when_requested
from carobmoor.transport import Address, MemoryAccount
from stand_ins.deployment import free_port

IP = '127.0.0.1'
PIECE = b'x' * 32_768
# More than the kernel buffers for a caller that doesn't read.
MAX_PIECES = 400
LAST_CHUNK = b'0\r\n\r\n'
WINDOW_BYTES = 4096
# Beyond the time for which a connection stays half-open after its last byte.
UNREAD_S = 1.6
TEST_TIMEOUT_S = 20
GET = b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n'


async def _answer(scope, receive, send):
    """Send an answer that is larger than what the kernel buffers."""
    transport = scope['extensions'][TRANSPORT_EXTENSION]
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    message = {'type': 'http.response.body', 'body': PIECE, 'more_body': True}
    for _ in range(MAX_PIECES):
        if transport.get_write_buffer_size():
            break
        await send(message)
        await asyncio.sleep(0.002)
    await send({'type': 'http.response.body', 'body': b''})


@contextlib.asynccontextmanager
async def _unread_answer():
    """Run a server whose caller has not read the end of its answer."""
    address = Address(IP, free_port(IP))
    server = make_server(_answer, address, 32_768, None, MemoryAccount())
    serving = asyncio.create_task(server.serve())
    await _wait_until(lambda: server.started)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (address.ip, address.port))
    await loop.sock_sendall(caller, GET)
    await _wait_until(lambda: _holds_end(server))
    yield server, caller
    caller.close()
    server.force_exit = True
    server.should_exit = True
    await serving


async def _wait_until(holds):
    for _ in range(TEST_TIMEOUT_S * 100):
        if holds():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError


def _holds_end(server):
    """Return whether an answer has ended and is not sent to its end."""
    return any(
        one.cycle is not None
        and one.cycle.response_complete
        and one.transport.get_write_buffer_size()
        for one in server.server_state.connections
    )


async def _read_to_close(caller):
    loop = asyncio.get_running_loop()
    received = bytearray()
    while part := await loop.sock_recv(caller, 65_536):
        received += part
    return bytes(received)


def _stop(server, max_leave_ms):
    """Begin the stop of a node that has no request in progress."""
    settings = {'leave_linger_ms': 0, 'leave_most_ms': max_leave_ms}
    node = mock.Mock(settings=settings)
    node.gate.wait_idle = mock.AsyncMock()
    shutdown = NodeShutdown(node)
    shutdown.request_stop()
    return asyncio.create_task(leave_when_requested(shutdown, server))


# Guards against a stop that refuses what may follow on a connection, and resets
# it a second later while the answer before the refusal is still being sent.
def test_stop_sends_answer_to_slow_caller():
    """The caller gets the whole answer, and the refusal behind it."""
    asyncio.run(_read_late())


async def _read_late():
    async with asyncio.timeout(TEST_TIMEOUT_S), _unread_answer() as one:
        server, caller = one
        leaving = _stop(server, 10_000)
        await asyncio.sleep(UNREAD_S)
        assert not leaving.done()
        received = await _read_to_close(caller)
        await leaving
        assert not server.force_exit
    body, ended, refusal = received.partition(LAST_CHUNK)
    assert ended, f'{len(body)} bytes, then cut'
    assert refusal.startswith(b'HTTP/1.1 408 '), refusal


# Guards against a stop that waits without end for a caller that reads nothing.
@params(300, 2500)
def test_stop_ends_beside_stalled_caller(max_leave_ms):
    """The stop takes no longer than it may, and the caller is cut."""
    asyncio.run(_never_read(max_leave_ms))


async def _never_read(max_leave_ms):
    async with asyncio.timeout(TEST_TIMEOUT_S), _unread_answer() as one:
        server, _ = one
        await _stop(server, max_leave_ms)
        assert server.force_exit
