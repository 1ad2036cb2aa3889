"""Callers that send requests despite all faults and record the outcomes."""

import asyncio
import itertools
import random
from typing import Any, Final, NamedTuple

import xxhash
from result import Err

from carobmoor.history import Kind
from carobmoor.transport import (
    Address,
    AnswerBroken,
    ConnectionPool,
    OutgoingRequest,
    Step,
    header_of,
    read_whole,
    send,
)
from soak._server import REQUEST_ID, SIGNATURE

HOST: Final = 'shop.example'
_DEADLINE: Final = b'x-carobmoor-deadline-ms'
_DEADLINE_MS: Final = 1000
# How long a caller waits for an answer; far beyond the deadline.
_PATIENCE_S: Final = 5
_MOST_ANSWER_BYTES: Final = 100_000
_PAUSE_S: Final = 0.04
_OK: Final = 200
# Statuses that guarantee that the request did not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))
_FRESH_SHARE: Final = 0.3
# More than a node buffers per connection.
_UPLOAD_BYTES: Final = 90_000
_numbers = itertools.count(1)


class Wanted(NamedTuple):
    """A kind of request that callers send."""

    method: str
    target: str
    body_bytes: int
    repeatable: bool


KINDS: Final = (
    Wanted('GET', '/get/a', 0, repeatable=True),
    Wanted('GET', '/get/b', 0, repeatable=True),
    Wanted('POST', '/post/a', 2000, repeatable=False),
    Wanted('POST', '/up/a', _UPLOAD_BYTES, repeatable=False),
)


async def call_always(note: Any, address: Address, rng: random.Random) -> None:
    """Send one request after the other to a node, until cancelled.

    Connections are reused until the node is gone, but a share of the requests
    opens new ones.
    """
    pool = ConnectionPool()
    try:
        while True:
            if rng.random() < _FRESH_SHARE:
                pool.close()
                pool = ConnectionPool()
            await call(note, pool, address, rng.choice(KINDS))
            await asyncio.sleep(_PAUSE_S * rng.random())
    finally:
        pool.close()


async def call(
    note: Any,
    pool: ConnectionPool,
    address: Address,
    wanted: Wanted,
) -> int:
    """Send one request and record its outcome.

    Returns the status of the answer, or 0 if there was no whole answer.
    """
    request_id = f'r-{next(_numbers)}'
    body = request_id.encode().ljust(wanted.body_bytes, b'.')
    body = body if wanted.body_bytes else b''
    headers = (
        (b'host', HOST.encode()),
        (REQUEST_ID, request_id.encode()),
        (_DEADLINE, b'%d' % _DEADLINE_MS),
    )
    request = OutgoingRequest(wanted.method, wanted.target, headers, body)
    note(
        Kind.SENT,
        process='caller',
        request_id=request_id,
        repeatable=wanted.repeatable,
        asked=xxhash.xxh64_hexdigest(body),
        subject=address.ip,
    )
    ended = {'process': 'caller', 'request_id': request_id}
    sent = await send(pool, address, request, _PATIENCE_S)
    if isinstance(sent, Err):
        failure = sent.err_value
        # Without a connection the node cannot have run the request.
        kind = Kind.REFUSED if failure.step is Step.CONNECT else Kind.UNKNOWN
        note(kind, detail=failure.reason, subject=address.ip, **ended)
        return 0
    answer = sent.ok_value
    try:
        told = await read_whole(answer, _MOST_ANSWER_BYTES, _PATIENCE_S)
    except AnswerBroken as broken:
        detail = broken.failure.reason
        note(Kind.UNKNOWN, detail=detail, subject=address.ip, **ended)
        return 0
    status = answer.head.status
    if status == _OK:
        is_signed = bool(header_of(answer.head.headers, SIGNATURE))
        digest = xxhash.xxh64_hexdigest(told) if is_signed else 'unsigned'
        note(Kind.ANSWERED, digest=digest, **ended)
    elif status in _PROMISES:
        note(Kind.REFUSED, detail=f'status {status}', **ended)
    else:
        note(Kind.UNKNOWN, detail=f'status {status}', **ended)
    return status
