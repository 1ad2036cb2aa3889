"""Sending a request and reading its answer."""

import asyncio
import time
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Final

from result import Err, Ok, Result

from carobmoor.transport._connection import Connection
from carobmoor.transport._head import (
    declared_length,
    encode_head,
    request_fault,
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
_CONTENT_LENGTH: Final = b'content-length'
_TRANSFER_ENCODING: Final = b'transfer-encoding'


class AnswerIncomplete(ConnectionError):
    """Raised when an answer can't be read to its end."""

    def __init__(self, failure: CallFailure) -> None:
        """Store the failure, which also gives the message."""
        super().__init__(f'{failure.step} {failure.peer}: {failure.reason}')
        self.failure = failure


class Answer:
    """An answer whose head was received and whose body is streamed.

    The reader must either iterate over `chunks` or call `abandon`;
    otherwise the connection is neither reused nor closed.
    """

    def __init__(
        self,
        head: AnswerHead,
        connection: Connection,
        pool: ConnectionPool,
        address: Address,
    ) -> None:
        """Store the head and the connection that carries the body."""
        self.head = head
        self.address = address
        self._connection = connection
        self._pool = pool
        # Whether the connection was given back to the pool or given up.
        self._is_settled = False

    @property
    def is_attributed(self) -> bool:
        """Whether it can't be the answer to an earlier request."""
        return self._connection.is_answer_attributed

    async def chunks(
        self,
        floor: ProgressFloor | None = None,
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks, with backpressure on the sender.

        Raises `AnswerIncomplete` when the connection is lost before the end or
        when the transfer falls below its progress floor. A reader that stops
        before the end or is cancelled closes the connection.
        """
        connection = self._connection
        meter = None if floor is None else ProgressMeter(floor)
        try:
            while chunk := await _next_chunk(connection, meter):
                yield chunk
        except BaseException as error:
            self.abandon(f'reading the answer stopped: {type(error).__name__}')
            raise
        if self._is_settled:
            reason = 'the answer was abandoned'
            raise AnswerIncomplete(
                CallFailure(Step.ANSWER_BODY, connection.peer, reason)
            )
        self._is_settled = True
        if not connection.is_answer_complete:
            raise AnswerIncomplete(
                _failure(connection, Step.ANSWER_BODY),
            )
        self._pool.release(self.address, connection)

    def abandon(self, reason: str) -> None:
        """Stop reading the answer and close its connection.

        Does nothing once the answer has been read to its end.
        """
        if not self._is_settled:
            self._is_settled = True
            self._pool.abandon(self._connection, reason)


async def send(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Result[Answer, CallFailure]:
    """Send a request and return its answer once the head is received.

    `timeout_s` covers connecting, sending the body and waiting for the head;
    `connect_timeout_s`, at most 2 s, bounds connecting alone. Cancelling
    closes the connection, so that the peer can stop working on the request.
    """
    started_s = time.monotonic()
    fault = request_fault(request)
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
            head = await _send_and_read_head(connection, request)
    except TimeoutError:
        pool.abandon(connection, 'no answer in time')
        return Err(_failure(connection, connection.step))
    except BaseException as error:
        pool.abandon(connection, f'cancelled: {type(error).__name__}')
        raise
    if head is None:
        # After a broken body it is half-closed: the peer may still work.
        pool.abandon(connection, connection.close_reason)
        return Err(_failure(connection, connection.step))
    return Ok(Answer(head, connection, pool, address))


async def _send_and_read_head(
    connection: Connection,
    request: OutgoingRequest,
) -> AnswerHead | None:
    if request.more_body is None:
        payload = encode_head(request, chunked=False) + request.body
        connection.write(payload, Step.AWAITING_ANSWER)
        return await connection.read_head()
    sender = asyncio.create_task(_send_stream(connection, request))
    try:
        return await connection.read_head()
    finally:
        await _finish_sender(sender, connection)


async def _finish_sender(
    sender: asyncio.Task[None], connection: Connection
) -> None:
    if not sender.done():
        # The answer arrived, or the call ended, before the body was sent.
        sender.cancel()
        connection.is_request_incomplete = True
    await asyncio.gather(sender, return_exceptions=True)


async def _send_stream(
    connection: Connection,
    request: OutgoingRequest,
) -> None:
    declared_bytes = declared_length(request)
    connection.write(
        encode_head(request, declared_bytes < 0), Step.REQUEST_BODY
    )
    try:
        sent_bytes = await _send_chunks(connection, request, declared_bytes)
    except Exception as error:
        connection.abandon(f'sending the request body failed: {error}')
        return
    if declared_bytes < 0:
        connection.write(_LAST_CHUNK, Step.REQUEST_BODY)
    elif sent_bytes != declared_bytes:
        connection.abandon(
            f'{sent_bytes} body bytes read for content-length {declared_bytes}',
        )
        return
    connection.step = Step.AWAITING_ANSWER


async def _send_chunks(
    connection: Connection,
    request: OutgoingRequest,
    declared_bytes: int,
) -> int:
    sent_bytes = 0
    async for chunk in _body_chunks(request):
        sent_bytes += len(chunk)
        if 0 <= declared_bytes < sent_bytes:
            # The peer would parse bytes past the length as another request.
            return sent_bytes
        encoded = _encode_chunk(chunk) if declared_bytes < 0 else chunk
        connection.write(encoded, Step.REQUEST_BODY)
        await connection.drain()
    return sent_bytes


async def _body_chunks(request: OutgoingRequest) -> AsyncIterator[bytes]:
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
    if meter is None or connection.is_readable:
        return await connection.read_chunk()
    started_s = time.monotonic()
    try:
        async with asyncio.timeout(meter.remaining_s):
            chunk = await connection.read_chunk()
    except TimeoutError:
        connection.close('the transfer stalled')
        return b''
    meter.record_received(len(chunk), time.monotonic() - started_s)
    return chunk


def _encode_chunk(chunk: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _failure(connection: Connection, step: Step) -> CallFailure:
    return CallFailure(step, connection.peer, connection.close_reason)
