"""Peers in trouble send bytes without end that are no answer or request.

Memory stays bounded, and the connection closes: in a head, in a header line, in
the size of a chunk, in trailers, behind an answer, and after its reader left.
"""

import asyncio
import tracemalloc

from nose2.tools import params

from carobmoor.transport import process_limits
from carobmoor.transport.tests.fixtures import PipelinedConnection
from carobmoor.transport.tests.test_fuzz_answers import connection_with_request

PIECE = b'x' * 16_384
PIECES = 64
# Of the smallest instance, and of the server beside it.
MEMORY_MB = 200
SLOTS = 12
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
# Where the endless bytes begin, and what they consist of.
ANSWERS = (
    (b'HTTP/1.1 200 ', PIECE),
    (b'HTTP/1.1 200 OK\r\nname: ', PIECE),
    (b'HTTP/1.1 200 OK\r\n', b'name: text\r\n' * 1000),
    (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    (CHUNKED + b'1;', PIECE),
    (CHUNKED, b'0' * 16_384),
    (b'%b1\r\na\r\n0\r\nname: ' % CHUNKED, PIECE),
    (b'%b0\r\n' % CHUNKED, b'name: text\r\n' * 1000),
    (b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na', PIECE),
    (b'', PIECE),
)


@params(*ANSWERS)
def test_endless_answer_closes_connection(start, piece):
    """The connection to a server that never ends its answer is closed."""
    connection, transport = connection_with_request()
    connection.data_received(start)
    for _ in range(PIECES):
        if not transport.is_closing():
            connection.data_received(piece)
    assert transport.is_closing()
    assert connection.close_reason


def test_abandoned_connection_ends_endless_answer():
    """A server that keeps sending after its caller left is cut off."""
    asyncio.run(_abandon())


async def _abandon() -> None:
    connection, transport = connection_with_request()
    connection.data_received(CHUNKED)
    transport.can_write_eof.return_value = True
    connection.abandon('the caller left')
    for _ in range(PIECES):
        if not transport.is_closing():
            connection.data_received(PIECE)
    assert transport.is_closing()


# Guards against heads of very many fields, each of which takes far more memory
# than its bytes: a node receives one for each slot of its server at once.
@params(b'a:\r\n', b'name: text\r\n')
def test_endless_head_holds_little(field):
    """All heads together stay below what the node may hold."""
    connection, transport = connection_with_request()
    tracemalloc.start()
    connection.data_received(b'HTTP/1.1 200 OK\r\n')
    for _ in range(PIECES):
        if not transport.is_closing():
            connection.data_received(field * (len(PIECE) // len(field)))
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert transport.is_closing()
    limits = process_limits(MEMORY_MB, 0)
    assert peak_bytes < limits.max_held_bytes / SLOTS, peak_bytes


POST_CHUNKED = b'POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'


@params(
    (b'GET /', PIECE),
    (b'GET / HTTP/1.1\r\nname: ', PIECE),
    (b'GET / HTTP/1.1\r\n', b'name: text\r\n' * 1000),
    (POST_CHUNKED + b'1;', PIECE),
    (POST_CHUNKED, b'0' * 16_384),
    (b'%b0\r\nname: ' % POST_CHUNKED, PIECE),
    (b'%b0\r\n' % POST_CHUNKED, b'name: text\r\n' * 1000),
)
def test_endless_request_closes_connection(start, piece):
    """The connection of a caller that never ends its request is closed."""
    asyncio.run(_receive_endless(start, piece))


async def _receive_endless(start: bytes, piece: bytes) -> None:
    caller = PipelinedConnection()
    await caller.receive(start)
    for _ in range(PIECES):
        await caller.receive(piece)
    assert caller.transport.ended
    caller.close()
