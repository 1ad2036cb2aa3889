"""Sending answers and failures to the caller."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final

from carobmoor.client import REQUEST_ID_HEADER
from carobmoor.outcomes import (
    OUTCOME_HEADER,
    Failure,
    NotRun,
    encode_failure,
    http_status_of,
)
from carobmoor.transport import Answer, HeaderList, ProgressFloor

Send = Callable[[Any], Awaitable[None]]

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'transfer-encoding',
        b'upgrade',
        b'proxy-connection',
        b'te',
        b'trailer',
        REQUEST_ID_HEADER,
    ),
)
_RESERVED_PREFIX: Final = b'x-carobmoor-'


def end_to_end_headers(headers: HeaderList) -> Sequence[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop ones and those of carobmoor."""
    return [
        (name, content)
        for name, content in headers
        if name not in _HOP_BY_HOP_HEADERS
        and not name.startswith(_RESERVED_PREFIX)
    ]


async def relay_answer(
    send: Send,
    answer: Answer,
    extra_headers: HeaderList,
    floor: ProgressFloor,
) -> None:
    """Stream an answer to the caller, with `extra_headers` added.

    Raises `AnswerIncomplete` if the answer ends early; the server then closes
    the connection of the caller, so that a truncated answer is never taken for
    a complete one.
    """
    try:
        await _stream_answer(send, answer, extra_headers, floor)
    finally:
        answer.abandon('the answer was not passed on')


async def _stream_answer(
    send: Send,
    answer: Answer,
    extra_headers: HeaderList,
    floor: ProgressFloor,
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': answer.head.status,
            'headers': [
                *end_to_end_headers(answer.head.headers),
                *extra_headers,
            ],
        },
    )
    pending_chunk = b''
    async for chunk in answer.chunks(floor):
        if pending_chunk:
            await send(_body_message(pending_chunk, has_more=True))
        pending_chunk = chunk
    await send(_body_message(pending_chunk, has_more=False))


async def send_failure(
    send: Send,
    failure: Failure,
    request_id: str,
    extra_headers: HeaderList = (),
) -> None:
    """Send a failure to the caller as JSON."""
    body = encode_failure(failure, request_id)
    outcome = b'not_run' if isinstance(failure, NotRun) else b'unknown'
    await send(
        {
            'type': 'http.response.start',
            'status': http_status_of(failure),
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
                (OUTCOME_HEADER.encode(), outcome),
                (REQUEST_ID_HEADER, request_id.encode()),
                *extra_headers,
            ],
        },
    )
    await send(_body_message(body, has_more=False))


def _body_message(chunk: bytes, has_more: bool) -> Any:
    return {'type': 'http.response.body', 'body': chunk, 'more_body': has_more}
