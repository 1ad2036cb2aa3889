"""A half-close fails if the peer has reset the connection in the meantime.

The error must not end the task that closes the connection, such as one that
serves another request.
"""

import asyncio
import errno

from nose2.tools import params

from carobmoor.transport.tests.fixtures import PipelinedConnection, get
from carobmoor.transport.tests.test_fuzz_answers import connection_with_request

NOT_CONNECTED = OSError(errno.ENOTCONN, 'Transport endpoint is not connected')


def test_abandon_after_a_reset():
    """The connection is closed instead."""
    connection, transport = connection_with_request()
    transport.write_eof.side_effect = NOT_CONNECTED
    connection.abandon('the caller left')
    assert transport.is_closing()
    assert not connection.is_lingering


def test_closing_answer_after_a_reset():
    """The answer ends as usual, and the connection is reset."""
    asyncio.run(_end_closing_answer())


async def _end_closing_answer() -> None:
    caller = PipelinedConnection()
    caller.transport.write_eof = _fail  # type: ignore[method-assign]
    await caller.receive(get('/1', 'connection: close\r\n'))
    await caller.finish('/1')
    assert caller.requests['/1'].has_ended
    assert caller.transport.ended == 'reset'
    caller.close()


def _fail() -> None:
    raise NOT_CONNECTED


# Guards against an answer whose reader gets none or a part of it as the whole,
# since its request was given up while it arrived.
@params(
    b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone',
    b'HTTP/1.1 200 OK\r\n\r\npart',
)
def test_abandoned_answer_is_not_complete(received):
    """What was dropped counts as lost, also once the peer closes."""
    asyncio.run(_abandon_answer(received))


async def _abandon_answer(received: bytes) -> None:
    connection, _ = connection_with_request()
    connection.data_received(received)
    connection.abandon('sending the request body failed')
    connection.eof_received()
    assert not connection.is_answer_complete
    assert not await connection.read_chunk()
