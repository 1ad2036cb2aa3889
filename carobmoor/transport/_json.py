"""Calls between processes whose request and answer are JSON."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from carobmoor.transport._exchange import Answer, AnswerBroken, send
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    HeaderList,
    OutgoingRequest,
)
from carobmoor.transport._pool import ConnectionPool
from carobmoor.transport._steps import CallFailure, Step

_MOST_BODY_BYTES: Final = 67_108_864


class JsonAnswer(NamedTuple):
    """An answer that was read whole; `body` is not decoded yet."""

    head: AnswerHead
    body: bytes

    def decode(self, shape: Any) -> Any:
        """Decode the body into a type; raises `msgspec.DecodeError`."""
        return msgspec.json.decode(self.body, type=shape)


async def request_json(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
) -> Result[JsonAnswer, CallFailure]:
    """Send a request and read its whole answer within `timeout_s`."""
    due_s = time.monotonic() + timeout_s
    sent = await send(pool, address, _with_host(request, address), timeout_s)
    if isinstance(sent, Err):
        return sent
    answer = sent.ok_value
    left_s = due_s - time.monotonic()
    try:
        body = await read_whole(answer, _MOST_BODY_BYTES, left_s)
    except AnswerBroken as error:
        return Err(error.failure)
    return Ok(JsonAnswer(answer.head, body))


async def read_whole(
    answer: Answer,
    most_bytes: int,
    timeout_s: float | None = None,
) -> bytes:
    """Read a whole body.

    Raises `AnswerBroken` when it is short, too large or late.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_bounded(answer, most_bytes)
    except TimeoutError:
        raise AnswerBroken(_broken(answer, 'the answer stalled')) from None


async def _read_bounded(answer: Answer, most_bytes: int) -> bytes:
    parts: list[bytes] = []
    received_bytes = 0
    async for chunk in answer.chunks():
        parts.append(chunk)
        received_bytes += len(chunk)
        if received_bytes > most_bytes:
            raise AnswerBroken(_broken(answer, 'answer too large'))
    return b''.join(parts)


def _with_host(request: OutgoingRequest, address: Address) -> OutgoingRequest:
    host: Sequence[tuple[bytes, bytes]] = ((b'host', str(address).encode()),)
    headers: HeaderList = (*host, *request.headers)
    return request._replace(headers=headers)


def _broken(answer: Answer, reason: str) -> CallFailure:
    return CallFailure(Step.ANSWER_BODY, str(answer.address), reason)
