"""Callers that send requests despite all faults and record the outcomes."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

import xxhash
from result import Err

from carobmoor.history import EventKind
from carobmoor.transport import (
    Address,
    AnswerHead,
    AnswerIncomplete,
    ConnectionPool,
    OutgoingRequest,
    Step,
    get_header,
    read_whole,
    send,
)
from soak._server import LEAVING, REQUEST_ID, SIGNATURE

HOST: Final = 'shop.example'
DEADLINE: Final = b'x-carobmoor-deadline-ms'
DEADLINE_MS: Final = 1000
# How long a caller waits for an answer; far beyond the deadline.
_ANSWER_TIMEOUT_S: Final = 5
_MAX_ANSWER_BYTES: Final = 100_000
_MAX_INTERVAL_S: Final = 0.04
_OK: Final = 200
# Statuses that guarantee that the request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_NEW_CONNECTION_SHARE: Final = 0.3
# More than a node buffers per connection.
_UPLOAD_BYTES: Final = 90_000
_CHUNK_BYTES: Final = 900
_request_numbers = itertools.count(1)


class RequestKind(NamedTuple):
    """A kind of request that callers send."""

    method: str
    target: str
    body_bytes: int
    repeatable: bool
    # Size of the chunks of its body; zero for a body with a length.
    chunk_bytes: int = 0


REQUEST_KINDS: Final = (
    RequestKind('GET', '/get/a', 0, repeatable=True),
    RequestKind('GET', '/get/b', 0, repeatable=True),
    RequestKind('POST', '/post/a', 2000, repeatable=False),
    RequestKind('POST', '/up/a', _UPLOAD_BYTES, repeatable=False),
    RequestKind(
        'POST',
        '/up/b',
        _UPLOAD_BYTES,
        repeatable=False,
        chunk_bytes=_CHUNK_BYTES,
    ),
)


async def call_until_cancelled(
    record: Any, address: Address, rng: random.Random
) -> None:
    """Send one request after the other to a node, until cancelled.

    Connections are reused until the node is gone, but a share of the requests
    opens new ones.
    """
    pool = ConnectionPool()
    try:
        while True:
            if rng.random() < _NEW_CONNECTION_SHARE:
                pool.close()
                pool = ConnectionPool()
            await call(record, pool, address, rng.choice(REQUEST_KINDS))
            await asyncio.sleep(_MAX_INTERVAL_S * rng.random())
    finally:
        pool.close()


async def call(
    record: Any,
    pool: ConnectionPool,
    address: Address,
    request_kind: RequestKind,
) -> int:
    """Send one request and record its outcome.

    Returns the status of the answer, or 0 if there was no whole answer.
    """
    request_id = next_request_id()
    body = request_id.encode().ljust(request_kind.body_bytes, b'.')
    body = body if request_kind.body_bytes else b''
    headers = (
        (b'host', HOST.encode()),
        (REQUEST_ID, request_id.encode()),
        (DEADLINE, b'%d' % DEADLINE_MS),
    )
    request = OutgoingRequest(
        request_kind.method, request_kind.target, headers, body
    )
    if request_kind.chunk_bytes:
        chunks = _chunks_of(body, request_kind.chunk_bytes)
        request = request._replace(body=b'', more_body=chunks)
    record(
        EventKind.SENT,
        process='caller',
        request_id=request_id,
        repeatable=request_kind.repeatable,
        asked=xxhash.xxh64_hexdigest(body),
        subject=address.ip,
    )
    request_fields = {'process': 'caller', 'request_id': request_id}
    sent = await send(pool, address, request, _ANSWER_TIMEOUT_S)
    if isinstance(sent, Err):
        failure = sent.err_value
        # Without a connection the node cannot have run the request.
        kind = (
            EventKind.REFUSED
            if failure.step is Step.CONNECT
            else EventKind.UNKNOWN
        )
        record(
            kind, detail=failure.reason, subject=address.ip, **request_fields
        )
        return 0
    answer = sent.ok_value
    try:
        answer_body = await read_whole(
            answer, _MAX_ANSWER_BYTES, _ANSWER_TIMEOUT_S
        )
    except AnswerIncomplete as broken:
        detail = broken.failure.reason
        record(
            EventKind.UNKNOWN,
            detail=detail,
            subject=address.ip,
            **request_fields,
        )
        return 0
    record_answer(record, request_id, answer.head, answer_body)
    return answer.head.status


async def _chunks_of(body: bytes, chunk_bytes: int) -> AsyncIterator[bytes]:
    for start in range(0, len(body), chunk_bytes):
        yield body[start : start + chunk_bytes]


def next_request_id() -> str:
    """Return a request id that no other request has."""
    return f'r-{next(_request_numbers)}'


def record_answer(
    record: Any, request_id: str, head: AnswerHead, body: bytes
) -> None:
    """Record the outcome that a whole answer tells."""
    request_fields = {'process': 'caller', 'request_id': request_id}
    status = head.status
    instance = get_header(head.headers, SIGNATURE)
    if instance and get_header(head.headers, LEAVING):
        record(
            EventKind.LEAVING, process=f'node of {instance}', subject=instance
        )
    if status == _OK:
        is_signed = bool(get_header(head.headers, SIGNATURE))
        digest = xxhash.xxh64_hexdigest(body) if is_signed else 'unsigned'
        record(EventKind.ANSWERED, digest=digest, **request_fields)
    elif status in _NOT_RUN_STATUSES:
        record(EventKind.REFUSED, detail=f'status {status}', **request_fields)
    else:
        record(EventKind.UNKNOWN, detail=f'status {status}', **request_fields)
