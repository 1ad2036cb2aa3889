"""One request and its answer on one connection."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Final

from result import Err, Ok, Result

from carobmoor.transport._connection import Connection
from carobmoor.transport._head import (
    encode_head,
    fault_of,
    length_of,
)
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    OutgoingRequest,
    ProgressFloor,
)
from carobmoor.transport._pool import CONNECT_TIMEOUT_S, ConnectionPool
from carobmoor.transport._progress import ProgressMeter
from carobmoor.transport._steps import CallFailure, Step

_LAST_CHUNK: Final = b'0\r\n\r\n'
_LINE_END: Final = b'\r\n'
_LENGTH: Final = b'content-length'
_CODING: Final = b'transfer-encoding'


class AnswerBroken(ConnectionError):
    """The answer ended before it was whole; carries the failure."""

    def __init__(self, failure: CallFailure) -> None:
        """Keep the step, the peer and the reason."""
        super().__init__(f'{failure.step} {failure.peer}: {failure.reason}')
        self.failure = failure


class Answer:
    """An answer whose head has come and whose body is read as it comes.

    The reader must either start to read `chunks` or call `abandon`;
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
        when the transfer falls below its progress floor. Who stops reading
        before the end, also by being cancelled, closes the connection.
        """
        connection = self._connection
        meter = None if floor is None else ProgressMeter(floor)
        try:
            while chunk := await _next_chunk(connection, meter):
                yield chunk
        except BaseException as error:
            reason = f'not read further: {type(error).__name__}'
            self._pool.abandon(connection, reason)
            raise
        if not connection.ended:
            raise AnswerBroken(
                _failure(connection, Step.ANSWER_BODY),
            )
        self._pool.release(self.address, connection)

    def abandon(self, reason: str) -> None:
        """Close the connection of an answer that nobody reads further."""
        self._pool.abandon(self._connection, reason)


async def send(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Result[Answer, CallFailure]:
    """Send a request and wait for the head of its answer.

    `timeout_s` bounds the wait for the head, connecting and the sending of
    the body included; `connect_timeout_s` bounds connecting. Cancelling
    closes the connection, which tells the peer.
    """
    started_s = time.monotonic()
    fault = fault_of(request)
    if fault:
        return Err(CallFailure(Step.BEFORE_FIRST_BYTE, str(address), fault))
    acquired = await pool.acquire(address, min(timeout_s, connect_timeout_s))
    if isinstance(acquired, Err):
        return acquired
    connection = acquired.ok_value
    connection.request = request
    timeout_s -= time.monotonic() - started_s
    if request.method == 'HEAD':
        connection.expect_no_body()
    try:
        async with asyncio.timeout(timeout_s):
            head = await _exchange_head(connection, request)
    except TimeoutError:
        pool.abandon(connection, 'no answer in time')
        return Err(_failure(connection, connection.step))
    except BaseException as error:
        pool.abandon(connection, f'cancelled: {type(error).__name__}')
        raise
    if head is None:
        return Err(_failure(connection, connection.step))
    return Ok(Answer(head, connection, pool, address))


async def _exchange_head(
    connection: Connection,
    request: OutgoingRequest,
) -> AnswerHead | None:
    if request.more_body is None:
        written = encode_head(request, chunked=False) + request.body
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
    declared = length_of(request)
    connection.write(encode_head(request, declared < 0), Step.REQUEST_BODY)
    try:
        sent_bytes = await _send_chunks(connection, request, declared)
    except Exception as error:
        connection.close(f'the body broke off: {error}')
        return
    if declared < 0:
        connection.write(_LAST_CHUNK, Step.REQUEST_BODY)
    elif sent_bytes != declared:
        connection.close('the body has another length than declared')
        return
    connection.step = Step.AWAITING_ANSWER


async def _send_chunks(
    connection: Connection,
    request: OutgoingRequest,
    declared: int,
) -> int:
    sent_bytes = 0
    async for chunk in _whole_body(request):
        sent_bytes += len(chunk)
        if 0 <= declared < sent_bytes:
            # Bytes past the length would be read as another request.
            return sent_bytes
        framed = _frame(chunk) if declared < 0 else chunk
        connection.write(framed, Step.REQUEST_BODY)
        await connection.drain()
    return sent_bytes


async def _whole_body(request: OutgoingRequest) -> AsyncIterator[bytes]:
    if request.body:
        yield request.body
    if request.more_body is not None:
        async for chunk in request.more_body:
            if chunk:
                yield chunk


async def _next_chunk(
    connection: Connection,
    meter: ProgressMeter | None,
) -> bytes:
    if meter is None or connection.has_news:
        return await connection.read_chunk()
    started_s = time.monotonic()
    try:
        async with asyncio.timeout(meter.left_s):
            chunk = await connection.read_chunk()
    except TimeoutError:
        connection.close('the transfer stalled')
        return b''
    meter.note(len(chunk), time.monotonic() - started_s)
    return chunk


def _frame(chunk: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _failure(connection: Connection, step: Step) -> CallFailure:
    return CallFailure(step, connection.peer, connection.lost_reason)
