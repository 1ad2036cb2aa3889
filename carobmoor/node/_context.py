"""What the headers of an incoming request say."""

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

_LONGEST_NAME: Final = 128
_DEEPEST: Final = 64
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))
_LONGEST_DEADLINE_MS: Final = 86_400_000
_MOST_ATTEMPTS: Final = 64
_YES: Final = frozenset((b'true', b'1'))
_IDEMPOTENCY_KEY: Final = b'idempotency-key'


class RequestContext(NamedTuple):
    """One request as its headers describe it."""

    request_id: str
    service: str
    rank: str
    caller: str
    # Zero when the request names none.
    deadline_ms: int
    depth: int
    # The node that the sender chose; empty from plain callers.
    owner: str
    method: str
    target: str
    # The declared length of the body; -1 when it is chunked, 0 when absent.
    body_bytes: int
    # Whether running it twice does no harm.
    is_repeatable: bool
    ticket: Ticket | None
    # Which attempt of its chain the request is, and how many are left;
    # `None` when the request doesn't say.
    attempt: int
    retries_left: int | None
    # Whether the caller can send it again under the same name.
    is_named: bool


def read_context(scope: Any, here: str) -> Result[RequestContext, NotRun]:
    """Read the headers of a request; a malformed one is refused."""
    headers: Mapping[bytes, bytes] = dict(scope['headers'])
    try:
        return Ok(_parse(scope, headers))
    except ValueError as error:
        return Err(NotRun(Code.BAD_REQUEST, 'read_request', here, str(error)))


def _parse(scope: Any, headers: Mapping[bytes, bytes]) -> RequestContext:
    query = scope['query_string']
    target = scope['raw_path']
    if query:
        target = b'%b?%b' % (target, query)
    return RequestContext(
        _name(headers, REQUEST_ID_HEADER) or uuid.uuid4().hex,
        _name(headers, SERVICE_HEADER),
        _name(headers, RANK_HEADER),
        _name(headers, CALLER_HEADER),
        _number(headers, DEADLINE_HEADER, _LONGEST_DEADLINE_MS),
        _number(headers, DEPTH_HEADER, _DEEPEST),
        _name(headers, OWNER_HEADER),
        scope['method'],
        target.decode('ascii'),
        _body_bytes(headers),
        _is_repeatable(scope['method'], headers),
        _ticket(headers),
        _number(headers, ATTEMPT_HEADER, _MOST_ATTEMPTS) or FIRST_ATTEMPT,
        _retries_left(headers),
        REQUEST_ID_HEADER in headers or _IDEMPOTENCY_KEY in headers,
    )


def _name(headers: Mapping[bytes, bytes], header: bytes) -> str:
    text = headers.get(header, b'').decode('ascii')
    if len(text) > _LONGEST_NAME or not text.isprintable():
        raise ValueError(f'{header.decode()} is too long or not printable')
    return text


def _number(
    headers: Mapping[bytes, bytes],
    header: bytes,
    largest: int,
) -> int:
    text = headers.get(header, b'0')
    if not text.isdigit() or int(text) > largest:
        allowed = f'a number up to {largest}'
        raise ValueError(f'{header.decode()} must be {allowed}')
    return int(text)


def _is_repeatable(method: str, headers: Mapping[bytes, bytes]) -> bool:
    return method in _SAFE_METHODS or headers.get(REPEATABLE_HEADER) in _YES


def _retries_left(headers: Mapping[bytes, bytes]) -> int | None:
    if RETRIES_LEFT_HEADER not in headers:
        return None
    return _number(headers, RETRIES_LEFT_HEADER, _MOST_ATTEMPTS)


def _ticket(headers: Mapping[bytes, bytes]) -> Ticket | None:
    content = headers.get(TICKET_HEADER)
    if content is None:
        return None
    ticket = decode_ticket(content)
    if ticket is None:
        raise ValueError(f'{TICKET_HEADER.decode()} is no ticket')
    return ticket


def _body_bytes(headers: Mapping[bytes, bytes]) -> int:
    if b'transfer-encoding' in headers:
        return -1
    return int(headers.get(b'content-length', b'0'))
