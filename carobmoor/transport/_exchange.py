"""One request and its answer on one connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from result import Err, Ok, Result

from carobmoor.transport._connection import Connection
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    OutgoingRequest,
    ProgressFloor,
)
from carobmoor.transport._pool import ConnectionPool
from carobmoor.transport._steps import CallFailure, Step

_LAST_CHUNK: Final = b'0\r\n\r\n'
_LINE_END: Final = b'\r\n'


class AnswerBroken(ConnectionError):
    """The answer ended before it was whole; carries the failure."""

    def __init__(self, failure: CallFailure) -> None:
        """Keep the step, the peer and the reason."""
        super().__init__(f'{failure.step} {failure.peer}: {failure.reason}')
        self.failure = failure


class Answer:
    """An answer whose head has come and whose body is read as it comes.

    The reader must either read `chunks` to the end or call `abandon`;
    otherwise the connection is neither used again nor closed.
    """

    def __init__(
        self,
        head: AnswerHead,
        connection: Connection,
        pool: ConnectionPool,
        address: Address,
    ) -> None:
        """Bind the head to the connection on which the body follows."""
        self.head = head
        self.address = address
        self._connection = connection
        self._pool = pool

    async def chunks(
        self,
        floor: ProgressFloor | None = None,
    ) -> AsyncIterator[bytes]:
        """Give the body in chunks, holding the sender back meanwhile.

        Raises `AnswerBroken` when the connection is lost before the end or
        when the transfer falls below its progress floor.
        """
        connection = self._connection
        while chunk := await _next_chunk(connection, floor):
            yield chunk
        if not connection.ended:
            raise AnswerBroken(
                _failure(connection, Step.ANSWER_BODY),
            )
        self._pool.release(self.address, connection)

    def abandon(self, reason: str) -> None:
        """Close the connection of an answer that nobody reads further."""
        self._connection.close(reason)


async def send(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
) -> Result[Answer, CallFailure]:
    """Send a request and wait for the head of its answer.

    `timeout_s` bounds the wait for the head, the sending of the body
    included. Cancelling closes the connection, which tells the peer.
    """
    acquired = await pool.acquire(address)
    if isinstance(acquired, Err):
        return acquired
    connection = acquired.ok_value
    try:
        async with asyncio.timeout(timeout_s):
            head = await _exchange_head(connection, request)
    except TimeoutError:
        connection.close('no answer in time')
        return Err(_failure(connection, connection.step))
    except BaseException as error:
        connection.close(f'cancelled: {type(error).__name__}')
        raise
    if head is None:
        return Err(_failure(connection, connection.step))
    return Ok(Answer(head, connection, pool, address))


async def _exchange_head(
    connection: Connection,
    request: OutgoingRequest,
) -> AnswerHead | None:
    if request.more_body is None:
        written = _encode_head(request, chunked=False) + request.body
        connection.write(written, Step.AWAITING_ANSWER)
        return await connection.read_head()
    sender = asyncio.create_task(_send_stream(connection, request))
    try:
        return await connection.read_head()
    finally:
        await _settle(sender, connection)


async def _settle(sender: asyncio.Task[None], connection: Connection) -> None:
    if not sender.done():
        # The answer came, or the call ended, before the whole body was sent.
        sender.cancel()
        connection.request_cut_short = True
    await asyncio.gather(sender, return_exceptions=True)


async def _send_stream(
    connection: Connection,
    request: OutgoingRequest,
) -> None:
    chunked = not _has_length(request)
    connection.write(_encode_head(request, chunked), Step.REQUEST_BODY)
    try:
        async for chunk in _whole_body(request):
            framed = _frame(chunk) if chunked else chunk
            connection.write(framed, Step.REQUEST_BODY)
            await connection.drain()
    except Exception as error:
        connection.close(f'the body broke off: {error}')
        return
    if chunked:
        connection.write(_LAST_CHUNK, Step.REQUEST_BODY)
    connection.step = Step.AWAITING_ANSWER


async def _whole_body(request: OutgoingRequest) -> AsyncIterator[bytes]:
    if request.body:
        yield request.body
    if request.more_body is not None:
        async for chunk in request.more_body:
            if chunk:
                yield chunk


async def _next_chunk(
    connection: Connection,
    floor: ProgressFloor | None,
) -> bytes:
    if floor is None or connection.has_news:
        return await connection.read_chunk()
    try:
        async with asyncio.timeout(floor.interval_s):
            return await connection.read_chunk()
    except TimeoutError:
        connection.close('the transfer stalled')
        return b''


def _encode_head(request: OutgoingRequest, chunked: bool) -> bytes:
    parts = [f'{request.method} {request.target} HTTP/1.1\r\n'.encode()]
    for name, content in request.headers:
        parts.append(b'%b: %b\r\n' % (name, content))
    if chunked:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif request.more_body is None and not _has_length(request):
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(_LINE_END)
    return b''.join(parts)


def _has_length(request: OutgoingRequest) -> bool:
    return any(name == b'content-length' for name, _ in request.headers)


def _frame(chunk: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _failure(connection: Connection, step: Step) -> CallFailure:
    return CallFailure(step, connection.peer, connection.lost_reason)
