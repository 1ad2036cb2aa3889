"""Requests after a body that was larger than the connection's buffer.

Such a body pauses reading. Unless reading resumes once the request has been
answered, the next request on the connection is never read.
"""

import asyncio
from collections.abc import Awaitable, Callable

from nose2.tools import params

from carobmoor.transport import (
    Address,
    ConnectionPool,
    IncomingRequest,
    Listener,
    OutgoingRequest,
    ServingLimits,
    request_json,
)
from stand_ins.deployment import free_port

# The connection pauses reading when 65,536 bytes are buffered.
LARGE_BODY = bytes(90_000)
CALL_COUNT = 3
RequestHandler = Callable[[IncomingRequest], Awaitable[None]]
_TIMEOUT_S = 5


async def answer_after_reading(request: IncomingRequest) -> None:
    """Read the body and answer with its length."""
    body = b''.join([chunk async for chunk in request.chunks()])
    request.respond(200, (), b'%d' % len(body))


async def answer_without_reading(request: IncomingRequest) -> None:
    """Answer without reading the body."""
    request.respond(200, (), b'unread')


async def answer_late_without_reading(request: IncomingRequest) -> None:
    """Answer after the body was received, without reading it."""
    await asyncio.sleep(0.1)
    request.respond(200, (), b'late')


@params(
    answer_after_reading, answer_without_reading, answer_late_without_reading
)
def test_requests_after_large_body_are_answered(serve):
    """Requests after one with a large body are answered."""
    asyncio.run(_call_repeatedly(serve))


async def _call_repeatedly(serve: RequestHandler) -> None:
    listener = Listener(serve, ServingLimits)
    address = Address('127.0.0.1', free_port())
    await listener.listen(address)
    pool = ConnectionPool()
    for _ in range(CALL_COUNT):
        request = OutgoingRequest('POST', '/', (), LARGE_BODY)
        called = await request_json(pool, address, request, _TIMEOUT_S)
        assert called.is_ok(), called
    pool.close()
    listener.close()
