"""Answers on connections that close behind them, read slowly."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from nose2.tools import params

from carobmoor.transport import (
    Address,
    IncomingRequest,
    Listener,
    MemoryAccount,
    ServingLimits,
)

IP = '127.0.0.1'
PIECE = b'x' * 32_768
# More than the kernel buffers for a caller that doesn't read.
MAX_PIECES = 400
LAST_CHUNK = b'0\r\n\r\n'
WINDOW_BYTES = 4096
# Beyond the time for which a connection stays half-open after its last byte.
UNREAD_S = 1.6
TEST_TIMEOUT_S = 20
CLOSING = b'GET /1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
# The second request is refused, which closes the connection too.
REFUSED = b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\nno request\r\n\r\n'


@contextlib.asynccontextmanager
async def _listening() -> AsyncIterator[tuple[Listener, Address]]:
    """Serve answers that are larger than what the kernel buffers."""

    async def serve(request: IncomingRequest) -> None:
        request.start(200, (), None)
        for _ in range(MAX_PIECES):
            if any(one.unsent_bytes for one in listener.connections):
                break
            await request.write(PIECE)
            await asyncio.sleep(0.002)
        request.end()

    listener = Listener(serve, ServingLimits, account=MemoryAccount())
    with socket.socket() as probe:
        probe.bind((IP, 0))
        address = Address(IP, probe.getsockname()[1])
    await listener.listen(address)
    try:
        yield listener, address
    finally:
        listener.stop_accepting()
        for connection in tuple(listener.connections):
            connection.abort()


async def _read_to_close(caller: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    while part := await loop.sock_recv(caller, 65_536):
        received += part
    return bytes(received)


# Guards against an answer whose end is dropped one second after it was
# written, while its caller still reads it.
@params(CLOSING, REFUSED)
def test_closing_connection_sends_whole_answer(sent):
    """The connection is closed only after its peer was sent everything."""
    asyncio.run(_read_late(sent))


async def _read_late(sent: bytes) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S), _listening() as one:
        listener, address = one
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (address.ip, address.port))
        await loop.sock_sendall(caller, sent)
        await _wait_until_written(listener)
        await asyncio.sleep(UNREAD_S)
        received = await _read_to_close(caller)
        caller.close()
    body, ended, rest = received.partition(LAST_CHUNK)
    assert ended, f'{len(body)} bytes, then cut'
    assert not rest or rest.startswith(b'HTTP/1.1 400 '), rest


# Guards against connections that stay open once their peer has everything.
def test_closing_connection_does_not_stay_open():
    """A peer that does not close is closed soon after the last byte."""
    asyncio.run(_stay_open())


async def _stay_open() -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S), _listening() as one:
        listener, address = one
        reader, writer = await asyncio.open_connection(*address)
        writer.write(CLOSING)
        await reader.read()
        await asyncio.sleep(UNREAD_S)
        assert not listener.connections
        writer.close()


async def _wait_until_written(listener: Listener) -> None:
    """Wait until the answer has ended and a part of it is unsent."""
    while True:
        await asyncio.sleep(0.01)
        connections = tuple(listener.connections)
        is_ended = not any(one.unanswered for one in connections)
        if is_ended and any(one.unsent_bytes for one in connections):
            return
