"""Answers that end with their connection, and answers of other requests."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Sequence
from typing import Any

from nose2.tools import params
from result import Result

from carobmoor.transport import (
    Address,
    CallFailure,
    ConnectionPool,
    JsonAnswer,
    OutgoingRequest,
    Step,
    request_json,
)

IP = '127.0.0.1'
PATIENCE_S = 2
ECHOED = (b'x-id', b'wanted')
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'
RESET_AT_ONCE = struct.pack('ii', 1, 0)


def answer_of(request_id: str, body: str) -> bytes:
    """Write an answer that names its request."""
    head = f'HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n'
    return f'{head}content-length: {len(body)}\r\n\r\n{body}'.encode()


@contextlib.asynccontextmanager
async def serving(
    chunks: Sequence[bytes],
    resets: bool = False,
) -> AsyncIterator[Address]:
    """Serve the same bytes to each request, then close or reset."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.02)
        if resets:
            accepted: Any = writer.get_extra_info('socket')
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE
            )
        writer.close()

    server = await asyncio.start_server(serve, IP, 0)
    try:
        yield Address(IP, server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def ask(
    chunks: Sequence[bytes],
    request: OutgoingRequest,
    resets: bool = False,
) -> Result[JsonAnswer, CallFailure]:
    """Ask once."""
    async with serving(chunks, resets) as address:
        pool = ConnectionPool()
        return await request_json(pool, address, request, PATIENCE_S)


def test_answer_that_is_reset_is_not_whole():
    """Only a clean close ends a body without a length."""
    request = OutgoingRequest('GET', '/', ())
    failure = asyncio.run(ask((UNFRAMED,), request, resets=True)).unwrap_err()
    assert failure.step is Step.ANSWER_BODY


@params(
    (answer_of('other', 'late') + answer_of('wanted', 'own'),),
    (answer_of('other', 'late'), answer_of('wanted', 'own')),
    (answer_of('other', ''), answer_of('wanted', 'own')),
    (answer_of('wanted', 'own'), answer_of('other', 'extra')),
)
def test_answer_of_another_request_is_skipped(*chunks):
    """The answer that names the request is given, whatever stands before."""
    request = OutgoingRequest('GET', '/', (), echoed=ECHOED)
    told = asyncio.run(ask(chunks, request)).unwrap()
    assert told.body == b'own'
