"""Calls whose answer is read completely, such as JSON between nodes."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.decoding import decode_json
from carobmoor.transport._exchange import Answer, AnswerIncomplete, send
from carobmoor.transport._messages import (
    Address,
    AnswerHead,
    HeaderList,
    OutgoingRequest,
)
from carobmoor.transport._pool import ConnectionPool
from carobmoor.transport._steps import CallFailure, Step

_MAX_BODY_BYTES: Final = 67_108_864


class JsonAnswer(NamedTuple):
    """A complete answer; `decode` parses its body."""

    head: AnswerHead
    body: bytes

    def decode(self, expected_type: Any) -> Any:
        """Decode the body as JSON into a type.

        Raises `msgspec.DecodeError` if the body does not fit the type.
        """
        return decode_json(self.body, expected_type)


async def request_json(
    pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_s: float,
    max_body_bytes: int = _MAX_BODY_BYTES,
) -> Result[JsonAnswer, CallFailure]:
    """Send a request and read the complete answer within `timeout_s`.

    The call fails if the body exceeds its limit, 64 MiB by default.
    """
    deadline_s = time.monotonic() + timeout_s
    sent = await send(
        pool, address, _add_host_header(request, address), timeout_s
    )
    if isinstance(sent, Err):
        return sent
    answer = sent.ok_value
    remaining_s = deadline_s - time.monotonic()
    try:
        body = await read_whole(answer, max_body_bytes, remaining_s)
    except AnswerIncomplete as error:
        return Err(error.failure)
    return Ok(JsonAnswer(answer.head, body))


async def read_whole(
    answer: Answer,
    max_bytes: int,
    timeout_s: float | None = None,
) -> bytes:
    """Return the complete body of an answer.

    Raises `AnswerIncomplete` if the connection is lost before its end, if it
    exceeds `max_bytes` or if it takes longer than `timeout_s`.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_bounded(answer, max_bytes)
    except TimeoutError:
        raise AnswerIncomplete(
            _body_failure(
                answer, 'answer body not received within the timeout'
            ),
        ) from None


async def _read_bounded(answer: Answer, max_bytes: int) -> bytes:
    parts: list[bytes] = []
    received_bytes = 0
    async for chunk in answer.chunks():
        parts.append(chunk)
        received_bytes += len(chunk)
        if received_bytes > max_bytes:
            raise AnswerIncomplete(
                _body_failure(answer, f'answer body exceeds {max_bytes} bytes'),
            )
    return b''.join(parts)


def _add_host_header(
    request: OutgoingRequest, address: Address
) -> OutgoingRequest:
    host: Sequence[tuple[bytes, bytes]] = ((b'host', str(address).encode()),)
    headers: HeaderList = (*host, *request.headers)
    return request._replace(headers=headers)


def _body_failure(answer: Answer, reason: str) -> CallFailure:
    return CallFailure(Step.ANSWER_BODY, str(answer.address), reason)
