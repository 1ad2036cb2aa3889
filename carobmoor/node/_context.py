"""Parsing the headers of incoming requests."""

import uuid
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.client import (
    ATTEMPT_HEADER,
    CALLER_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    OWNER_HEADER,
    RANK_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    SERVICE_HEADER,
)
from carobmoor.outcomes import Code, NotRun
from carobmoor.retries import FIRST_ATTEMPT
from carobmoor.tickets import (
    REPEATABLE_HEADER,
    TICKET_HEADER,
    Ticket,
    decode_ticket,
)

_MAX_NAME_LENGTH: Final = 128
_MAX_DEPTH: Final = 64
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))
_MAX_DEADLINE_MS: Final = 86_400_000
_MAX_ATTEMPTS: Final = 64
_TRUE_VALUES: Final = frozenset((b'true', b'1'))
_IDEMPOTENCY_KEY: Final = b'idempotency-key'


class RequestContext(NamedTuple):
    """The method, target and headers of one request, parsed."""

    request_id: str
    service: str
    rank: str
    caller: str
    # 0 if the request sets no deadline.
    deadline_ms: int
    depth: int
    # The node that the client library chose; empty without the library.
    owner: str
    method: str
    target: str
    # The content length; -1 for a chunked body, 0 without a body.
    body_bytes: int
    # Whether the request may safely run twice.
    is_repeatable: bool
    ticket: Ticket | None
    # The number of this attempt, and how many retries remain;
    # `None` if the request sets no limit.
    attempt: int
    retries_left: int | None
    # Whether the caller set a request id or an idempotency key, so that
    # further copies can be recognised.
    is_identifiable: bool


def parse_context(
    scope: Any, node_address: str
) -> Result[RequestContext, NotRun]:
    """Parse the headers of a request; malformed ones give `BAD_REQUEST`."""
    headers: Mapping[bytes, bytes] = dict(scope['headers'])
    try:
        return Ok(_parse_request(scope, headers))
    except ValueError as error:
        return Err(
            NotRun(Code.BAD_REQUEST, 'read_request', node_address, str(error))
        )


def _parse_request(
    scope: Any, headers: Mapping[bytes, bytes]
) -> RequestContext:
    query = scope['query_string']
    target = scope['raw_path']
    if query:
        target = b'%b?%b' % (target, query)
    return RequestContext(
        _parse_name(headers, REQUEST_ID_HEADER) or uuid.uuid4().hex,
        _parse_name(headers, SERVICE_HEADER),
        _parse_name(headers, RANK_HEADER),
        _parse_name(headers, CALLER_HEADER),
        _parse_number(headers, DEADLINE_HEADER, _MAX_DEADLINE_MS),
        _parse_number(headers, DEPTH_HEADER, _MAX_DEPTH),
        _parse_name(headers, OWNER_HEADER),
        scope['method'],
        target.decode('ascii'),
        _parse_body_bytes(headers),
        _is_repeatable(scope['method'], headers),
        _parse_ticket(headers),
        _parse_number(headers, ATTEMPT_HEADER, _MAX_ATTEMPTS) or FIRST_ATTEMPT,
        _parse_retries_left(headers),
        REQUEST_ID_HEADER in headers or _IDEMPOTENCY_KEY in headers,
    )


def _parse_name(headers: Mapping[bytes, bytes], header: bytes) -> str:
    text = headers.get(header, b'').decode('ascii')
    if len(text) > _MAX_NAME_LENGTH or not text.isprintable():
        raise ValueError(
            f'{header.decode()} is too long or has unprintable characters'
        )
    return text


def _parse_number(
    headers: Mapping[bytes, bytes],
    header: bytes,
    maximum: int,
) -> int:
    text = headers.get(header, b'0')
    if not text.isdigit() or int(text) > maximum:
        allowed = f'an integer from 0 to {maximum}'
        raise ValueError(f'{header.decode()} must be {allowed}')
    return int(text)


def _is_repeatable(method: str, headers: Mapping[bytes, bytes]) -> bool:
    return (
        method in _SAFE_METHODS
        or headers.get(REPEATABLE_HEADER) in _TRUE_VALUES
    )


def _parse_retries_left(headers: Mapping[bytes, bytes]) -> int | None:
    if RETRIES_LEFT_HEADER not in headers:
        return None
    return _parse_number(headers, RETRIES_LEFT_HEADER, _MAX_ATTEMPTS)


def _parse_ticket(headers: Mapping[bytes, bytes]) -> Ticket | None:
    content = headers.get(TICKET_HEADER)
    if content is None:
        return None
    ticket = decode_ticket(content)
    if ticket is None:
        raise ValueError(f'{TICKET_HEADER.decode()} is not a valid ticket')
    return ticket


def _parse_body_bytes(headers: Mapping[bytes, bytes]) -> int:
    if b'transfer-encoding' in headers:
        return -1
    return int(headers.get(b'content-length', b'0'))
