"""Calls between processes whose request and answer are JSON."""

import asyncio
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
    try:
        async with asyncio.timeout(timeout_s):
            return await _request(pool, address, request, timeout_s)
    except TimeoutError:
        return Err(_late(address))


async def _request(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
) -> Result[JsonAnswer, CallFailure]:
    sent = await send(pool, address, _with_host(request, address), timeout_s)
    if isinstance(sent, Err):
        return sent
    answer = sent.ok_value
    try:
        body = await read_whole(answer, _MOST_BODY_BYTES)
    except AnswerBroken as error:
        return Err(error.failure)
    return Ok(JsonAnswer(answer.head, body))


async def read_whole(answer: Answer, most_bytes: int) -> bytes:
    """Read a whole body; raises `AnswerBroken` when short or too large."""
    parts: list[bytes] = []
    received_bytes = 0
    async for chunk in answer.chunks():
        parts.append(chunk)
        received_bytes += len(chunk)
        if received_bytes > most_bytes:
            answer.abandon('answer too large')
            peer = str(answer.address)
            raise AnswerBroken(
                CallFailure(Step.ANSWER_BODY, peer, 'answer too large'),
            )
    return b''.join(parts)


def _with_host(request: OutgoingRequest, address: Address) -> OutgoingRequest:
    host: Sequence[tuple[bytes, bytes]] = ((b'host', str(address).encode()),)
    headers: HeaderList = (*host, *request.headers)
    return request._replace(headers=headers)


def _late(address: Address) -> CallFailure:
    return CallFailure(Step.AWAITING_ANSWER, str(address), 'no answer in time')
