"""Answers that end with the connection, and answers to other requests.

A reset must not pass for the end of a body without a length, and a late
answer to an earlier request must not reach the current one.
"""

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
TIMEOUT_S = 2
ECHOED_HEADER = (b'x-id', b'wanted')
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'
ZERO_LINGER = struct.pack('ii', 1, 0)


def answer_of(request_id: str, body: str) -> bytes:
    """Return an encoded answer with the id of its request."""
    head = f'HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n'
    return f'{head}content-length: {len(body)}\r\n\r\n{body}'.encode()


@contextlib.asynccontextmanager
async def serving(
    chunks: Sequence[bytes],
    resets: bool = False,
) -> AsyncIterator[Address]:
    """Answer each request with the same chunks, then close or reset."""

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
                socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
            )
        writer.close()

    server = await asyncio.start_server(serve, IP, 0)
    try:
        yield Address(IP, server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def call(
    chunks: Sequence[bytes],
    request: OutgoingRequest,
    resets: bool = False,
) -> Result[JsonAnswer, CallFailure]:
    """Send a request to a server that answers with the chunks."""
    async with serving(chunks, resets) as address:
        pool = ConnectionPool()
        return await request_json(pool, address, request, TIMEOUT_S)


def test_reset_within_answer_fails():
    """A reset within a body without a length fails the call."""
    request = OutgoingRequest('GET', '/', ())
    failure = asyncio.run(call((UNFRAMED,), request, resets=True)).unwrap_err()
    assert failure.step is Step.ANSWER_BODY


@params(
    (answer_of('other', 'late') + answer_of('wanted', 'own'),),
    (answer_of('other', 'late'), answer_of('wanted', 'own')),
    (answer_of('other', ''), answer_of('wanted', 'own')),
    (answer_of('wanted', 'own'), answer_of('other', 'extra')),
)
def test_answer_of_another_request_is_skipped(*chunks):
    """Answers with another request's id are skipped."""
    request = OutgoingRequest('GET', '/', (), echoed_header=ECHOED_HEADER)
    received = asyncio.run(call(chunks, request)).unwrap()
    assert received.body == b'own'
