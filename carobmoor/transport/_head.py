"""The head of a request as it is written, and what makes one unsafe."""

from itertools import chain
from typing import Final

from carobmoor.transport._messages import OutgoingRequest

_LINE_END: Final = b'\r\n'
_LENGTH: Final = b'content-length'
_CODING: Final = b'transfer-encoding'


def encode_head(request: OutgoingRequest, chunked: bool) -> bytes:
    """Write the request line and the headers, with the length if known."""
    parts = [f'{request.method} {request.target} HTTP/1.1\r\n'.encode()]
    for name, content in request.headers:
        parts.append(b'%b: %b\r\n' % (name, content))
    if chunked:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif request.more_body is None and not has_length(request):
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(_LINE_END)
    return b''.join(parts)


def has_length(request: OutgoingRequest) -> bool:
    """Tell whether the headers declare the length of the body."""
    return any(name == _LENGTH for name, _ in request.headers)


def length_of(request: OutgoingRequest) -> int:
    """Give the declared length of a body; -1 when it is sent chunked."""
    for name, content in request.headers:
        if name == _LENGTH and content.isdigit():
            return int(content)
    return -1


def fault_of(request: OutgoingRequest) -> str:
    """Tell why a request could be read as another than it is."""
    line = f'{request.method} {request.target}'.encode()
    if _breaks_line(line) or line.count(b' ') > 1:
        return 'the request line is malformed'
    names = [name for name, _ in request.headers]
    if _breaks_line(b''.join(chain.from_iterable(request.headers))):
        return 'a header is malformed'
    if _CODING in names:
        return 'a header is malformed'
    return _fault_of_length(request) if _LENGTH in names else ''


def _fault_of_length(request: OutgoingRequest) -> str:
    for name, content in request.headers:
        if name == _LENGTH and not content.isdigit():
            return 'the declared length is no number'
    is_at_hand = request.more_body is None
    if is_at_hand and length_of(request) != len(request.body):
        return 'the body has another length than declared'
    return ''


def _breaks_line(part: bytes) -> bool:
    return b'\n' in part or b'\r' in part
