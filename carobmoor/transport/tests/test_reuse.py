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

KEEP_ALIVE_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
CLOSING_ANSWER = (
    b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}'
)
SURPLUS_ANSWER = KEEP_ALIVE_ANSWER + b'late bytes'
CALL_COUNT = 3
IDLE_S = 0.9


@params(
    (KEEP_ALIVE_ANSWER, 1),
    (CLOSING_ANSWER, CALL_COUNT),
    (SURPLUS_ANSWER, CALL_COUNT),
)
def test_only_keep_alive_answers_allow_reuse(answer, connections):
    """Calls share a connection unless the answer closes it or has surplus."""
    assert asyncio.run(count_connections(answer)) == connections


# Guards against a request that is lost on an idle connection, which its server
# closes at the time that its last answer has named.
@params(
    ('timeout=1', CALL_COUNT),
    ('max=100, timeout=1', CALL_COUNT),
    ('timeout=9', 1),
    ('timeout=', 1),
    ('max=1', 1),
)
def test_idle_connection_expires_in_time(named, connections):
    """A connection is not reused shortly before the named timeout."""
    answer = KEEP_ALIVE_ANSWER.replace(
        b'\r\n\r\n', f'\r\nKeep-Alive: {named}\r\n\r\n'.encode()
    )
    assert asyncio.run(count_connections(answer, IDLE_S)) == connections


async def count_connections(answer: bytes, idle_s: float = 0) -> int:
    """Call a server with a fixed answer and return its connection count."""
    opened: list[asyncio.StreamWriter] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opened.append(writer)
        disconnects = (EOFError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*disconnects):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(answer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname())
    pool = ConnectionPool()
    for _ in range(CALL_COUNT):
        request = OutgoingRequest('GET', '/', ())
        called = await request_json(pool, address, request, 5)
        assert called.is_ok()
        await asyncio.sleep(idle_s)
    pool.close()
    server.close()
    return len(opened)
