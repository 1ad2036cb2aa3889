"""Connections are reused only after a complete keep-alive answer."""

import asyncio
import contextlib

from nose2.tools import params

from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    request_json,
)

WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
CLOSING = b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}'
SURPLUS = WHOLE + b'late bytes'
CALLS = 3


@params((WHOLE, 1), (CLOSING, CALLS), (SURPLUS, CALLS))
def test_connections_of_calls_in_a_row(answer, connections):
    """Calls share a connection unless the answer closes it or has surplus."""
    assert asyncio.run(count_connections(answer)) == connections


async def count_connections(answer: bytes) -> int:
    """Call a server with a fixed answer and return its connection count."""
    opened: list[asyncio.StreamWriter] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opened.append(writer)
        gone = (EOFError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*gone):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(answer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname())
    pool = ConnectionPool()
    for _ in range(CALLS):
        request = OutgoingRequest('GET', '/', ())
        called = await request_json(pool, address, request, 5)
        assert called.is_ok()
        await asyncio.sleep(0)
    pool.close()
    server.close()
    return len(opened)
