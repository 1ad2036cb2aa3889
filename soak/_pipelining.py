"""Callers that send requests before the earlier ones are answered."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any, Final

import httptools
import xxhash

from carobmoor.history import EventKind
from carobmoor.transport import Address, AnswerHead, get_header
from soak._callers import (
    DEADLINE,
    DEADLINE_MS,
    HOST,
    REQUEST_ID,
    next_request_id,
    record_answer,
)

_MAX_DEPTH: Final = 6
_TARGET: Final = '/get/a'
_MAX_INTERVAL_S: Final = 0.2
_TIMEOUT_S: Final = 5
_READ_BYTES: Final = 65_536


class AnswerParser:
    """Splits what a connection receives into whole answers."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.answers: list[tuple[AnswerHead, bytes]] = []
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = b''

    def feed(self, received: bytes) -> None:
        """Parse received bytes."""
        self._parser.feed_data(received)

    def on_message_begin(self) -> None:
        """Start another answer."""
        self._headers = []
        self._body = b''

    def on_header(self, name: bytes, content: bytes) -> None:
        """Record a header."""
        self._headers.append((name.lower(), content))

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._body += chunk

    def on_message_complete(self) -> None:
        """Record the answer."""
        head = AnswerHead(self._parser.get_status_code(), self._headers)
        self.answers.append((head, self._body))


async def pipeline_until_cancelled(
    record: Any, address: Address, rng: random.Random
) -> None:
    """Send several requests at once, again and again, until cancelled."""
    while True:
        request_ids = [
            next_request_id() for _ in range(rng.randint(2, _MAX_DEPTH))
        ]
        await _send_together(record, address, request_ids)
        await asyncio.sleep(_MAX_INTERVAL_S * rng.random())


async def _send_together(
    record: Any, address: Address, request_ids: Sequence[str]
) -> None:
    """Send requests on one connection and record the outcome of each.

    An answer in the place of another is recorded as one that no server gave.
    """
    for request_id in request_ids:
        record(
            EventKind.SENT,
            process='caller',
            request_id=request_id,
            repeatable=True,
            asked=xxhash.xxh64_hexdigest(b''),
            subject=address.ip,
        )
    parser = AnswerParser()
    reason = 'connection closed'
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            await _exchange(address, request_ids, parser)
    except (OSError, TimeoutError, httptools.HttpParserError) as error:
        reason = f'{type(error).__name__} {error}'
    for request_id, (head, body) in zip(
        request_ids, parser.answers, strict=False
    ):
        echoed = get_header(head.headers, REQUEST_ID)
        whole = body if echoed == request_id else b'answer of another request'
        record_answer(record, request_id, head, whole)
    for unanswered in request_ids[len(parser.answers) :]:
        record(
            EventKind.UNKNOWN,
            process='caller',
            request_id=unanswered,
            detail=reason,
            subject=address.ip,
        )


async def _exchange(
    address: Address, request_ids: Sequence[str], parser: AnswerParser
) -> None:
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        writer.write(b''.join(map(_encode, request_ids)))
        while len(parser.answers) < len(request_ids):
            received = await reader.read(_READ_BYTES)
            if not received:
                return
            parser.feed(received)
    finally:
        writer.close()


def _encode(request_id: str) -> bytes:
    head = (
        f'GET {_TARGET} HTTP/1.1\r\nhost: {HOST}\r\n'
        f'{REQUEST_ID.decode()}: {request_id}\r\n'
        f'{DEADLINE.decode()}: {DEADLINE_MS}\r\n\r\n'
    )
    return head.encode()
